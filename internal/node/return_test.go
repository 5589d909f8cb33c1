package node

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
)

// TestStartingNodeTellsWhenToReturn guards against callers of a node without configuration
// that use up their returns before it has one.
func TestStartingNodeTellsWhenToReturn(t *testing.T) {
	control := newFakeControl(t)
	control.withheld = "entry"
	entry := control.startNode(t, "entry", "a", "")
	a := send(t, "GET", entry.url("/p"), nil, httpapi.HeaderTimeout, "6000")
	assert.Equal(t, a.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, a.outcome(), httpapi.OutcomeNotRun)
	after := a.Header.Get("Retry-After")
	assert.Assert(t, after == "1" || after == "2", "%q", after) // a sixth to a third of 6 s
}
