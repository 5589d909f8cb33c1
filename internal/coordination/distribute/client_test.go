package distribute

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// fakeSink discards all state and numbers its heartbeats.
type fakeSink struct {
	sequence           uint64
	heartbeatRequested chan struct{}
	lastApplied        uint64 // the revision of the last full state
}

func (s *fakeSink) Apply(state *wire.StateFull)         { s.lastApplied = state.GetRevision() }
func (s *fakeSink) ApplyDiff(*wire.StateDiff) bool      { return true }
func (s *fakeSink) Revision() uint64                    { return 3 }
func (s *fakeSink) SetNodeCount(int)                    {}
func (s *fakeSink) HeartbeatAcknowledged(uint64)        {}
func (s *fakeSink) Services() []string                  { return []string{"drafts"} }
func (s *fakeSink) HeartbeatRequested() <-chan struct{} { return s.heartbeatRequested }
func (s *fakeSink) Heartbeat() *wire.Heartbeat {
	s.sequence++
	return &wire.Heartbeat{NodeId: "node", NodeStart: 1, Sequence: s.sequence}
}

// TestClientResubscribesAndDeregisters guards against a node that applies a registry diff
// whose base is not the version that it has, and against a node that stops without
// deregistering.
func TestClientResubscribesAndDeregisters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodeConn, memberConn := net.Pipe()
		dial := func(context.Context, string) (net.Conn, error) { return nodeConn, nil }
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			NewClient("node", []string{"member"}, dial, &fakeSink{}, log.NewNopLogger()).Run(ctx)
		}()
		conn := frame.NewConn(memberConn)
		next := func() *wire.Envelope {
			message, err := conn.Receive()
			assert.NilError(t, err)
			return message
		}
		send := func(message *wire.Envelope) { assert.NilError(t, conn.SendAndFlush(message)) }
		assert.Equal(t, next().GetSubscribe().GetHaveRevision(), uint64(3))
		assert.Equal(t, next().GetHeartbeat().GetSequence(), uint64(1))
		send(&wire.Envelope{Body: &wire.Envelope_StateFull{StateFull: &wire.StateFull{RegistryVersion: 5}}})
		send(&wire.Envelope{Body: &wire.Envelope_StateDiff{StateDiff: &wire.StateDiff{BaseVersion: 5, RegistryVersion: 6}}})
		send(&wire.Envelope{Body: &wire.Envelope_StateDiff{StateDiff: &wire.StateDiff{BaseVersion: 5, RegistryVersion: 7}}})
		assert.DeepEqual(t, next().GetSubscribe().GetServices(), []string{"drafts"})

		stoppedAt := time.Now()
		cancel()
		lastHeartbeat := next().GetHeartbeat()
		assert.Assert(t, lastHeartbeat.GetStopping())
		send(&wire.Envelope{Body: &wire.Envelope_HeartbeatAck{HeartbeatAck: &wire.HeartbeatAck{Sequence: lastHeartbeat.GetSequence()}}})
		<-done
		assert.Assert(t, time.Since(stoppedAt) < deregisterTimeout)
		_ = memberConn.Close()
		synctest.Wait()
	})
}

// fakeMembers simulates control members that reply to every message. Its maps are indexed by
// the address of the member, the member's end of the connection or the index of the node.
type fakeMembers struct {
	mu          sync.Mutex
	unreachable map[string]bool
	// isolated holds the members whose acknowledgements report no quorum contact.
	isolated    map[string]bool
	connections map[net.Conn]string
	dialTimes   map[int][]time.Time
}

func (m *fakeMembers) dial(node int, address string) (net.Conn, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dialTimes[node] = append(m.dialTimes[node], time.Now())
	if m.unreachable[address] {
		return nil, errors.New("refused")
	}
	nodeConn, memberConn := net.Pipe()
	m.connections[memberConn] = address
	go m.serve(memberConn)
	return nodeConn, nil
}

