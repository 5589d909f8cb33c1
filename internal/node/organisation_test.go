package node

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

const (
	acmeKey    = "key-acme-51c7"
	otherKey   = "key-other-09fe"
	unknownKey = "key-unknown-77aa"
)

// documentWithKeys returns a document as nodes receive it, with a public and a private route
// and two organisations.
func documentWithKeys(t testing.TB, acmeKeys ...string) string {
	route := func(prefix string, public bool) document.Route {
		return document.Route{Host: "r.example", PathPrefix: prefix, TimeoutMs: 5000, Priority: 2, Backends: []document.Backend{{Service: "s"}}, Public: public}
	}
	doc := &document.Document{
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

// startKeyedNode starts a node with acmeKey whose upstream is warm.
func startKeyedNode(t *testing.T, control *fakeControl, handler http.HandlerFunc) *testNode {
	control.document = documentWithKeys(t, acmeKey)
	node := control.startNode(t, "n", "a", "")
	node.serve(t, handler)
	node.waitForInstances(t, 1)
	eventually(t, func() bool { // a cold upstream takes one request at a time
		node.sendKeys(t, "r.example", "/public/")
		return node.Node.upstream.gate.Report().GetState() == wire.InstanceState_INSTANCE_WARM
	})
	return node
}

func echoHeaders(w http.ResponseWriter, r *http.Request) { _ = json.NewEncoder(w).Encode(r.Header) }

func (n *testNode) dialEntry(t *testing.T) net.Conn {
	conn, err := net.Dial("tcp", n.EntryAddress())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// requestWithKeys returns a request with a forged organisation.
func requestWithKeys(host, path string, keys ...string) string {
	text := "GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\nchicory-organisation: forged\r\n"
	if path == "/p" { // a name in Connection must not remove what the node itself sends
		text += "Connection: Chicory-Organisation, Chicory-Api-Key\r\n"
	}
	for _, key := range keys {
		text += "Chicory-Api-Key: " + key + "\r\n"
	}
	return text + "\r\n"
}

// exchange writes requests at once and returns the responses and their statuses.
func exchange(t *testing.T, conn net.Conn, requests ...string) (responses []testResponse, statuses []int) {
	_, err := io.WriteString(conn, strings.Join(requests, ""))
	assert.NilError(t, err)
	_ = conn.SetReadDeadline(time.Now().Add(endlessTimeout))
	reader := bufio.NewReader(conn)
	for range requests {
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		assert.NilError(t, err)
		responses = append(responses, testResponse{response, string(body), nil})
		statuses = append(statuses, response.StatusCode)
	}
	return responses, statuses
}

func (n *testNode) sendKeys(t *testing.T, host, path string, keys ...string) testResponse {
	responses, _ := exchange(t, n.dialEntry(t), requestWithKeys(host, path, keys...))
	return responses[0]
}

// TestKeysAtEntry guards against a request that runs without a valid key or is refused with
// one, against a key or an organisation of the caller's choice at the upstream, and against a
// key in the log, the metrics or the status.
func TestKeysAtEntry(t *testing.T) {
	cases := []struct {
		host, path           string
		keys                 []string
		reason, organisation string
	}{
		// The rate limit of the log lets the first refusal through: it must be one with a key.
		{"r.example", "/private/", []string{unknownKey}, httpapi.ReasonKeyUnknown, ""},
		{"r.example", "/private/", []string{acmeKey}, "", "acme"},
		{"r.example", "/private/", []string{otherKey}, "", "other"},
		{"r.example", "/private/", nil, httpapi.ReasonKeyMissing, ""},
		{"r.example", "/private/", []string{""}, httpapi.ReasonKeyMissing, ""},
		{"r.example", "/private/", []string{acmeKey + "," + otherKey}, httpapi.ReasonKeyUnknown, ""},
		{"r.example", "/private/", []string{acmeKey, acmeKey}, httpapi.ReasonKeyRepeated, ""},
		{"r.example", "/public/", nil, "", ""},
		{"r.example", "/public/", []string{acmeKey}, "", ""},
		{"r.example", "/public/", []string{unknownKey, unknownKey}, "", ""},
		{"s.example", "/p", nil, httpapi.ReasonKeyMissing, ""},
		{"s.example", "/p", []string{acmeKey}, "", "acme"},
		{"any", "/svc/s/p", nil, httpapi.ReasonKeyMissing, ""},
	}
	control, logs := newFakeControl(t), &logRecorder{}
	control.logger = log.NewJSONLogger(logs)
	node := startKeyedNode(t, control, echoHeaders)
	for _, c := range cases {
		before := node.requests.Load()
		a := node.sendKeys(t, c.host, c.path, c.keys...)
		assert.Equal(t, a.Header.Get(httpapi.HeaderReason), c.reason, "%v", c)
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
		assert.Assert(t, !strings.Contains(a.body, "forged") && !strings.Contains(a.body, "key-"), a.body)
	}
	bodyAwaited := "POST /private/ HTTP/1.1\r\nHost: r.example\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\n"
	_, statuses := exchange(t, node.dialEntry(t), bodyAwaited)
	assert.DeepEqual(t, statuses, []int{http.StatusUnauthorized})

	var output bytes.Buffer
	node.metrics.write(&output)
	assert.Assert(t, strings.Contains(output.String(), `chicorylever_key_refusals_total{reason="key-missing"} 5`))
	assert.NilError(t, json.NewEncoder(&output).Encode(node.status()))
	logs.mu.Lock()
	output.Write(logs.data.Bytes())
	logs.mu.Unlock()
	assert.Assert(t, strings.Contains(output.String(), "request refused for its key"))
	for _, key := range []string{acmeKey, otherKey, unknownKey} {
		assert.Assert(t, !strings.Contains(output.String(), key))
	}
}

// TestRemovedKeyIsRefused guards against a key that is still accepted after its removal, on an
// open connection, for pipelined requests or for a request whose body was on its way, and against
// a refusal of other keys.
func TestRemovedKeyIsRefused(t *testing.T) {
	control := newFakeControl(t)
	node := startKeyedNode(t, control, echoHeaders)
	conn, slow := node.dialEntry(t), node.dialEntry(t)
	withKey := func(key string) string { return requestWithKeys("r.example", "/private/", key) }
	_, statuses := exchange(t, conn, withKey(acmeKey), withKey(otherKey))
	assert.DeepEqual(t, statuses, []int{200, 200})
	_, err := io.WriteString(slow, "POST /private/ HTTP/1.1\r\nHost: r.example\r\nChicory-Api-Key: "+acmeKey+"\r\nContent-Length: 4\r\n\r\nbo")
	assert.NilError(t, err)
	eventually(t, func() bool { return node.metrics.service("s").inFlight.Get() == 1 })
	before := node.requests.Load()

	revision := control.setDocument(documentWithKeys(t, "key-new"))
	eventually(t, func() bool { return node.directory.View().Revision == revision })
	_, statuses = exchange(t, conn, withKey(acmeKey), withKey(otherKey), withKey(acmeKey), withKey("key-new"))
	assert.DeepEqual(t, statuses, []int{401, 200, 401, 200})
	_, statuses = exchange(t, slow, "dy")
	assert.DeepEqual(t, statuses, []int{401})
	assert.Equal(t, node.requests.Load(), before+2)
}

// TestNestedCalls guards against a nested call that needs a key, loses the organisation or the
// rank of its parent, or tells the upstream an organisation, and against a call that is treated
// as nested after its parent has ended.
func TestNestedCalls(t *testing.T) {
	type seen struct {
		organisation, header string
		priority             int
	}
	var node *testNode
	var nested []seen
	var statuses []int
	nestedCall := func(id string) int {
		url := "http://" + node.EntryAddress() + "/svc/s/nested"
		return send(t, http.MethodGet, url, nil, httpapi.HeaderRequestID, id, httpapi.HeaderOrganisation, "forged").StatusCode
	}
	node = startKeyedNode(t, newFakeControl(t), func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(httpapi.HeaderRequestID)
		if r.URL.Path == "/public/" {
			return
		}
		if r.URL.Path == "/nested" {
			parent, _ := node.Node.upstream.requestTracker.Parent(id + ".x")
			nested = append(nested, seen{parent.Organisation, r.Header.Get(httpapi.HeaderOrganisation), parent.Priority})
		}
		if len(nested) < 2 {
			statuses = append(statuses, nestedCall(id+".1"))
		}
		w.Header().Set("Parent", id)
	})
	a := node.sendKeys(t, "r.example", "/private/", acmeKey)
	assert.DeepEqual(t, append(statuses, a.StatusCode), []int{200, 200, 200})
	wanted := seen{organisation: "acme", priority: 1002}
	assert.Assert(t, len(nested) == 2 && nested[0] == wanted && nested[1] == wanted, "%v", nested)
	assert.Equal(t, nestedCall(a.Header.Get("Parent")+".1"), http.StatusUnauthorized)
	assert.Equal(t, len(nested), 2)
}

// TestUnknownKeyAwaitsStatedRevision guards against a refusal of a key that is in a revision of
// which the node has learned but which it has not received yet, and against a 401 of a node that
// has no configuration: its callers would take their keys for removed.
func TestUnknownKeyAwaitsStatedRevision(t *testing.T) {
	control := newFakeControl(t)
	node := startKeyedNode(t, control, echoHeaders)
	entry := control.startNode(t, "entry", "a", "")
	entry.waitForInstances(t, 1)
	control.update(func() { control.withheldNode = "entry" })
	revision := control.setDocument(documentWithKeys(t, "key-new"))
	eventually(t, func() bool { return node.directory.View().Revision == revision })
	status := func(key string) int { return entry.sendKeys(t, "r.example", "/private/", key).StatusCode }
	assert.Equal(t, status("key-new"), http.StatusUnauthorized)
	entry.directory.ObserveRevision(node.liveSettings.Load().MeshAddress, revision)
	assert.Equal(t, status("key-new"), http.StatusOK)
	assert.Equal(t, status(acmeKey), http.StatusUnauthorized)

	control.update(func() { control.withheldNode = "new" })
	entry = control.startNode(t, "new", "a", "")
	assert.Equal(t, status("key-new"), http.StatusServiceUnavailable)
}
