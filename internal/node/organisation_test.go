package node

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/settings"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

const (
	acmeKey  = "key-acme-51c7"
	otherKey = "key-other-09fe"
)

// documentWithKeys returns a document as nodes receive it, with a public and a private route
// and the keys of two organisations.
func documentWithKeys(t testing.TB, acmeKeys ...string) string {
	route := func(prefix string, public bool) document.Route {
		return document.Route{
			Host: "r.example", PathPrefix: prefix, Kind: document.RouteOnce, TimeoutMs: 5000, MaxAttempts: 2, Priority: 2,
			Backends: []document.Backend{{Service: "s"}}, Public: public,
		}
	}
	doc := &document.Document{
		Zones:    map[string]document.Zone{"a": {State: document.ZoneIn}},
		Services: map[string]document.Service{"s": {Hosts: []string{"s.example"}, TimeoutMs: 5000}},
		Routes:   map[string]document.Route{"private": route("/private/", false), "public": route("/public/", true)},
		Organisations: map[string]document.Organisation{
			"acme": {Keys: acmeKeys, Priority: 1}, "other": {Keys: []string{otherKey}},
		},
	}
	data, err := json.Marshal(doc.ForNodes())
	assert.NilError(t, err)
	return string(data)
}

// startKeyedNode starts a node whose upstream answers with the headers that it receives.
func startKeyedNode(t *testing.T, control *fakeControl, handler http.HandlerFunc) *testNode {
	control.document = documentWithKeys(t, acmeKey)
	node := control.startNode(t, "n", "a", "")
	node.serve(t, handler)
	node.waitForInstances(t, 1)
	eventually(t, func() bool { // a cold upstream takes one request at a time
		sendKeys(t, node, "r.example", "/public/")
		return node.Node.upstream.gate.Report().GetState() == wire.InstanceState_INSTANCE_WARM
	})
	return node
}

func echoHeaders(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_ = json.NewEncoder(w).Encode(r.Header)
}

// sendKeys sends a request with the keys and a forged organisation to a host and path.
func sendKeys(t *testing.T, node *testNode, host, path string, keys ...string) testResponse {
	request, err := http.NewRequest(http.MethodPost, "http://"+node.EntryAddress()+path, strings.NewReader("body"))
	assert.NilError(t, err)
	request.Host = host
	request.Header["chicory-organisation"] = []string{"forged", "forged too"}
	if path == "/p" { // a name in Connection must not remove what the node itself sends
		request.Header.Set("Connection", httpapi.HeaderOrganisation+", "+httpapi.HeaderAPIKey)
	}
	for _, key := range keys {
		request.Header.Add(httpapi.HeaderAPIKey, key)
	}
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer func() { assert.NilError(t, response.Body.Close()) }()
	data, err := io.ReadAll(response.Body)
	return testResponse{response, string(data), err}
}

