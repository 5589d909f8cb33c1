package node

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/coordination/admission"
	"github.com/chicorylever/chicorylever/internal/node/directory"
	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/settings"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

// FuzzHeaders guards against header values that lead to a call whose timeout, depth or
// idempotency key exceeds its bound, and against values that cannot be encoded for another
// node. Header values need not be UTF-8 (RFC 9110, section 5.5).
func FuzzHeaders(f *testing.F) {
	f.Add("250", "3", "key", "host", "6ba7b810-9dad-11d1-80b4-00c04fd430c8", "caf\xe9")
	f.Add("2147483648", "256", "", "drafts:80", "", "")
	f.Add("", "", "\xff", "[::1", "urn:uuid:", "text")
	f.Add("0", "16", "k", "[host]:", "{6ba7b810-9dad-11d1-80b4-00c04fd430c8}", "a, b")
	current := &directory.View{
		Doc:   &document.Document{Services: map[string]document.Service{"drafts": {}}},
		Hosts: map[string]string{"host": "drafts"},
	}
	n := &Node{settings: &settings.Node{}, dialect: httpapi.DefaultDialect(), splitter: newTrafficSplitter(), upstream: newUpstream(httpapi.DefaultDialect(), admission.ColdTolerance{}, log.NewNopLogger())}
	n.liveSettings.Store(n.settings)
	f.Fuzz(func(t *testing.T, timeout, depth, key, host, id, value string) {
		r := httptest.NewRequest(http.MethodPost, "/svc/drafts/x?y", nil)
		r.Host = host
		r.Header[httpapi.HeaderTimeout] = []string{timeout}
		r.Header[httpapi.HeaderDepth] = []string{depth}
		r.Header[httpapi.HeaderIdempotencyKey] = []string{key}
		r.Header[httpapi.HeaderRequestID] = []string{id}
		r.Header["X-Value"] = []string{value}
		r.URL.RawQuery = host
		r.Header["Connection"] = []string{key, depth}
		now := time.Unix(1, 0)
		c, err := n.newCall(current, r, now)
		if err != nil {
			return
		}
		assert.Assert(t, !c.deadline.Before(now) && !c.deadline.After(now.Add(maxTimeout)))
		assert.Assert(t, c.depth >= 1 && c.depth <= httpapi.MaxDepth)
		assert.Assert(t, c.idempotencyKey == key && key != "" && len(key) <= maxIdempotencyKeyBytes)
		head := c.head(&wire.Instance{}, &settings.Node{}, c.view.Revision, 1)
		encoded, err := proto.Marshal(head)
		assert.NilError(t, err)
		decoded := &wire.RequestHead{}
		assert.NilError(t, proto.Unmarshal(encoded, decoded))
		assert.Assert(t, proto.Equal(decoded, head))
	})
}

// TestNonUTF8HeaderValues guards against a request that is not run, or whose response is
// lost after it ran, because a header value is not UTF-8. Only an idempotency key must be UTF-8.
func TestNonUTF8HeaderValues(t *testing.T) {
	const value = "caf\xe9"
	_, entry, _ := startPair(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header()["X-Value"] = r.Header["X-Value"]
	})
	response := send(t, http.MethodPost, entry.url("/p"), nil, "X-Value", value)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, response.Header.Get("X-Value"), value)
	response = send(t, http.MethodPost, entry.url("/p"), nil, httpapi.HeaderIdempotencyKey, value)
	assert.Equal(t, response.StatusCode, http.StatusBadRequest)
	assert.Equal(t, response.outcome(), httpapi.OutcomeNotRun)
}

// FuzzAnnouncement guards against a panic on any announcement body from an upstream, and
// against accepting an announcement without an instance, without a start ID, or with slots
// out of bounds.
func FuzzAnnouncement(f *testing.F) {
	f.Add([]byte(`{"service":"drafts","address":"127.0.0.1:80","instance":"a","start_id":"1","slots":4}`))
	f.Add([]byte(`null`))
	f.Add([]byte(`{"slots":1e99}`))
	f.Add([]byte(`{"start_id":"\ud800","in_flight":-1}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		a, decoded := &httpapi.Announcement{}, &httpapi.Announcement{}
		if !decodeAnnouncement(body, a) || checkAnnouncement(a) != "" {
			return
		}
		assert.Assert(t, a.Slots > 0 && a.Connections >= 0 && a.Instance != "" && a.StartID != "")
		encoded, err := json.Marshal(a)
		assert.NilError(t, err)
		assert.Assert(t, decodeAnnouncement(encoded, decoded))
		assert.Equal(t, *decoded, *a)
	})
}

func decodeAnnouncement(body []byte, target any) bool {
	r := httptest.NewRequest(http.MethodPost, "/v1/announce", bytes.NewReader(body))
	return decodeBody(httptest.NewRecorder(), r, target)
}
