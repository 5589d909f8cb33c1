package node

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
)

// logRecorder keeps the log lines of all nodes of a test.
type logRecorder struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (l *logRecorder) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.data.Write(p)
}

// linesByMessage returns the log lines of the request by message.
func (l *logRecorder) linesByMessage(t *testing.T, requestID string) map[string]map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := map[string]map[string]any{}
	for line := range bytes.Lines(slices.Clone(l.data.Bytes())) {
		fields := map[string]any{}
		assert.NilError(t, json.Unmarshal(line, &fields))
		if fields["request"] == requestID {
			message, _ := fields["msg"].(string)
			found[message] = fields
		}
	}
	return found
}

// TestFailureIsExplained checks that the logs give the cause of a failed request under
// its request ID: when it was refused at once, timed out at the upstream, or lost the
// connection to the upstream. docs/OPERATIONS.md follows the same lines.
func TestFailureIsExplained(t *testing.T) {
	logs := &logRecorder{}
	control := newFakeControl(t)
	control.logger = log.NewJSONLogger(log.NewSyncWriter(logs))
	entry, upstreamNode := control.startNode(t, "entry", "a", ""), control.startNode(t, "beside", "a", "")
	upstreamNode.serve(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/slow":
			<-r.Context().Done()
		case "/cut":
			closeConnection(w, r)
		}
	})
	entry.waitForInstances(t, 1)
	for _, c := range []struct {
		name, id, path, timeoutMs string
		prepare                   func()
		status                    int
		outcome, result, reason   string
		refused                   bool
		sent, refusals            float64
	}{
		{
			name: "timed out", id: "00000000-0000-4000-8000-000000000001", path: "/slow", timeoutMs: "150",
			status: http.StatusGatewayTimeout, outcome: httpapi.OutcomeUnknown, result: "unknown",
			sent: 1,
		},
		{
			name: "broken off", id: "00000000-0000-4000-8000-000000000002", path: "/cut", timeoutMs: "5000",
			status: http.StatusBadGateway, outcome: httpapi.OutcomeUnknown, result: "unknown", reason: "connect", refused: true,
			sent: 1,
		},
		{
			name: "refused at once", id: "00000000-0000-4000-8000-000000000003", path: "/p", timeoutMs: "5000",
			prepare: func() { upstreamNode.Node.upstream.leave("1") },
			status:  http.StatusServiceUnavailable, outcome: httpapi.OutcomeNotRun, result: "not_run", reason: "leaving", refused: true,
			refusals: 1,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			// The upstream is cold and has one place, which a request of the case before that
			// timed out at the entry may still hold for a moment.
			eventually(t, func() bool { return upstreamNode.Node.upstream.gate.Report().GetInFlight() == 0 })
			if c.prepare != nil {
				c.prepare()
			}
			request, err := http.NewRequest(http.MethodPost, entry.url(c.path), http.NoBody)
			assert.NilError(t, err)
			request.Header.Set(httpapi.HeaderRequestID, c.id)
			request.Header.Set(httpapi.HeaderTimeout, c.timeoutMs)
			response, err := http.DefaultClient.Do(request)
			assert.NilError(t, err)
			_, _ = io.Copy(io.Discard, response.Body)
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, response.StatusCode, c.status, "%v", logs.linesByMessage(t, c.id))
			var found map[string]map[string]any
			eventually(t, func() bool { found = logs.linesByMessage(t, c.id); return found["request ended"] != nil })
			failed := found["attempt failed"]
			assert.Assert(t, failed != nil, "%v", found)
			assert.Equal(t, failed["outcome"], c.outcome)
			assert.Equal(t, failed["instance"], "i-beside")
			assert.Equal(t, failed["node"], "entry")
			ended := found["request ended"]
			assert.Equal(t, ended["result"], c.result)
			assert.Equal(t, ended["sent"], c.sent)
			assert.Equal(t, ended["refusals"], c.refusals)
			if c.refused {
				refused := found["attempt refused"]
				assert.Assert(t, refused != nil, "%v", found)
				assert.Equal(t, refused["reason"], c.reason)
				assert.Equal(t, refused["node"], "beside")
				assert.Equal(t, refused["not_run"], c.outcome == httpapi.OutcomeNotRun)
			}
		})
	}
}

// TestRejectedRequestIsLogged checks that a request is logged that is rejected before it
// becomes a call because the node has no configuration, or none with the service.
func TestRejectedRequestIsLogged(t *testing.T) {
	logs := &logRecorder{}
	control := newFakeControl(t)
	control.logger = log.NewJSONLogger(log.NewSyncWriter(logs))
	control.withheldNode = "entry"
	entry := control.startNode(t, "entry", "a", "")
	for _, revision := range []float64{0, 1} {
		const id = "00000000-0000-4000-8000-000000000004"
		if revision > 0 {
			control.update(func() { control.withheldNode = "" })
			eventually(t, func() bool { return entry.isReady() })
		}
		a := send(t, "GET", "http://"+entry.EntryAddress()+"/svc/unknown/p", nil, httpapi.HeaderRequestID, id, httpapi.HeaderTimeout, "300")
		assert.Equal(t, a.StatusCode, http.StatusServiceUnavailable)
		rejected := logs.linesByMessage(t, id)["request rejected"]
		assert.Equal(t, rejected["revision"], revision)
		assert.Equal(t, rejected["err"], errNoService.Error())
	}
}