// lockedBuffer collects log lines of several goroutines.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// TestKeysAtEntry guards against a request that runs without a valid key or is refused with
// one, against a key or an organisation of the caller's choice at the upstream, and against a
// key in the log, the metrics or the status.
func TestKeysAtEntry(t *testing.T) {
	const unknown = "key-unknown-77aa"
	cases := []struct {
		host, path           string
		keys                 []string
		reason, organisation string
	}{
		{"r.example", "/private/", []string{acmeKey}, "", "acme"},
		{"r.example", "/private/", []string{otherKey}, "", "other"},
		{"r.example", "/private/", nil, httpapi.ReasonKeyMissing, ""},
		{"r.example", "/private/", []string{""}, httpapi.ReasonKeyMissing, ""},
		{"r.example", "/private/", []string{unknown}, httpapi.ReasonKeyUnknown, ""},
		{"r.example", "/private/", []string{acmeKey + "," + otherKey}, httpapi.ReasonKeyUnknown, ""},
		{"r.example", "/private/", []string{acmeKey, acmeKey}, httpapi.ReasonKeyRepeated, ""},
		{"r.example", "/public/", nil, "", ""},
		{"r.example", "/public/", []string{acmeKey}, "", ""},
		{"r.example", "/public/", []string{unknown, unknown}, "", ""},
		{"s.example", "/p", nil, httpapi.ReasonKeyMissing, ""},
		{"s.example", "/p", []string{acmeKey}, "", "acme"},
		{"any", "/svc/s/p", nil, httpapi.ReasonKeyMissing, ""},
	}
	control := newFakeControl(t)
	logged := &lockedBuffer{}
	control.logger = log.NewJSONLogger(logged)
	node := startKeyedNode(t, control, echoHeaders)
	for _, c := range cases {
		before := node.requests.Load()
		a := sendKeys(t, node, c.host, c.path, c.keys...)
		assert.Equal(t, a.Header.Get(httpapi.HeaderReason), c.reason, "%v", c)
		assert.Assert(t, !strings.Contains(a.body, "key-") || c.reason != "", a.body)
		if c.reason != "" {
			assert.Equal(t, a.StatusCode, http.StatusUnauthorized)
			assert.Equal(t, a.outcome(), httpapi.OutcomeNotRun)
			assert.Equal(t, node.requests.Load(), before)
			assert.Assert(t, strings.HasPrefix(a.body, `{"error":`), a.body)
			continue
		}
		var received http.Header
		assert.NilError(t, json.Unmarshal([]byte(a.body), &received), a.body)
		assert.Equal(t, received.Get(httpapi.HeaderOrganisation), c.organisation, "%v", c)
		assert.Assert(t, !strings.Contains(a.body, "forged"), a.body)
	}
	var metricsText bytes.Buffer
	node.metrics.write(&metricsText)
	assert.Assert(t, strings.Contains(metricsText.String(), `chicorylever_key_refusals_total{reason="key-missing"} 4`), metricsText.String())
	assert.Assert(t, strings.Contains(logged.String(), httpapi.ReasonKeyMissing))
	status, err := json.Marshal(node.status())
	assert.NilError(t, err)
	for _, key := range []string{acmeKey, otherKey, unknown} {
		assert.Assert(t, !strings.Contains(logged.String()+metricsText.String()+string(status), key))
	}
}

// requestOnConn writes requests for the private route at once and returns their statuses.
func requestOnConn(t *testing.T, conn net.Conn, keys ...string) []int {
	var text strings.Builder
	for _, key := range keys {
		text.WriteString("GET /private/ HTTP/1.1\r\nHost: r.example\r\nChicory-Api-Key: " + key + "\r\n\r\n")
	}
	_, err := io.WriteString(conn, text.String())
	assert.NilError(t, err)
	return readStatuses(t, conn, len(keys))
}

// TestRemovedKeyIsRefused guards against a key that is still accepted after its removal, on an
// open connection, for pipelined requests or for a request whose body was on its way, and against
// a refusal of other keys.
func TestRemovedKeyIsRefused(t *testing.T) {
	control := newFakeControl(t)
	node := startKeyedNode(t, control, echoHeaders)
	conn, err := net.Dial("tcp", node.EntryAddress())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.DeepEqual(t, requestOnConn(t, conn, acmeKey, otherKey), []int{200, 200})

	slow, err := net.Dial("tcp", node.EntryAddress())
	assert.NilError(t, err)
	defer func() { _ = slow.Close() }()
	_, err = io.WriteString(slow, "POST /private/ HTTP/1.1\r\nHost: r.example\r\nChicory-Api-Key: "+acmeKey+"\r\nContent-Length: 4\r\n\r\nbo")
	assert.NilError(t, err)
	eventually(t, func() bool { return node.metrics.service("s").inFlight.Get() == 1 })
	before := node.requests.Load()

	revision := control.setDocument(documentWithKeys(t, "key-new"))
	eventually(t, func() bool { return node.directory.View().Revision == revision })
	assert.DeepEqual(t, requestOnConn(t, conn, acmeKey, otherKey, acmeKey, "key-new"), []int{401, 200, 401, 200})
	_, err = io.WriteString(slow, "dy")
	assert.NilError(t, err)
	assert.DeepEqual(t, readStatuses(t, slow, 1), []int{401})
	assert.Equal(t, node.requests.Load(), before+2)
}

