package membership

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
)

// TestExchange guards against nodes of a member that the others do not learn of,
// against the loss of all nodes of a member whose stream is replaced, and against
// nodes that stay for ever after their member is lost.
func TestExchange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		here, there := NewRegistry(), NewRegistry()
		receiver := NewExchange(there, "there", 1, nil, nil, log.NewNopLogger())
		var mu sync.Mutex
		var streams []net.Conn
		refuseDials := false
		dial := func(context.Context, string) (net.Conn, error) {
			mu.Lock()
			defer mu.Unlock()
			if refuseDials {
				return nil, errors.New("refused")
			}
			near, far := net.Pipe()
			streams = append(streams, far)
			running.Go(func() {
				conn := frame.NewConn(far)
				if first, err := conn.Receive(); err == nil {
					_ = receiver.ServeStream(first, conn)
				}
			})
			return near, nil
		}
		peers := func() []string { return []string{"there"} }
		sender := NewExchange(here, "here", 1, dial, peers, log.NewNopLogger())
		running.Go(func() { sender.Run(ctx) })
		running.Go(func() {
			for ctx.Err() == nil {
				there.Tick(time.Now(), true)
				sleep(ctx, TickInterval)
			}
		})
		nodes := newFakeNodes(5)
		for _, n := range nodes {
			here.Renew(time.Now(), n.nextHeartbeat())
		}
		time.Sleep(time.Second)
		assert.DeepEqual(t, listedInstances(there), expectedInstances(nodes...))
		here.Renew(time.Now(), nodes[0].stoppingHeartbeat())
		time.Sleep(2 * updateBatchDelay)
		assert.DeepEqual(t, listedInstances(there), expectedInstances(nodes[1:]...))

		// A node that the receiver has lost for any reason comes back.
		there.mu.Lock()
		there.removeLease(nodes[1].name)
		there.mu.Unlock()
		time.Sleep(fullUpdateInterval + maxUpdateInterval)
		assert.DeepEqual(t, listedInstances(there), expectedInstances(nodes[1:]...))

		// A second stream of the member begins before the first one is seen to end.
		extra := NewExchange(here, "here", 1, dial, peers, log.NewNopLogger())
		extraCtx, stopExtra := context.WithCancel(ctx)
		running.Go(func() { extra.Run(extraCtx) })
		time.Sleep(time.Second)
		mu.Lock()
		refuseDials = true
		_ = streams[0].Close()
		mu.Unlock()
		time.Sleep(OrphanDuration + massExpiryHold + massExpiryWindow + time.Minute)
		assert.DeepEqual(t, listedInstances(there), expectedInstances(nodes[1:]...))

		mu.Lock()
		for _, stream := range streams {
			_ = stream.Close()
		}
		mu.Unlock()
		time.Sleep(OrphanDuration - time.Second)
		assert.DeepEqual(t, listedInstances(there), expectedInstances(nodes[1:]...))
		time.Sleep(massExpiryHold + massExpiryWindow + time.Minute)
		assert.DeepEqual(t, listedInstances(there), expectedInstances())
		stopExtra()
		cancel()
		running.Wait()
	})
}

// TestExchangeConnectsToDelayedMember guards against members that start together and list the
// upstreams of their own nodes only for a second, because one listened a moment after the
// other had dialled it.
func TestExchangeConnectsToDelayedMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const listenDelay = 300 * time.Millisecond
		here, there := NewRegistry(), NewRegistry()
		receiver := NewExchange(there, "there", 1, nil, nil, log.NewNopLogger())
		began := time.Now()
		near, far := net.Pipe()
		dial := func(context.Context, string) (net.Conn, error) {
			if time.Since(began) < listenDelay {
				return nil, errors.New("refused")
			}
			return near, nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() {
			conn := frame.NewConn(far)
			if first, err := conn.Receive(); err == nil {
				_ = receiver.ServeStream(first, conn)
			}
		})
		sender := NewExchange(here, "here", 1, dial, func() []string { return []string{"there"} }, log.NewNopLogger())
		running.Go(func() { sender.Run(ctx) })
		nodes := newFakeNodes(3)
		for _, n := range nodes {
			here.Renew(time.Now(), n.nextHeartbeat())
		}
		time.Sleep(2 * listenDelay)
		assert.DeepEqual(t, listedInstances(there), expectedInstances(nodes...))
		cancel()
		running.Wait()
	})
}
