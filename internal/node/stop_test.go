package node

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStoppingNodeUsesItsUpstream guards against an upstream that idles during the whole
// stop delay of the node beside it. The upstream must get requests while callers move to
// other nodes, and none from admissionStopLead before the end of the delay.
func TestStoppingNodeUsesItsUpstream(t *testing.T) {
	const delay = time.Second
	control := newFakeControl(t)
	entry := control.startNode(t, "entry", "a", "")
	stopping := control.startNode(t, "stopping", "a", "")
	stopping.serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	assert.Equal(t, send(t, "GET", entry.url("/p"), nil).StatusCode, http.StatusOK)

	stopping.liveSettings.Load().StopDelayMs = int(delay.Milliseconds())
	stopping.stop()
	time.Sleep(delay / 4)
	assert.Assert(t, !stopping.isReady())
	assert.Equal(t, send(t, "GET", entry.url("/p"), nil).StatusCode, http.StatusOK)
	time.Sleep(delay/2 + admissionStopLead/2)
	assert.Equal(t, send(t, "GET", entry.url("/p"), nil).StatusCode, http.StatusServiceUnavailable)
}
