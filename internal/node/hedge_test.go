package node

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/coordination/retry"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// TestCancelledWhileQueued guards against running the loser of a hedge that was still queued at
// the node beside its upstream when the other attempt was answered. One failure: the entry
// cancels.
func TestCancelledWhileQueued(t *testing.T) {
	release := make(chan struct{})
	releaseAll := sync.OnceFunc(func() { close(release) })
	control := newFakeControl(t)
	// With so long an objective the attempt stays in the queue until it is cancelled.
	control.document = `{"services": {"s": {"timeout_ms": 60000}}, "routes": {"r": {"host": "r.example", "path_prefix": "/",
		"timeout_ms": 60000, "objective_ms": 60000, "backends": [{"service": "s", "weight": 1}]}}}`
	entry, beside := control.startNode(t, "entry", "a", ""), control.startNode(t, "beside", "a", "")
	beside.serve(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hold" {
			<-release
		}
	})
	entry.waitForInstances(t, 1)
	t.Cleanup(releaseAll) // the upstream waits for its handlers when it is closed
	eventually(t, func() bool {
		send(t, "GET", entry.url("/warm"), nil)
		return beside.Node.upstream.gate.Report().GetState() == wire.InstanceState_INSTANCE_WARM
	})
	done := make(chan struct{})
	get := func(ctx context.Context, path string) {
		request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry.EntryAddress()+path, http.NoBody)
		request.Host = "r.example"
		if response, err := http.DefaultClient.Do(request); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		done <- struct{}{}
	}
	report := beside.Node.upstream.gate.Report
	served := beside.requests.Load() + int32(beside.slots)
	for range beside.slots {
		go get(context.Background(), "/hold")
	}
	// A request has its place before it arrives at the upstream.
	eventually(t, func() bool { return int(report().GetInFlight()) == beside.slots && beside.requests.Load() == served })
	ctx, cancel := context.WithCancel(context.Background())
	go get(ctx, "/p")
	eventually(t, func() bool { return report().GetQueued() == 1 })
	cancel()
	eventually(t, func() bool { return report().GetQueued() == 0 && beside.metrics.cancelledQueued.Get() == 1 })
	releaseAll()
	for range beside.slots + 1 {
		<-done
	}
	eventually(t, func() bool { return report().GetInFlight() == 0 })
	assert.Equal(t, beside.requests.Load(), served, "a cancelled attempt ran")
	assert.Equal(t, beside.metrics.cancelledRunning.Get(), uint64(0))
}

// TestHedgingSwitchedOff guards against hedges with a share of 0 in the document.
func TestHedgingSwitchedOff(t *testing.T) {
	control := newFakeControl(t)
	control.document = `{"services": {"s": {"timeout_ms": 20000}}, "limits": {"hedge_share": 0}}`
	entry, beside := control.startNode(t, "entry", "a", ""), control.startNode(t, "beside", "a", "")
	beside.serve(t, func(http.ResponseWriter, *http.Request) {})
	entry.waitForInstances(t, 1)
	for range 200 {
		send(t, "GET", entry.url("/p"), nil)
	}
	limits := limitsWithDefaults(entry.directory.View().Doc)
	assert.Equal(t, entry.balancer.hedgeDelay("s", limits, retry.Primary{}), time.Duration(0))
	limits.HedgeShare = nil
	assert.Assert(t, entry.balancer.hedgeDelay("s", limits, retry.Primary{}) > 0)
}
