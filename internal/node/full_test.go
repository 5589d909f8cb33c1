package node

import (
	"net"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/settings"
)

// TestSheddingKeepsConnection guards against a new connection to the upstream after each
// response by which it sheds load, which costs it more than the response.
func TestSheddingKeepsConnection(t *testing.T) {
	const requests = 20
	dialect := httpapi.DefaultDialect()
	dialect.NotRun = "X-Test-Not-Run"
	var mu sync.Mutex
	connections := map[string]bool{}
	control := newFakeControl(t)
	entry := control.startNode(t, "entry", "a", "")
	beside := control.startNodeWith(t, &settings.Node{ID: "beside", Zone: "a"}, "", Options{Dialect: dialect})
	beside.serve(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		connections[r.RemoteAddr] = true
		w.Header().Set(dialect.NotRun, "1")
		http.Error(w, "full", http.StatusServiceUnavailable)
	})
	entry.waitForInstances(t, 1)
	for range requests {
		response := send(t, http.MethodGet, entry.url("/"), nil)
		assert.Equal(t, response.outcome(), httpapi.OutcomeNotRun)
	}
	mu.Lock()
	defer mu.Unlock()
	assert.Assert(t, beside.requests.Load() >= requests)
	assert.Equal(t, len(connections), 1)
}

// TestResetLowersLimit guards against sending on to an upstream that has reset a request
// because it is full.
func TestResetLowersLimit(t *testing.T) {
	_, entry, beside := startPair(t, func(w http.ResponseWriter, _ *http.Request) {
		raw, _, err := http.NewResponseController(w).Hijack()
		if !assert.Check(t, err) {
			return
		}
		assert.Check(t, raw.(*net.TCPConn).SetLinger(0))
		assert.Check(t, raw.Close())
	})
	for range 5 {
		response := send(t, http.MethodPost, entry.url("/"), nil)
		assert.Assert(t, response.StatusCode >= http.StatusInternalServerError)
	}
	assert.Equal(t, beside.requests.Load(), int32(2))
	assert.Equal(t, beside.metrics.upstreamResets.Get(), uint64(2))
}

// TestResetWithRoomIsFailure guards against fewer requests for an upstream that loses responses.
// Load: an upstream that reports room in its responses resets each request; before, two resets
// paused it.
func TestResetWithRoomIsFailure(t *testing.T) {
	_, entry, beside := startPair(t, func(w http.ResponseWriter, _ *http.Request) {
		raw, _, err := http.NewResponseController(w).Hijack()
		if !assert.Check(t, err) {
			return
		}
		assert.Check(t, raw.(*net.TCPConn).SetLinger(0))
		assert.Check(t, raw.Close())
	})
	for range 5 {
		assert.Assert(t, beside.Node.upstream.setReportedLoad(beside.Node.upstream.currentAnnouncement().StartID, 0))
		response := send(t, http.MethodPost, entry.url("/"), nil)
		assert.Assert(t, response.StatusCode >= http.StatusInternalServerError)
	}
	assert.Equal(t, beside.metrics.upstreamResets.Get(), uint64(0))
}
