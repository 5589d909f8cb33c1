package node

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
)

const (
	// endlessTimeout is the timeout of the callers' requests; a response that can't become
	// valid has to end them before half of it.
	endlessTimeout = 4 * time.Second
	// maxEndlessBytes bounds what the node takes of a response without end that is never
	// valid, with the buffers of the loopback connection.
	maxEndlessBytes = 16 << 20
)

// endlessUpstream writes a prefix and then repeats a chunk, without end, in response to each
// request except "/good".
type endlessUpstream struct {
	prefix, chunk string
	// pause is the time between two chunks.
	pause time.Duration
	// written counts the bytes, open the connections that still are written to.
	written, open atomic.Int64
}

func (u *endlessUpstream) serve(netConn net.Conn) {
	defer func() { _ = netConn.Close() }()
	reader := bufio.NewReader(netConn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if strings.HasSuffix(request.URL.Path, "/good") {
			_, _ = fmt.Fprint(netConn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood")
			continue
		}
		u.writeEndlessly(netConn)
		return
	}
}

func (u *endlessUpstream) writeEndlessly(netConn net.Conn) {
	u.open.Add(1)
	defer u.open.Add(-1)
	n, err := netConn.Write([]byte(u.prefix))
	for err == nil {
		u.written.Add(int64(n))
		time.Sleep(u.pause)
		n, err = netConn.Write([]byte(u.chunk))
	}
}

// TestEndlessResponse guards against an upstream whose bytes never end: they must not occupy
// memory, the slot or the connection for longer than the request lasts, no part of them may
// reach the caller as a complete success, and a request must not wait for its deadline once
// no valid response can come any more.
func TestEndlessResponse(t *testing.T) {
	const ok, chunked = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	text := strings.Repeat("x", 4096)
	for _, c := range []struct {
		name     string
		upstream *endlessUpstream
		// valid is set when a valid response could still come until the deadline.
		valid bool
		// status is the status that the caller gets; 0 for a response that is broken off.
		status int
		body   string
	}{
		{name: "bytes that are no HTTP", upstream: &endlessUpstream{chunk: text}, status: http.StatusBadGateway},
		{name: "one such byte at a time", upstream: &endlessUpstream{chunk: "x", pause: 20 * time.Millisecond}, status: http.StatusBadGateway},
		{name: "status line", upstream: &endlessUpstream{prefix: "HTTP/1.1 200 ", chunk: text}, status: http.StatusBadGateway},
		{name: "header field", upstream: &endlessUpstream{prefix: ok + "X-A: ", chunk: text}, status: http.StatusBadGateway},
		{name: "header fields", upstream: &endlessUpstream{prefix: ok, chunk: "X-A: b\r\n"}, status: http.StatusBadGateway},
		{name: "a header field, one byte at a time", upstream: &endlessUpstream{prefix: ok + "X-A: ", chunk: "b", pause: 20 * time.Millisecond}, valid: true, status: http.StatusGatewayTimeout},
		{name: "informational responses", upstream: &endlessUpstream{chunk: "HTTP/1.1 103 Early Hints\r\n\r\n"}, status: http.StatusBadGateway},
		{name: "chunk extension", upstream: &endlessUpstream{prefix: chunked + "5;", chunk: text}, status: http.StatusBadGateway},
		{name: "chunk size", upstream: &endlessUpstream{prefix: chunked, chunk: "0"}, status: http.StatusBadGateway},
		{name: "trailers", upstream: &endlessUpstream{prefix: chunked + "0\r\n", chunk: "X-A: b\r\n"}, status: http.StatusBadGateway},
		{name: "after a whole response", upstream: &endlessUpstream{prefix: ok + "Content-Length: 2\r\n\r\nab", chunk: text}, status: http.StatusOK, body: "ab"},
		{name: "body of chunks", upstream: &endlessUpstream{prefix: chunked, chunk: "1000\r\n" + text + "\r\n", pause: 10 * time.Millisecond}, valid: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			upstream := c.upstream
			_, entry, beside := startEndlessPair(t, upstream)
			start := time.Now()
			a := send(t, http.MethodPost, entry.url("/endless"), nil, httpapi.HeaderTimeout, fmt.Sprint(endlessTimeout.Milliseconds()))
			if c.status == 0 {
				assert.Assert(t, a.err != nil, "a response without end appears complete")
			} else {
				assert.Equal(t, a.StatusCode, c.status)
				assert.NilError(t, a.err)
				assert.Assert(t, c.status != http.StatusOK || a.body == c.body)
			}
			if !c.valid {
				assert.Assert(t, time.Since(start) < endlessTimeout/2, "the request waited %v", time.Since(start))
			}
			if c.status >= http.StatusInternalServerError {
				assert.Equal(t, a.outcome(), httpapi.OutcomeUnknown)
			}
			eventually(t, func() bool { return beside.Node.upstream.gate.Report().GetInFlight() == 0 })
			eventually(t, func() bool { return upstream.open.Load() == 0 })
			assert.Assert(t, upstream.written.Load() < maxEndlessBytes, "the node took %d bytes", upstream.written.Load())
			eventually(t, func() bool { return send(t, http.MethodPost, entry.url("/good"), nil).body == "good" })
		})
	}
}

// TestEndlessHealthResponse guards against probes of a health path whose response never ends.
func TestEndlessHealthResponse(t *testing.T) {
	for _, prefix := range []string{"", "HTTP/1.1 200 OK\r\nX-A: ", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1000000\r\n"} {
		upstream := &endlessUpstream{prefix: prefix, chunk: strings.Repeat("x", 4096)}
		_, _, beside := startEndlessPair(t, upstream)
		probed := make(chan struct{})
		beside.Node.upstream.measurementBudget.SetRate(time.Now(), defaultProbesPerSecond)
		beside.Node.upstream.refreshLoad("/health", beside.Node.upstream.needsProbeForSpeed, func() { close(probed) })
		select {
		case <-probed:
		case <-time.After(endlessTimeout):
			t.Fatal("the probe did not end")
		}
		eventually(t, func() bool { return upstream.open.Load() == 0 })
		assert.Assert(t, upstream.written.Load() < maxEndlessBytes)
	}
}

// TestEndlessNestedRequest guards against a request of the upstream to the node beside it
// whose head never ends.
func TestEndlessNestedRequest(t *testing.T) {
	_, entry, _ := startPair(t, func(http.ResponseWriter, *http.Request) {})
	text := strings.Repeat("x", 4096)
	for _, c := range []struct{ prefix, chunk string }{
		{"", text},
		{"GET /svc/s/p HTTP/1.1\r\nHost: s\r\nX-A: ", text},
		{"", strings.Repeat("\r\n", 2048)},
	} {
		netConn, err := net.Dial("tcp", entry.EntryAddress())
		assert.NilError(t, err)
		written := 0
		n, err := netConn.Write([]byte(c.prefix))
		for err == nil && written < 2*maxEndlessBytes {
			written += n
			_ = netConn.SetWriteDeadline(time.Now().Add(endlessTimeout))
			n, err = netConn.Write([]byte(c.chunk))
		}
		assert.Assert(t, err != nil && written < maxEndlessBytes, "the node took %d bytes of a head", written)
		assert.NilError(t, netConn.Close())
	}
}

func startEndlessPair(t *testing.T, upstream *endlessUpstream) (control *fakeControl, entry, beside *testNode) {
	control = newFakeControl(t)
	entry = control.startNode(t, "entry", "a", "")
	beside = control.startNode(t, "beside", "a", "")
	beside.announce(t, listenRaw(t, upstream.serve), "1")
	entry.waitForInstances(t, 1)
	return control, entry, beside
}
