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

// TestExchange guards against three faults: the nodes of a member are missing at the other
// members, all nodes of a member are removed when a newer stream replaces its stream, and
// nodes stay listed forever after their member is lost.
func TestExchange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		local, remote := NewRegistry(), NewRegistry()
		receiver := NewExchange(remote, "there", 1, nil, nil, log.NewNopLogger())
		var mu sync.Mutex
		var streams []net.Conn
		refuseDials := false
		dial := func(context.Context, string) (net.Conn, error) {
			mu.Lock()
			defer mu.Unlock()
			if refuseDials {
				return nil, errors.New("refused")
			}
			senderEnd, receiverEnd := net.Pipe()
			streams = append(streams, receiverEnd)
			running.Go(func() {
				conn := frame.NewConn(receiverEnd)
				if first, err := conn.Receive(); err == nil {
					_ = receiver.ServeStream(first, conn)
				}
			})
			return senderEnd, nil
		}
		peerAddresses := func() []string { return []string{"there"} }
		sender := NewExchange(local, "here", 1, dial, peerAddresses, log.NewNopLogger())
		running.Go(func() { sender.Run(ctx) })
		running.Go(func() {
			for ctx.Err() == nil {
				remote.Tick(time.Now(), true)
				sleep(ctx, TickInterval)
			}
		})
		nodes := newFakeNodes(5)
		for _, n := range nodes {
			local.Renew(time.Now(), n.nextHeartbeat())
		}
		time.Sleep(time.Second)
		assert.DeepEqual(t, listedInstances(remote), expectedInstances(nodes...))
		local.Renew(time.Now(), nodes[0].stoppingHeartbeat())
		time.Sleep(2 * updateBatchDelay)
		assert.DeepEqual(t, listedInstances(remote), expectedInstances(nodes[1:]...))

		// The next full update restores a node that the receiver has lost for any reason.
		remote.mu.Lock()
		remote.removeLease(nodes[1].name)
		remote.mu.Unlock()
		time.Sleep(fullUpdateInterval + maxUpdateInterval)
		assert.DeepEqual(t, listedInstances(remote), expectedInstances(nodes[1:]...))

		// The member opens a second stream before the receiver detects the end of the first.
		second := NewExchange(local, "here", 1, dial, peerAddresses, log.NewNopLogger())
		secondCtx, stopSecond := context.WithCancel(ctx)
		running.Go(func() { second.Run(secondCtx) })
		time.Sleep(time.Second)
		mu.Lock()
		refuseDials = true
		_ = streams[0].Close()
		mu.Unlock()
		time.Sleep(OrphanDuration + massExpiryHold + massExpiryWindow + time.Minute)
		assert.DeepEqual(t, listedInstances(remote), expectedInstances(nodes[1:]...))

		mu.Lock()
		for _, stream := range streams {
			_ = stream.Close()
		}
		mu.Unlock()
		time.Sleep(OrphanDuration - time.Second)
		assert.DeepEqual(t, listedInstances(remote), expectedInstances(nodes[1:]...))
		time.Sleep(massExpiryHold + massExpiryWindow + time.Minute)
		assert.DeepEqual(t, listedInstances(remote), expectedInstances())
		stopSecond()
		cancel()
		running.Wait()
	})
}

// TestExchangeConnectsToDelayedMember guards against members that start together and for a
// second list only the upstreams of their own nodes, because one member started to listen
// shortly after the first connection attempt of the other.
func TestExchangeConnectsToDelayedMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const listenDelay = 300 * time.Millisecond
		local, remote := NewRegistry(), NewRegistry()
		receiver := NewExchange(remote, "there", 1, nil, nil, log.NewNopLogger())
		started := time.Now()
		senderEnd, receiverEnd := net.Pipe()
		dial := func(context.Context, string) (net.Conn, error) {
			if time.Since(started) < listenDelay {
				return nil, errors.New("refused")
			}
			return senderEnd, nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() {
			conn := frame.NewConn(receiverEnd)
			if first, err := conn.Receive(); err == nil {
				_ = receiver.ServeStream(first, conn)
			}
		})
		sender := NewExchange(local, "here", 1, dial, func() []string { return []string{"there"} }, log.NewNopLogger())
		running.Go(func() { sender.Run(ctx) })
		nodes := newFakeNodes(3)
		for _, n := range nodes {
			local.Renew(time.Now(), n.nextHeartbeat())
		}
		time.Sleep(2 * listenDelay)
		assert.DeepEqual(t, listedInstances(remote), expectedInstances(nodes...))
		cancel()
		running.Wait()
	})
}
