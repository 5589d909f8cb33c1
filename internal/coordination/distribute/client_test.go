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

// fakeSink counts what a client gets.
type fakeSink struct {
	sequence uint64
	changed  chan struct{}
}

func (s *fakeSink) Apply(*wire.StateFull)          {}
func (s *fakeSink) ApplyDiff(*wire.StateDiff) bool { return true }
func (s *fakeSink) Revision() uint64               { return 3 }
func (s *fakeSink) Fleet(int)                      {}
func (s *fakeSink) Acknowledged(uint64)            {}
func (s *fakeSink) Services() []string             { return []string{"drafts"} }
func (s *fakeSink) Changed() <-chan struct{}       { return s.changed }
func (s *fakeSink) Heartbeat() *wire.Heartbeat {
	s.sequence++
	return &wire.Heartbeat{NodeId: "node", NodeStart: 1, Sequence: s.sequence}
}

// TestClientAsksForFullState guards against a node that follows differences which
// do not start at its registry, and against a stop that control does not learn of.
func TestClientAsksForFullState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		dial := func(context.Context, string) (net.Conn, error) { return near, nil }
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			NewClient("node", []string{"member"}, dial, &fakeSink{}, log.NewNopLogger()).Run(ctx)
		}()
		conn := frame.NewConn(far)
		next := func() *wire.Envelope {
			message, err := conn.Receive()
			assert.NilError(t, err)
			return message
		}
		send := func(message *wire.Envelope) { assert.NilError(t, conn.SendNow(message)) }
		assert.Equal(t, next().GetSubscribe().GetHaveRevision(), uint64(3))
		assert.Equal(t, next().GetHeartbeat().GetSequence(), uint64(1))
		send(&wire.Envelope{Body: &wire.Envelope_StateFull{StateFull: &wire.StateFull{RegistryVersion: 5}}})
		send(&wire.Envelope{Body: &wire.Envelope_StateDiff{StateDiff: &wire.StateDiff{BaseVersion: 5, RegistryVersion: 6}}})
		send(&wire.Envelope{Body: &wire.Envelope_StateDiff{StateDiff: &wire.StateDiff{BaseVersion: 5, RegistryVersion: 7}}})
		assert.DeepEqual(t, next().GetSubscribe().GetServices(), []string{"drafts"})

		stopped := time.Now()
		cancel()
		goodbye := next().GetHeartbeat()
		assert.Assert(t, goodbye.GetStopping())
		send(&wire.Envelope{Body: &wire.Envelope_HeartbeatAck{HeartbeatAck: &wire.HeartbeatAck{Sequence: goodbye.GetSequence()}}})
		<-done
		assert.Assert(t, time.Since(stopped) < deregisterTimeout)
		_ = far.Close()
		synctest.Wait()
	})
}

// fakeMembers runs clients against members that answer every message.
type fakeMembers struct {
	mu          sync.Mutex
	unreachable map[string]bool
	// isolated members say so in their acknowledgements.
	isolated    map[string]bool
	connections map[net.Conn]string
	dialTimes   map[int][]time.Time
}

func (c *fakeMembers) dial(node int, address string) (net.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dialTimes[node] = append(c.dialTimes[node], time.Now())
	if c.unreachable[address] {
		return nil, errors.New("refused")
	}
	near, far := net.Pipe()
	c.connections[far] = address
	go c.serve(far)
	return near, nil
}

func (c *fakeMembers) serve(far net.Conn) {
	conn := frame.NewConn(far)
	for {
		message, err := conn.Receive()
		if err != nil {
			c.mu.Lock()
			delete(c.connections, far)
			c.mu.Unlock()
			return
		}
		reply := &wire.Envelope{Body: &wire.Envelope_StateFull{StateFull: &wire.StateFull{}}}
		if heartbeat := message.GetHeartbeat(); heartbeat != nil {
			c.mu.Lock()
			isolated := c.isolated[c.connections[far]]
			c.mu.Unlock()
			ack := &wire.HeartbeatAck{Sequence: heartbeat.GetSequence(), Isolated: isolated}
			reply = &wire.Envelope{Body: &wire.Envelope_HeartbeatAck{HeartbeatAck: ack}}
		}
		_ = conn.SendNow(reply)
	}
}

// setUnreachable makes a member refuse new connections and ends those it has.
func (c *fakeMembers) setUnreachable(address string, down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreachable[address] = down
	for conn, member := range c.connections {
		if down && member == address {
			_ = conn.Close()
		}
	}
}

func (c *fakeMembers) connectionCount(address string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, member := range c.connections {
		if member == address {
			count++
		}
	}
	return count
}

