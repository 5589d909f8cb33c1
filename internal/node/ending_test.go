package node

import (
	"bufio"
	"bytes"
	"fmt"
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

// originDialect is a dialect in which responses may end with their connection, since those of an
// upstream bear a marker.
func originDialect() *httpapi.Dialect {
	dialect := httpapi.DefaultDialect()
	dialect.OriginMarker = "X-Origin"
	return dialect
}

// brokenUpstream sends a response to each request as soon as its head has arrived, and then ends
// the connection while the body of the request may still be on its way.
type brokenUpstream struct {
	response string
	// resets is set to reset the connection in place of closing it, holds to leave it open until
	// the peer closes it.
	resets, holds bool
}

func (u *brokenUpstream) serve(netConn net.Conn) {
	defer func() { _ = netConn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(netConn)); err != nil {
		return
	}
	_, _ = io.WriteString(netConn, u.response)
	if u.holds {
		_, _ = io.Copy(io.Discard, netConn)
	}
	// The part arrives before the reset.
	time.Sleep(20 * time.Millisecond)
	if u.resets {
		_ = netConn.(*net.TCPConn).SetLinger(0)
	}
}

// TestBrokenResponseOnEachWay guards against a response that an upstream broke off, or one that is
// none, and that a caller gets as a complete success: over each listener, beside the upstream and
// over the mesh, with each kind of body. An empty success that no upstream gave counts too.
func TestBrokenResponseOnEachWay(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Origin: 1\r\n"
	const length = "Content-Length: 2\r\n\r\nok"
	for _, c := range []struct {
		name     string
		upstream brokenUpstream
	}{
		{"reset within a body without length", brokenUpstream{response: head + "\r\npart", resets: true}},
		{"reset within a long body without length", brokenUpstream{response: head + "\r\n" + strings.Repeat("x", 2*maxBufferedBodyBytes), resets: true}},
		{"reset within a body of stated length", brokenUpstream{response: head + "Content-Length: 9\r\n\r\npart", resets: true}},
		{"reset within chunks", brokenUpstream{response: head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", resets: true}},
		{"reset without a response", brokenUpstream{response: "", resets: true}},
		{"closed without a response", brokenUpstream{response: ""}},
		{"closed within a body of stated length", brokenUpstream{response: head + "Content-Length: 9\r\n\r\npart"}},
		{"status 000", brokenUpstream{response: "HTTP/1.1 000 OK\r\nX-Origin: 1\r\n" + length}},
		{"blank behind the name of the length", brokenUpstream{response: head + "Content-Length : 2\r\n\r\nok"}},
		{"control byte in a name", brokenUpstream{response: head + "X\x01A: b\r\n" + length}},
		{"bytes that are no response", brokenUpstream{response: "no response"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			control := newFakeControl(t)
			options := Options{Dialect: originDialect()}
			distant := control.startNodeWith(t, &settings.Node{ID: "distant", Zone: "a"}, "", options)
			beside := control.startNodeWith(t, &settings.Node{ID: "beside", Zone: "a"}, "", options)
			beside.announce(t, listenRaw(t, c.upstream.serve), "1")
			distant.waitForInstances(t, 1)
			beside.waitForInstances(t, 1)
			for _, listener := range []struct{ name, address string }{
				{"entry beside the upstream", beside.EntryAddress()},
				{"entry over the mesh", distant.EntryAddress()},
				{"local beside the upstream", beside.LocalAddress()},
				{"local over the mesh", distant.LocalAddress()},
			} {
				for _, body := range []int{0, 100, maxBufferedBodyBytes, 4 << 20} {
					for _, method := range []string{http.MethodPost, http.MethodGet} {
						requireNoSuccess(t, listener.name, method, listener.address, body)
					}
				}
			}
		})
	}
}

// requireNoSuccess sends a request whose response is broken.
func requireNoSuccess(t *testing.T, listener, method, address string, bodyBytes int) {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+address+"/svc/s/p", bytes.NewReader(make([]byte, bodyBytes)))
	assert.NilError(t, err)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return // the connection has ended without a status
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	isWhole := err == nil
	what := fmt.Sprintf("%s, %s of %d bytes: %d with %d bytes, whole: %v", listener, method, bodyBytes, response.StatusCode, len(body), isWhole)
	assert.Assert(t, response.StatusCode >= http.StatusBadGateway || !isWhole, what)
	if response.StatusCode >= http.StatusBadGateway {
		assert.Assert(t, response.Header.Get(httpapi.HeaderOutcome) != "", what)
	}
}

// TestBrokenResponseToHTTP10 guards against a response that is broken off after a part of it was
// forwarded, and that appears complete to a caller of HTTP/1.0, for whom the connection ends it.
func TestBrokenResponseToHTTP10(t *testing.T) {
	upstream := &brokenUpstream{response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n40000\r\n" + strings.Repeat("x", 0x40000) + "\r\n"}
	n := newFakeControl(t).startNode(t, "n", "a", "")
	n.announce(t, listenRaw(t, upstream.serve), "1")
	n.waitForInstances(t, 1)
	for _, address := range []string{n.EntryAddress(), n.LocalAddress()} {
		netConn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		_, err = io.WriteString(netConn, "POST /svc/s/p HTTP/1.0\r\nHost: s\r\n\r\n")
		assert.NilError(t, err)
		response, err := io.ReadAll(netConn)
		assert.NilError(t, netConn.Close())
		assert.Check(t, err != nil, "%.40q of %d bytes appears complete", response, len(response))
	}
}

// TestBrokenResponseToStalledUpload guards against a request that waits for its deadline, or that
// gets a success nobody gave, because the caller has stopped sending the body when the upstream
// breaks off; and against one whose own deadline counts as the end of its caller.
func TestBrokenResponseToStalledUpload(t *testing.T) {
	for _, c := range []struct {
		name      string
		response  string
		timeoutMs int
		status    string
	}{
		{"no response", "", 20000, "HTTP/1.1 502 "},
		{"status 000", "HTTP/1.1 000 OK\r\n\r\n", 20000, "HTTP/1.1 502 "},
		{"part of a response", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", 20000, "HTTP/1.1 502 "},
		{"deadline", "HTTP/1.1 100 Continue\r\n\r\n", 300, "HTTP/1.1 504 "},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			upstream := &brokenUpstream{response: c.response, holds: c.name == "deadline"}
			n := newFakeControl(t).startNode(t, "n", "a", "")
			n.announce(t, listenRaw(t, upstream.serve), "1")
			n.waitForInstances(t, 1)
			for _, address := range []string{n.EntryAddress(), n.LocalAddress()} {
				netConn, err := net.Dial("tcp", address)
				assert.NilError(t, err)
				_, err = fmt.Fprintf(netConn, "POST /svc/s/p HTTP/1.1\r\nHost: s\r\nContent-Length: 4194304\r\n%s: %d\r\n\r\n", httpapi.HeaderTimeout, c.timeoutMs)
				assert.NilError(t, err)
				_ = netConn.SetReadDeadline(time.Now().Add(endlessTimeout))
				status := make([]byte, len(c.status))
				_, err = io.ReadFull(netConn, status)
				assert.NilError(t, netConn.Close())
				assert.Check(t, err == nil && string(status) == c.status, "%q, %v", status, err)
			}
		})
	}
}
