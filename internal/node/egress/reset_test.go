package egress

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// resetConn is a connection that the peer resets while the request is written: as the kernel does
// it, only the first call after the reset reports it, and reads then end as if the peer had
// closed the connection.
type resetConn struct {
	net.Conn
	response *strings.Reader
	written  chan struct{} // closed once a write has failed
	resets   bool          // false for a peer that closes the connection in order
}

func (c *resetConn) Write(p []byte) (int, error) {
	select {
	case <-c.written:
		return 0, &net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.EPIPE)}
	default:
	}
	defer close(c.written)
	if !c.resets {
		return len(p), nil
	}
	return 0, &net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.ECONNRESET)}
}

func (c *resetConn) Read(p []byte) (int, error) {
	<-c.written
	return c.response.Read(p)
}

func (c *resetConn) SetDeadline(time.Time) error      { return nil }
func (c *resetConn) SetWriteDeadline(time.Time) error { return nil }
func (c *resetConn) Close() error                     { return nil }

// TestResetSeenByWrite guards against a response that was cut by a reset but appears complete, or
// a reset without a response that appears to be a closed connection, because the write of the
// request and not the read of the response was told of the reset.
func TestResetSeenByWrite(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for _, c := range []struct {
		name, response string
		resets         bool
		err            error
	}{
		{"within a body without length", head + "\r\npart", true, ErrIncomplete},
		{"before a body without length", head + "\r\n", true, ErrIncomplete},
		{"within a body of stated length", head + "Content-Length: 9\r\n\r\npart", true, ErrIncomplete},
		{"within chunks", head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart", true, ErrIncomplete},
		{"within the head", head, true, ErrNoResponse},
		{"before a response", "", true, ErrReset},
		{"closed in order after a body", head + "\r\npart", false, nil},
		{"closed in order before a response", "", false, ErrNoResponse},
	} {
		for _, streamed := range []bool{false, true} {
			t.Run(c.name, func(t *testing.T) {
				p := NewPool(Config{AllowCloseDelimited: true})
				netConn := &resetConn{response: strings.NewReader(c.response), written: make(chan struct{}), resets: c.resets}
				x := &exchange{pool: p, conn: newConn(netConn), sendDone: make(chan struct{}), cancelAbort: func() bool { return true }}
				x.conn.beforeDispatch = allowDispatch
				x.request, _ = http.NewRequestWithContext(context.Background(), http.MethodPost, "http://upstream/", strings.NewReader("body"))
				response, err := x.run(streamed)
				if err == nil {
					_, err = io.ReadAll(response)
					response.Close()
				}
				assert.ErrorIs(t, err, c.err)
				assert.Equal(t, errors.Is(err, ErrReset), errors.Is(c.err, ErrReset))
			})
		}
	}
}