// TestMemberLostAndBack guards against all nodes of a lost member that reach the
// other one in the same moment, and against a member that stays without nodes
// after it has returned, or gets them in a rush.
func TestMemberLostAndBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes = 60
		c := &fakeMembers{unreachable: map[string]bool{"b": true}, connections: map[net.Conn]string{}, dialTimes: map[int][]time.Time{}}
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		for node := range nodes {
			running.Go(func() {
				dial := func(_ context.Context, address string) (net.Conn, error) { return c.dial(node, address) }
				NewClient("node", []string{"a", "b"}, dial, &fakeSink{}, log.NewNopLogger()).Run(ctx)
			})
		}
		time.Sleep(10 * time.Second)
		assert.Equal(t, c.connectionCount("a"), nodes)
		c.mu.Lock()
		clear(c.dialTimes)
		c.mu.Unlock()
		lost := time.Now()
		c.setUnreachable("a", true)
		time.Sleep(reconnectJitter)
		c.mu.Lock()
		first := make([]int, 4)
		for _, dials := range c.dialTimes {
			first[min(3, int(dials[0].Sub(lost)*4/reconnectJitter))]++
		}
		assert.Equal(t, len(c.dialTimes), nodes)
		c.mu.Unlock()
		// A quarter of the time takes 15 of 60 on average; 40 are seven standard deviations off.
		for _, count := range first {
			assert.Assert(t, count <= 40, "%v", first)
		}

		c.setUnreachable("b", false)
		time.Sleep(time.Minute)
		c.setUnreachable("a", false)
		time.Sleep(minSessionDuration - 2*time.Minute)
		assert.Equal(t, c.connectionCount("b"), nodes)
		time.Sleep(maxSessionDuration)
		// Every node has chosen anew, so a has 30 of 60 on average; 6 and 54 are six standard deviations off.
		share := c.connectionCount("a")
		assert.Assert(t, share > 6 && share < 54, "%d", share)
		cancel()
		running.Wait()
	})
}

// TestNodesLeaveIsolatedMember guards against nodes that stay for ever with a member
// that a partition keeps from the quorum, and so with an old configuration, and against
// nodes without a member when all of them are isolated.
func TestNodesLeaveIsolatedMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := []string{"a", "b", "c"}
		c := &fakeMembers{
			unreachable: map[string]bool{}, isolated: map[string]bool{"a": true, "b": true}, connections: map[net.Conn]string{}, dialTimes: map[int][]time.Time{},
		}
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		for node := range 20 {
			dial := func(_ context.Context, address string) (net.Conn, error) { return c.dial(node, address) }
			client := NewClient("node", members, dial, &fakeSink{}, log.NewNopLogger())
			running.Go(func() { client.Run(ctx) })
		}
		time.Sleep(time.Second)
		assert.Equal(t, c.connectionCount("c"), 20)
		c.mu.Lock()
		c.isolated["c"] = true
		c.mu.Unlock()
		time.Sleep(isolatedMemberCooldown + 3*time.Second)
		assert.Assert(t, c.connectionCount("a")+c.connectionCount("b")+c.connectionCount("c") >= 18)
		cancel()
		running.Wait()
	})
}

// TestSilentMember guards against a node that stays for long with a member whose
// connection has gone silent, and misses the revisions that others have in force.
func TestSilentMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeMembers{unreachable: map[string]bool{}, isolated: map[string]bool{}, connections: map[net.Conn]string{}, dialTimes: map[int][]time.Time{}}
		silent, quiet := net.Pipe()
		dials := 0
		dial := func(_ context.Context, address string) (net.Conn, error) {
			if dials++; dials == 1 {
				return silent, nil
			}
			return c.dial(0, address)
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			NewClient("node", []string{"a", "b"}, dial, &fakeSink{}, log.NewNopLogger()).Run(ctx)
		}()
		conn := frame.NewConn(quiet)
		_, err := conn.Receive()
		assert.NilError(t, err)
		assert.NilError(t, conn.SendNow(&wire.Envelope{Body: &wire.Envelope_StateFull{StateFull: &wire.StateFull{}}}))
		go func() {
			for {
				if _, err := conn.Receive(); err != nil {
					return
				}
			}
		}()
		time.Sleep(2700 * time.Millisecond)
		assert.Equal(t, c.connectionCount("a")+c.connectionCount("b"), 1)
		cancel()
		<-done
		_ = quiet.Close()
	})
}

// TestOnlyMemberIsKept guards against a node that leaves its only member while that has
// no quorum, for example at its start, and is not connected when it stops.
func TestOnlyMemberIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeMembers{
			unreachable: map[string]bool{}, isolated: map[string]bool{"a": true}, connections: map[net.Conn]string{}, dialTimes: map[int][]time.Time{},
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			dial := func(_ context.Context, address string) (net.Conn, error) { return c.dial(0, address) }
			NewClient("node", []string{"a"}, dial, &fakeSink{}, log.NewNopLogger()).Run(ctx)
		}()
		time.Sleep(20 * time.Second)
		c.mu.Lock()
		dials := len(c.dialTimes[0])
		c.mu.Unlock()
		assert.Equal(t, dials, 1)
		cancel()
		<-done
	})
}
