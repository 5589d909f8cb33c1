package callerhttp

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	uploadPartBytes = 64 << 10
	uploadParts     = 8
	// uploadPause is the time between two parts; an upload lasts longer than lingerPause.
	uploadPause = 150 * time.Millisecond
)

// rejectUpload responds without reading the request body.
func rejectUpload(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusForbidden) }

// startUpload sends the head of an upload of the given length.
func startUpload(t *testing.T, c net.Conn, bytes int) {
	send(t, c, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", bytes))
}

// TestEarlyResponseToSlowUpload guards against a reset that loses the response of a caller
// that reads only after it has sent its whole body (node.TestStreaming, seen once).
func TestEarlyResponseToSlowUpload(t *testing.T) {
	_, address := startServer(t, Limits{}, rejectUpload)
	c, reader := dial(t, address)
	startUpload(t, c, uploadParts*uploadPartBytes)
	for range uploadParts {
		time.Sleep(uploadPause)
		_, err := c.Write(make([]byte, uploadPartBytes))
		assert.NilError(t, err)
	}
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusForbidden)
	assert.NilError(t, response.Body.Close())
}

// TestLingerIsBounded guards against a caller that occupies the connection by sending
// without end after the response.
func TestLingerIsBounded(t *testing.T) {
	server, address := startServer(t, Limits{}, rejectUpload)
	c, _ := dial(t, address)
	startUpload(t, c, 4*maxLingerBytes)
	written, err := io.CopyN(c, zeros{}, 4*maxLingerBytes)
	assert.Assert(t, err != nil, "the server read %d bytes", written)
	waitForConnections(t, server, 0)
}

// TestLingerEndsAtShutdown guards against a stop that waits for a caller which only sends a
// body that nobody needs.
func TestLingerEndsAtShutdown(t *testing.T) {
	server, address := startServer(t, Limits{}, rejectUpload)
	c, reader := dial(t, address)
	startUpload(t, c, maxLingerBytes)
	go func() {
		for {
			if _, err := c.Write([]byte{0}); err != nil {
				return
			}
			time.Sleep(lingerPause / 10)
		}
	}()
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	ctx, cancel := context.WithTimeout(t.Context(), maxLingerTime/2)
	defer cancel()
	assert.NilError(t, server.Shutdown(ctx))
}

// zeros is an endless reader of zero bytes.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

func waitForConnections(t *testing.T, server *Server, want int) {
	t.Helper()
	for deadline := time.Now().Add(eventTimeout); server.Connections() != want; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "%d connections are open", server.Connections())
	}
}

// countingListener counts the bytes that the server reads.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	*net.TCPConn
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{c.(*net.TCPConn), &l.bytes}, nil
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// TestRejectedBytesAreBounded guards against a caller whose bytes are read without end because the
// response that ends its connection waits for an earlier one, or for processor time
// (node.TestEndlessNestedRequest, seen once).
func TestRejectedBytesAreBounded(t *testing.T) {
	tcpListener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	listener := &countingListener{Listener: tcpListener}
	release := make(chan struct{})
	server := NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-release
		w.WriteHeader(http.StatusNoContent)
	}), func() Limits { return Limits{} }, func(any) {})
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	c, err := net.Dial("tcp", tcpListener.Addr().String())
	assert.NilError(t, err)
	send(t, c, getRequest("/held")+"no request\r\n\r\n")
	part := make([]byte, maxRejectedBytes)
	for range 100 {
		_ = c.SetWriteDeadline(time.Now().Add(lingerPause))
		if _, err := c.Write(part); err != nil {
			break
		}
	}
	assert.Check(t, listener.bytes.Load() < 2*maxRejectedBytes, "%d bytes were read", listener.bytes.Load())
	close(release)
	_ = c.Close()
	_ = listener.Close()
	assert.ErrorIs(t, <-served, ErrClosed)
}