func (m *fakeMembers) serve(memberConn net.Conn) {
	conn := frame.NewConn(memberConn)
	for {
		message, err := conn.Receive()
		if err != nil {
			m.mu.Lock()
			delete(m.connections, memberConn)
			m.mu.Unlock()
			return
		}
		reply := &wire.Envelope{Body: &wire.Envelope_StateFull{StateFull: &wire.StateFull{}}}
		if heartbeat := message.GetHeartbeat(); heartbeat != nil {
			m.mu.Lock()
			isolated := m.isolated[m.connections[memberConn]]
			m.mu.Unlock()
			ack := &wire.HeartbeatAck{Sequence: heartbeat.GetSequence(), Isolated: isolated}
			reply = &wire.Envelope{Body: &wire.Envelope_HeartbeatAck{HeartbeatAck: ack}}
		}
		_ = conn.SendAndFlush(reply)
	}
}

// setUnreachable sets whether a member refuses connections; if so, its open ones are closed.
func (m *fakeMembers) setUnreachable(address string, unreachable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unreachable[address] = unreachable
	for conn, member := range m.connections {
		if unreachable && member == address {
			_ = conn.Close()
		}
	}
}

func (m *fakeMembers) connectionCount(address string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, member := range m.connections {
		if member == address {
			count++
		}
	}
	return count
}

// TestMemberLossAndRecovery guards against the nodes of a failed member all reconnecting to
// the other one at once, and against a recovered member that gets no nodes or gets them
// all at once.
func TestMemberLossAndRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes = 60
		m := &fakeMembers{unreachable: map[string]bool{"b": true}, connections: map[net.Conn]string{}, dialTimes: map[int][]time.Time{}}
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		for node := range nodes {
			running.Go(func() {
				dial := func(_ context.Context, address string) (net.Conn, error) { return m.dial(node, address) }
				NewClient("node", []string{"a", "b"}, dial, &fakeSink{}, log.NewNopLogger()).Run(ctx)
			})
		}
		time.Sleep(10 * time.Second)
		assert.Equal(t, m.connectionCount("a"), nodes)
		m.mu.Lock()
		clear(m.dialTimes)
		m.mu.Unlock()
		lostAt := time.Now()
		m.setUnreachable("a", true)
		time.Sleep(reconnectJitter)
		m.mu.Lock()
		firstDials := make([]int, 4) // by quarter of reconnectJitter
		for _, dials := range m.dialTimes {
			firstDials[min(3, int(dials[0].Sub(lostAt)*4/reconnectJitter))]++
		}
		assert.Equal(t, len(m.dialTimes), nodes)
		m.mu.Unlock()
		// Each quarter gets 15 of 60 dials on average; 40 is seven standard deviations above that.
		for _, count := range firstDials {
			assert.Assert(t, count <= 40, "first dials in each quarter of the jitter: %v", firstDials)
		}

		m.setUnreachable("b", false)
		time.Sleep(time.Minute)
		m.setUnreachable("a", false)
		time.Sleep(minSessionDuration - 2*time.Minute)
		assert.Equal(t, m.connectionCount("b"), nodes)
		time.Sleep(maxSessionDuration)
		// Every node has chosen a random member again, so member a has 30 of 60 nodes on
		// average; 6 and 54 are six standard deviations from that.
		count := m.connectionCount("a")
		assert.Assert(t, count > 6 && count < 54, "%d nodes at member a", count)
		cancel()
		running.Wait()
	})
}

// TestNodesLeaveIsolatedMember guards against nodes that keep an outdated configuration
// because they stay connected to a member that a network partition separates from the
// quorum, and against nodes that connect to no member when all are isolated.
func TestNodesLeaveIsolatedMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := []string{"a", "b", "c"}
		m := &fakeMembers{
			unreachable: map[string]bool{}, isolated: map[string]bool{"a": true, "b": true}, connections: map[net.Conn]string{}, dialTimes: map[int][]time.Time{},
		}
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		for node := range 20 {
			dial := func(_ context.Context, address string) (net.Conn, error) { return m.dial(node, address) }
			client := NewClient("node", members, dial, &fakeSink{}, log.NewNopLogger())
			running.Go(func() { client.Run(ctx) })
		}
		time.Sleep(time.Second)
		assert.Equal(t, m.connectionCount("c"), 20)
		m.mu.Lock()
		m.isolated["c"] = true
		m.mu.Unlock()
		time.Sleep(isolatedMemberCooldown + 3*time.Second)
		assert.Assert(t, m.connectionCount("a")+m.connectionCount("b")+m.connectionCount("c") >= 18)
		cancel()
		running.Wait()
	})
}

