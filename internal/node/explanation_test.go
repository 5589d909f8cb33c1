package node

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
)

func (n *testNode) explain(t *testing.T, asked httpapi.ExplainRequest) (*httpapi.Explanation, string) {
	body, err := json.Marshal(asked)
	assert.NilError(t, err)
	a := send(t, "POST", "http://"+n.adminListener.Addr().String()+"/v1/explain", strings.NewReader(string(body)))
	explanation := &httpapi.Explanation{}
	if a.StatusCode == http.StatusOK {
		assert.NilError(t, json.Unmarshal([]byte(a.body), explanation))
	}
	return explanation, a.body
}

// TestExplanationAgrees guards, on a calm system, against an explanation that differs from the
// outcome of the request sent right after it, and against one that shows a key.
func TestExplanationAgrees(t *testing.T) {
	control := newFakeControl(t)
	node := startKeyedNode(t, control, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Header.Get("Chicory-Organisation"))
	})
	for _, c := range []struct {
		host, path, key, organisation string
	}{
		{"r.example", "/private/", acmeKey, "acme"},
		{"r.example", "/private/", otherKey, "other"},
		{"r.example", "/private/", unknownKey, ""},
		{"r.example", "/private/", "", ""},
		{"r.example", "/public/", "", ""},
		{"s.example", "/p", acmeKey, "acme"},
		{"none.example", "/p", acmeKey, ""},
	} {
		explanation, body := node.explain(t, httpapi.ExplainRequest{Host: c.host, Path: c.path, Key: c.key})
		var keys []string
		if c.key != "" {
			keys = []string{c.key}
			assert.Assert(t, !strings.Contains(body, c.key), body)
		}
		response := node.sendKeys(t, c.host, c.path, keys...)
		want := http.StatusOK
		if explanation.Refusal != nil {
			want = explanation.Refusal.Status
			assert.Equal(t, response.Header.Get(httpapi.HeaderReason), explanation.Refusal.Reason, "%+v", c)
		} else {
			assert.Equal(t, explanation.Chosen, "i-n", body)
			assert.Equal(t, response.body, explanation.Organisation, "%+v", c)
		}
		assert.Equal(t, response.StatusCode, want, "%+v: %s", c, body)
		assert.Equal(t, explanation.Organisation, c.organisation, "%+v: %s", c, body)
	}
	byName, _ := node.explain(t, httpapi.ExplainRequest{Host: "r.example", Path: "/private/", Organisation: "acme"})
	byKey, _ := node.explain(t, httpapi.ExplainRequest{Host: "r.example", Path: "/private/", Key: acmeKey})
	assert.Equal(t, byName.Priority, byKey.Priority)
	assert.Equal(t, byName.Chosen, byKey.Chosen)
}

// TestExplanationChangesNothing guards against an explanation that takes a token of a budget,
// counts as a request or reaches the upstream. routing.TestPeek covers the traffic split.
func TestExplanationChangesNothing(t *testing.T) {
	control := newFakeControl(t)
	node := startKeyedNode(t, control, func(http.ResponseWriter, *http.Request) {})
	state := func() string {
		node.balancer.mu.Lock()
		defer node.balancer.mu.Unlock()
		return fmt.Sprintf("%+v %+v %d %d", *node.balancer.retryPolicies["s"], *node.balancer.states["i-n"],
			node.requests.Load(), node.metrics.upstreamRequests.Get())
	}
	time.Sleep(50 * time.Millisecond) // the last request may still release its permit
	before, calls := state(), node.metrics.calls[addressedByRoute].Get()
	for range 20 {
		node.explain(t, httpapi.ExplainRequest{Host: "r.example", Path: "/private/", Key: acmeKey})
	}
	assert.Equal(t, state(), before)
	assert.Equal(t, node.metrics.calls[addressedByRoute].Get(), calls)
}
