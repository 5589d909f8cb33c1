package egress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// FuzzExchange guards against a panic or an endless read on any bytes of an upstream, over a
// connection with a peer, and against a response that counts as complete although its body is
// shorter or longer than its head states.
func FuzzExchange(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x=y\r\na\r\n0\r\nX-A: b\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;"))
	f.Add([]byte("HTTP/1.0 500 x\r\nContent-Length: 9\r\n\r\nshort"))
	f.Add([]byte("garbage"))
	f.Fuzz(func(t *testing.T, data []byte) {
		near, far := net.Pipe()
		go func() {
			defer func() { _ = far.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
				_, _ = far.Write(data)
			}
		}()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		pool := NewPool(Config{Address: "unused"})
		x := &exchange{pool: pool, conn: newConn(near), sendDone: make(chan struct{})}
		x.request, _ = http.NewRequestWithContext(ctx, http.MethodGet, "http://upstream/", http.NoBody)
		x.conn.beforeDispatch = func() error { return nil }
		x.cancelAbort = context.AfterFunc(ctx, x.conn.abort)
		response, err := x.run(false)
		if err != nil {
			x.end(false)
			assert.NilError(t, ctx.Err())
			return
		}
		body, err := io.ReadAll(response)
		response.Close()
		assert.NilError(t, ctx.Err())
		assert.Assert(t, err == nil || errors.Is(err, ErrIncomplete), "%v", err)
		if err == nil && response.ContentLength >= 0 {
			assert.Equal(t, int64(len(body)), response.ContentLength)
		}
	})
}
