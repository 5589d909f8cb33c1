package httplisten

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// waitTimeout bounds the wait for an event that must occur.
const waitTimeout = 10 * time.Second

func listen(t *testing.T) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

func dial(t *testing.T, listener net.Listener) net.Conn {
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// TestLimit guards against more open connections than the limit, against a limit that a closed
// connection keeps using, and against an Accept that outlives the listener.
func TestLimit(t *testing.T) {
	listener := Limit(listen(t), 1)
	accepted := make(chan net.Conn)
	ended := make(chan error, 1)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				ended <- err
				return
			}
			accepted <- conn
		}
	}()
	dial(t, listener)
	dial(t, listener)
	first := <-accepted
	select {
	case <-accepted:
		t.Fatal("a second connection was accepted")
	case <-time.After(50 * time.Millisecond):
	}
	assert.NilError(t, first.Close())
	assert.Assert(t, first.Close() != nil, "closed twice")
	<-accepted
	assert.NilError(t, listener.Close())
	assert.ErrorIs(t, <-ended, net.ErrClosed)
}

// TestShutdownClosesUnusedConnections guards against a shutdown that waits for a request on a
// connection that a client has opened in advance.
func TestShutdownClosesUnusedConnections(t *testing.T) {
	listener := listen(t)
	server := NewServer(http.NotFoundHandler())
	go func() { _ = server.Serve(listener) }()
	used, unused := dial(t, listener), dial(t, listener)
	_, err := io.WriteString(used, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	_, err = used.Read(make([]byte, 1))
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	start := time.Now()
	assert.NilError(t, server.Shutdown(ctx))
	assert.Assert(t, time.Since(start) < headerTimeout/2, "%s", time.Since(start))
	_, err = unused.Read(make([]byte, 1))
	assert.Assert(t, err != nil, "the connection is still open")
}
