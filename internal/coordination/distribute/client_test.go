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
		assert.Assert(t, time.Since(stopped) < goodbyeTimeout)
		_ = far.Close()
		synctest.Wait()
	})
}

// TestReconnectSpread guards against all nodes of a lost member that reach the
// next one in the same moment, and against one that is late for its lease.
func TestReconnectSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes = 400
		var mu sync.Mutex
		var open []net.Conn
		var lost time.Time
		redials := map[int]time.Duration{}
		dial := func(node int) (net.Conn, error) {
			mu.Lock()
			defer mu.Unlock()
			if !lost.IsZero() {
				if _, again := redials[node]; !again {
					redials[node] = time.Since(lost)
				}
				return nil, errors.New("refused")
			}
			near, far := net.Pipe()
			open = append(open, far)
			go func() {
				conn := frame.NewConn(far)
				_, _ = conn.Receive()
				_ = conn.SendNow(&wire.Envelope{Body: &wire.Envelope_StateFull{StateFull: &wire.StateFull{}}})
				for {
					if _, err := conn.Receive(); err != nil {
						return
					}
				}
			}()
			return near, nil
		}
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		for node := range nodes {
			running.Go(func() {
				dialNode := func(context.Context, string) (net.Conn, error) { return dial(node) }
				NewClient("node", []string{"a", "b"}, dialNode, &fakeSink{}, log.NewNopLogger()).Run(ctx)
			})
		}
		time.Sleep(5 * time.Second)
		mu.Lock()
		lost = time.Now()
		for _, conn := range open {
			_ = conn.Close()
		}
		mu.Unlock()
		time.Sleep(spreadAfterLoss)
		cancel()
		running.Wait()
		first := make([]int, 10)
		for _, at := range redials {
			first[min(9, int(at*10/spreadAfterLoss))]++
		}
		// A tenth of the time takes 40 of 400 on average.
		for _, count := range first {
			assert.Assert(t, count <= nodes/4, "%v", first)
		}
		assert.Equal(t, len(redials), nodes)
	})
}
