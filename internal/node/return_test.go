package node

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/node/directory"
	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
)

// TestStartingNodeSetsRetryAfter guards against callers of a node without configuration
// that use up their retries before it has one.
func TestStartingNodeSetsRetryAfter(t *testing.T) {
	control := newFakeControl(t)
	control.withheldNode = "entry"
	entry := control.startNode(t, "entry", "a", "")
	a := send(t, "GET", entry.url("/p"), nil, httpapi.HeaderTimeout, "6000")
	assert.Equal(t, a.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, a.outcome(), httpapi.OutcomeNotRun)
	retryAfter := a.Header.Get("Retry-After")
	assert.Assert(t, retryAfter == "1" || retryAfter == "2", "%q", retryAfter) // a sixth to a third of 6 s
}

// TestCallersWaitForConfiguration guards against refusing callers of a node that has just
// started and gets its configuration, and then its instances, a moment later.
func TestCallersWaitForConfiguration(t *testing.T) {
	control := newFakeControl(t)
	control.withheldNode, control.stale, control.ignoresHeartbeats = "entry", true, true
	entry := control.startNode(t, "entry", "a", "")
	entry.serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	answers := make(chan testResponse, 1)
	go func() { answers <- send(t, "GET", entry.url("/p"), nil, httpapi.HeaderTimeout, "6000") }()
	time.Sleep(50 * time.Millisecond)
	control.update(func() { control.withheldNode = "" })
	time.Sleep(50 * time.Millisecond)
	listed := entry.Node.upstream.registryEntry("entry", "a", entry.settings.MeshAddress, entry.startedAtNs)
	control.update(func() { control.instances[listed.GetId()] = listed })
	assert.Equal(t, (<-answers).StatusCode, http.StatusOK)
}

// TestNoWaitWithCompleteInstanceList guards against callers that wait for instances of a
// service that has none.
func TestNoWaitWithCompleteInstanceList(t *testing.T) {
	control := newFakeControl(t)
	entry := control.startNode(t, "entry", "a", "")
	entry.directory.Await(t.Context(), func(v *directory.View) bool { return !v.Stale })
	send(t, "GET", entry.url("/p"), nil, httpapi.HeaderTimeout, "6000") // subscribes to the service
	start := time.Now()
	a := send(t, "GET", entry.url("/p"), nil, httpapi.HeaderTimeout, "6000")
	assert.Equal(t, a.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(start) < maxStartWait)
}
