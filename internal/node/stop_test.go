package node

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStoppingNodeUsesItsUpstream guards against an upstream that idles for the whole stop
// of the node beside it: while callers are still turning away, it must get work, and none
// once the node is about to close.
func TestStoppingNodeUsesItsUpstream(t *testing.T) {
	const delay = time.Second
	control := newFakeControl(t)
	entry := control.startNode(t, "entry", "a", "")
	stopping := control.startNode(t, "stopping", "a", "")
	stopping.serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	assert.Equal(t, send(t, "GET", entry.url("/p"), nil).StatusCode, http.StatusOK)

	stopping.live.Load().StopDelayMs = int(delay.Milliseconds())
	stopping.stop()
	time.Sleep(delay / 4)
	assert.Assert(t, !stopping.isReady())
	assert.Equal(t, send(t, "GET", entry.url("/p"), nil).StatusCode, http.StatusOK)
	time.Sleep(delay/2 + workLead/2)
	assert.Equal(t, send(t, "GET", entry.url("/p"), nil).StatusCode, http.StatusServiceUnavailable)
}
