package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/settings"
)

const (
	routedHost = "r.example"
	// routedDocument has a route whose prefix looks like a path that names a service.
	routedDocument = `{"zones": {"a": {"state": "in"}}, "services": {"s": {"hosts": ["s.example"], "timeout_ms": 20000}},
		"routes": {"r": {"host": "r.example", "path_prefix": "/svc/s/", "kind": "once", "timeout_ms": 5000, "backends": [{"service": "s"}]}}}`
	unroutedDocument = `{"zones": {"a": {"state": "in"}}, "services": {"s": {"hosts": ["s.example"], "timeout_ms": 20000}}}`
	emptyDocument    = `{"zones": {}, "services": {}}`
)

// sendTo sends a request to the entry with the given Host header and path.
func sendTo(t *testing.T, entry *testNode, host, path string) testResponse {
	request, err := http.NewRequest(http.MethodPost, "http://"+entry.EntryAddress()+path, strings.NewReader("body"))
	assert.NilError(t, err)
	request.Host = host
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer func() { assert.NilError(t, response.Body.Close()) }()
	data, err := io.ReadAll(response.Body)
	return testResponse{response, string(data), err}
}

func (c *fakeControl) setDocument(document string) (revision uint64) {
	c.update(func() {
		c.revision++
		c.document = document
		revision = c.revision
	})
	return revision
}

// TestDroppedRouteIsNotServed guards against requests that reach a service by its path or
// host, past the routes, after the route was dropped or where none ever led to it (issue
// 30, CONFIG).
func TestDroppedRouteIsNotServed(t *testing.T) {
	control := newFakeControl(t)
	control.document = routedDocument
	node := control.startNodeWith(t, &settings.Node{ID: "n", Zone: "a"}, "", Options{RoutesOnly: true})
	node.serve(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) })
	node.waitForInstances(t, 1)

	a := sendTo(t, node, routedHost, "/svc/s/p")
	assert.Equal(t, a.StatusCode, http.StatusOK)
	assert.Equal(t, a.body, "/svc/s/p")
	for _, target := range []struct{ host, path string }{{"other.example", "/svc/s/p"}, {"s.example", "/p"}} {
		assert.Equal(t, sendTo(t, node, target.host, target.path).StatusCode, http.StatusNotFound, target)
	}
	assert.Equal(t, node.metrics.calls[addressedByRoute].Get(), uint64(1))

	revision := control.setDocument(unroutedDocument)
	eventually(t, func() bool { return node.directory.View().Revision == revision })
	a = sendTo(t, node, routedHost, "/svc/s/p")
	assert.Equal(t, a.StatusCode, http.StatusNotFound)
	assert.Equal(t, a.Header.Get(httpapi.HeaderReason), httpapi.ReasonNoRoute)
	assert.Equal(t, node.requests.Load(), int32(1))
}

// TestNoRouteWithoutServices guards against a 404, which callers don't repeat, before the
// operators have sent their first configuration.
func TestNoRouteWithoutServices(t *testing.T) {
	control := newFakeControl(t)
	control.document = emptyDocument
	node := control.startNodeWith(t, &settings.Node{ID: "n", Zone: "a"}, "", Options{RoutesOnly: true})
	eventually(t, func() bool { return node.directory.View().Revision == 1 })
	a := sendTo(t, node, routedHost, "/svc/s/p")
	assert.Equal(t, a.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, a.outcome(), httpapi.OutcomeNotRun)
}

// TestServiceIsNamedByPathOrHost guards against losing the addressing of the project's own
// interface, and against a wrong name of it in the metrics.
func TestServiceIsNamedByPathOrHost(t *testing.T) {
	control := newFakeControl(t)
	control.document = unroutedDocument
	node := control.startNode(t, "n", "a", "")
	node.serve(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) })
	node.waitForInstances(t, 1)
	assert.Equal(t, sendTo(t, node, routedHost, "/svc/s/p").body, "/p")
	assert.Equal(t, sendTo(t, node, "S.example:80", "/svc2/p").body, "/svc2/p")
	assert.Equal(t, node.metrics.calls[addressedByPath].Get(), uint64(1))
	assert.Equal(t, node.metrics.calls[addressedByHost].Get(), uint64(1))
}

// sendTarget sends a GET with the target byte for byte and returns the status and the body.
func sendTarget(t *testing.T, entry *testNode, host, target string) (status int, body string) {
	netConn, err := net.Dial("tcp", entry.EntryAddress())
	assert.NilError(t, err)
	defer func() { assert.NilError(t, netConn.Close()) }()
	_ = netConn.SetDeadline(time.Now().Add(endlessTimeout))
	_, err = io.WriteString(netConn, "GET "+target+" HTTP/1.1\r\nHost: "+host+"\r\n\r\n")
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(netConn), nil)
	assert.NilError(t, err)
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return response.StatusCode, string(data)
}

// TestTargetIsSentUnchanged guards against a request that runs with another path than the
// caller sent: with characters that RFC 3986 does not allow, which some callers send
// unescaped, with "#", or with an empty segment. What can't be sent as it came gets 400.
func TestTargetIsSentUnchanged(t *testing.T) {
	control := newFakeControl(t)
	control.document = strings.Replace(routedDocument, "/svc/s/", "/", 1)
	node := control.startNodeWith(t, &settings.Node{ID: "n", Zone: "a"}, "", Options{RoutesOnly: true})
	node.serve(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.RequestURI) })
	node.waitForInstances(t, 1)
	for _, target := range []string{
		"/", "/a?b=c&d", "/a%7Cb%2F", "/a|b", "/a^b{c}", `/a"b<c>`, "/caf\u00e9?\u00e9", "/a#b", "/a?b#c", "//a/b", "/a//b", "/a/../b", "/?",
	} {
		status, body := sendTarget(t, node, routedHost, target)
		assert.Equal(t, status, http.StatusOK, target)
		assert.Equal(t, body, target)
	}
	for _, target := range []string{"//a|b", "//a#b", "/%zz", "/a\x7fb", "/\xff"} {
		status, _ := sendTarget(t, node, routedHost, target)
		assert.Equal(t, status, http.StatusBadRequest, "%q", target)
	}
}
