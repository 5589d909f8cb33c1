package callerhttp

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
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

// endlessConn is a connection from which bytes can be read up to a limit.
type endlessConn struct {
	net.Conn
	readBytes, limit int
}

func (c *endlessConn) RemoteAddr() net.Addr            { return &net.TCPAddr{} }
func (c *endlessConn) SetReadDeadline(time.Time) error { return nil }

func (c *endlessConn) Read(p []byte) (int, error) {
	if c.readBytes >= c.limit {
		return 0, io.EOF
	}
	c.readBytes += len(p)
	return len(p), nil
}

// TestRejectedBytesAreBounded guards against a caller whose bytes are read without end while the
// response that ends its connection waits for an earlier one, or for processor time
// (node.TestEndlessNestedRequest, seen once).
func TestRejectedBytesAreBounded(t *testing.T) {
	netConn := &endlessConn{limit: 100 * maxRejectedBytes}
	c := newConn(NewServer(nil, func() Limits { return Limits{} }, nil), netConn)
	assert.Assert(t, c.openAccount())
	c.rejected, c.outstanding = true, 1
	c.discardUntilResponsesDone()
	assert.Assert(t, netConn.readBytes < 2*maxRejectedBytes, "%d bytes were read", netConn.readBytes)
}