// TestKeepaliveTimeout guards against a node that misses revisions because it stays on a
// connection that is open but no longer delivers messages.
func TestKeepaliveTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &fakeMembers{unreachable: map[string]bool{}, isolated: map[string]bool{}, connections: map[net.Conn]string{}, dialTimes: map[int][]time.Time{}}
		silentNodeConn, silentMemberConn := net.Pipe()
		dials := 0
		dial := func(_ context.Context, address string) (net.Conn, error) {
			if dials++; dials == 1 {
				return silentNodeConn, nil
			}
			return m.dial(0, address)
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			NewClient("node", []string{"a", "b"}, dial, &fakeSink{}, log.NewNopLogger()).Run(ctx)
		}()
		conn := frame.NewConn(silentMemberConn)
		_, err := conn.Receive()
		assert.NilError(t, err)
		assert.NilError(t, conn.SendAndFlush(&wire.Envelope{Body: &wire.Envelope_StateFull{StateFull: &wire.StateFull{}}}))
		go func() {
			for {
				if _, err := conn.Receive(); err != nil {
					return
				}
			}
		}()
		time.Sleep(2700 * time.Millisecond)
		assert.Equal(t, m.connectionCount("a")+m.connectionCount("b"), 1)
		cancel()
		<-done
		_ = silentMemberConn.Close()
	})
}

// TestOnlyMemberIsKeptWhileIsolated guards against a node that disconnects from its only
// member while that has no quorum, for example when the member starts. Such a node could
// be disconnected, and so unable to deregister, when it stops.
func TestOnlyMemberIsKeptWhileIsolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &fakeMembers{
			unreachable: map[string]bool{}, isolated: map[string]bool{"a": true}, connections: map[net.Conn]string{}, dialTimes: map[int][]time.Time{},
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			dial := func(_ context.Context, address string) (net.Conn, error) { return m.dial(0, address) }
			NewClient("node", []string{"a"}, dial, &fakeSink{}, log.NewNopLogger()).Run(ctx)
		}()
		time.Sleep(20 * time.Second)
		m.mu.Lock()
		dials := len(m.dialTimes[0])
		m.mu.Unlock()
		assert.Equal(t, dials, 1)
		cancel()
		<-done
	})
}

// TestContactAge guards against a contact to control that seems recent although the member has
// no contact with a quorum or does not respond, and against one that seems lost in between two
// heartbeats.
func TestContactAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &fakeMembers{
			unreachable: map[string]bool{}, isolated: map[string]bool{"a": true}, connections: map[net.Conn]string{}, dialTimes: map[int][]time.Time{},
		}
		ctx, cancel := context.WithCancel(context.Background())
		dial := func(_ context.Context, address string) (net.Conn, error) { return m.dial(0, address) }
		client := NewClient("node", []string{"a"}, dial, &fakeSink{}, log.NewNopLogger())
		done := make(chan struct{})
		go func() { defer close(done); client.Run(ctx) }()
		time.Sleep(10 * time.Second)
		assert.Assert(t, client.ContactAge(time.Now()) > time.Hour)
		m.mu.Lock()
		m.isolated["a"] = false
		m.mu.Unlock()
		time.Sleep(2 * time.Second)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, client.ContactAge(time.Now()) < 1500*time.Millisecond)
		}
		m.setUnreachable("a", true)
		time.Sleep(2 * time.Second)
		assert.Assert(t, client.ContactAge(time.Now()) >= 2*time.Second)
		cancel()
		<-done
	})
}
