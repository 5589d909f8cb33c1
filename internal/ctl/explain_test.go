package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
)

// TestExplain guards against a key that is printed or not sent, and against an output that
// leaves out the choice or the refusal.
func TestExplain(t *testing.T) {
	const key = "secret-key-1"
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var asked httpapi.ExplainRequest
		_ = json.NewDecoder(r.Body).Decode(&asked)
		e := httpapi.Explanation{Service: "drafts", Chosen: "i-1", Candidates: []httpapi.ExplainedCandidate{{Instance: "i-1", Ejected: true}}}
		if asked.Key != key {
			e.Refusal = &httpapi.ExplainedRefusal{Status: 401, Reason: "key-missing", RetryAfterSeconds: 1}
		}
		_ = json.NewEncoder(w).Encode(e)
	}))
	defer server.Close()
	run := func(input string, args ...string) string {
		out := &bytes.Buffer{}
		args = append([]string{"chicoryctl"}, args...)
		code := Run(context.Background(), args, Streams{In: strings.NewReader(input), Out: out, Err: out})
		assert.Equal(t, code, ExitOK, out.String())
		return out.String()
	}
	for _, output := range []string{"text", "json"} {
		got := run(key+"\n", "--output", output, "explain", "--node", server.URL, "--host", "a.example", "--key-stdin")
		assert.Assert(t, strings.Contains(got, "i-1") && strings.Contains(got, "ejected") && !strings.Contains(got, key), got)
		got = run("", "--output", output, "explain", "--node", server.URL, "--host", "a.example")
		assert.Assert(t, strings.Contains(got, "key-missing"), got)
	}
}
