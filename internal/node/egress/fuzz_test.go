package egress

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// scriptedConn is a connection whose reads return fixed data.
type scriptedConn struct {
	net.Conn
	reader *bytes.Reader
}

func (c *scriptedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// FuzzResponse guards against a panic on any bytes from an upstream, against response heads
// of unbounded size, and against a truncated body that is accepted as complete.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n1\r\na\r\n0\r\nT: \xe9\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 101 Switching Protocols\r\n\r\n"))
	f.Add([]byte("HTTP/1.0 200 OK\r\n\r\nab"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("a", maxHeadBytes)))
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := bytes.NewReader(data)
		request, err := http.NewRequest(http.MethodPost, "http://upstream/", http.NoBody)
		assert.NilError(t, err)
		x := &exchange{pool: NewPool(Config{}), conn: newConn(&scriptedConn{reader: reader}), request: request}
		response, err := x.readHead()
		bytesRead := len(data) - reader.Len()
		assert.Assert(t, bytesRead <= maxHeadBytes+ioBufferBytes)
		if err != nil {
			return
		}
		defer func() { _ = response.Body.Close() }()
		size, err := io.Copy(io.Discard, response.Body)
		assert.Assert(t, size <= int64(len(data)))
		if err == nil && response.ContentLength >= 0 {
			assert.Equal(t, size, response.ContentLength)
		}
	})
}