// TestNestedCalls guards against a nested call that needs a key, loses the organisation or the
// rank of its parent, or tells the upstream an organisation, and against a call that is treated
// as nested after its parent has ended.
func TestNestedCalls(t *testing.T) {
	control := newFakeControl(t)
	var node *testNode
	type seen struct {
		organisation, header string
		priority             int
	}
	var nested []seen
	var statuses []int
	nestedCall := func(id string) testResponse {
		url := "http://" + node.EntryAddress() + "/svc/s/nested"
		return send(t, http.MethodGet, url, nil, httpapi.HeaderRequestID, id, httpapi.HeaderOrganisation, "forged")
	}
	node = startKeyedNode(t, control, func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(httpapi.HeaderRequestID)
		if r.URL.Path == "/public/" {
			return
		}
		parent, _ := node.Node.upstream.requestTracker.Parent(id + ".x")
		if r.URL.Path == "/nested" {
			nested = append(nested, seen{parent.Organisation, r.Header.Get(httpapi.HeaderOrganisation), parent.Priority})
			if len(nested) > 1 {
				return
			}
		}
		statuses = append(statuses, nestedCall(id+".1").StatusCode)
		w.Header().Set("Parent", id)
	})
	a := sendKeys(t, node, "r.example", "/private/", acmeKey)
	assert.Equal(t, a.StatusCode, http.StatusOK)
	assert.DeepEqual(t, statuses, []int{http.StatusOK, http.StatusOK})
	wanted := seen{organisation: "acme", priority: 1002}
	assert.Assert(t, len(nested) == 2 && nested[0] == wanted && nested[1] == wanted, "%v", nested)
	assert.Equal(t, nestedCall(a.Header.Get("Parent")+".1").StatusCode, http.StatusUnauthorized)
	assert.Equal(t, len(nested), 2)
}

// TestUnknownKeyAwaitsStatedRevision guards against a refusal of a key that is in a revision of
// which the node has learned but which it has not received yet.
func TestUnknownKeyAwaitsStatedRevision(t *testing.T) {
	control := newFakeControl(t)
	node := startKeyedNode(t, control, echoHeaders)
	entry := control.startNode(t, "entry", "a", "")
	entry.waitForInstances(t, 1)
	control.update(func() { control.withheldNode = "entry" })
	revision := control.setDocument(documentWithKeys(t, "key-new"))
	eventually(t, func() bool { return node.directory.View().Revision == revision })
	assert.Equal(t, sendKeys(t, entry, "r.example", "/private/", "key-new").StatusCode, http.StatusUnauthorized)
	entry.directory.ObserveRevision(node.liveSettings.Load().MeshAddress, revision)
	assert.Equal(t, sendKeys(t, entry, "r.example", "/private/", "key-new").StatusCode, http.StatusOK)
	assert.Equal(t, sendKeys(t, entry, "r.example", "/private/", acmeKey).StatusCode, http.StatusUnauthorized)
}

// TestNoConfigurationIsNoRefusalOfKeys guards against a 401 of a node that has just started: a
// caller would take its key for removed.
func TestNoConfigurationIsNoRefusalOfKeys(t *testing.T) {
	control := newFakeControl(t)
	control.document, control.withheldNode = documentWithKeys(t, acmeKey), "n"
	node := control.startNodeWith(t, &settings.Node{ID: "n", Zone: "a"}, "", Options{RoutesOnly: true})
	started := time.Now()
	a := sendKeys(t, node, "r.example", "/private/", acmeKey)
	assert.Equal(t, a.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, a.outcome(), httpapi.OutcomeNotRun)
	assert.Assert(t, time.Since(started) < 5*time.Second)
}

// readStatuses reads responses and returns their statuses.
func readStatuses(t *testing.T, conn net.Conn, count int) []int {
	_ = conn.SetReadDeadline(time.Now().Add(endlessTimeout))
	reader := bufio.NewReader(conn)
	var statuses []int
	for range count {
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		_ = response.Body.Close()
		statuses = append(statuses, response.StatusCode)
	}
	return statuses
}
