package httplisten

import (
	"bytes"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/chicorylever/chicorylever/internal/coordination/memlimit"
)

const (
	// headSlackBytes is how much http.Server reads of a head beyond its MaxHeaderBytes.
	headSlackBytes = 4 << 10
	// minFieldBytes is the size of the shortest header field. Encrypted fields can't be
	// counted, so that all are taken to be as short.
	minFieldBytes = 4
	// leftBodyTimeout limits the time to read the rest of a body that the handler has not
	// read, which http.Server does without a limit.
	leftBodyTimeout = 5 * time.Second
)

// Guard counts what the connections of a server hold in a ledger, closes connections as the
// ledger decides, and returns the listener that the server must serve. A connection whose head
// can't be held is closed.
func Guard(server *http.Server, listener net.Listener, ledger *memlimit.Ledger) net.Listener {
	observe, handler := server.ConnState, server.Handler
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if guarded := guardedConnOf(conn); guarded != nil && state == http.StateIdle {
			guarded.endRequest()
		}
		if observe != nil {
			observe(conn, state)
		}
	}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if guarded := guardedConnOf(conn); guarded != nil {
			return memlimit.WithAccount(ctx, guarded.account)
		}
		return ctx
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(w, r)
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(leftBodyTimeout))
	})
	return &guardedListener{
		Listener: listener, ledger: ledger,
		isTLS: server.TLSConfig != nil, maxHeadBytes: server.MaxHeaderBytes + headSlackBytes,
	}
}

func guardedConnOf(conn net.Conn) *guardedConn {
	if secured, ok := conn.(*tls.Conn); ok {
		conn = secured.NetConn()
	}
	guarded, _ := conn.(*guardedConn)
	return guarded
}

type guardedListener struct {
	net.Listener
	ledger *memlimit.Ledger
	isTLS  bool
	// maxHeadBytes is the part of a request that is counted as its head.
	maxHeadBytes int
}

// Accept returns the next connection that the ledger allows, and closes others.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		guarded := &guardedConn{Conn: conn, listener: l}
		address, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
		guarded.account, err = l.ledger.Open(time.Now(), address, memlimit.ConnectionBytes, func() { _ = conn.Close() })
		if err == nil {
			return guarded, nil
		}
		_ = conn.Close()
	}
}

// guardedConn counts the bytes of the heads that it reads.
type guardedConn struct {
	net.Conn
	listener *guardedListener
	account  *memlimit.Account

	mu sync.Mutex
	// headBytes is the number of bytes read for the current request, at most
	// listener.maxHeadBytes.
	headBytes int
	counted   int64
}

func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	now := time.Now()
	c.account.Moved(now, n)
	if n > 0 && !c.countHead(now, p[:n]) {
		_ = c.Conn.Close()
		return 0, net.ErrClosed
	}
	return n, err
}

// countHead counts bytes of a request that may belong to its head. Each line may be a
// field.
func (c *guardedConn) countHead(now time.Time, data []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	data = data[:min(len(data), c.listener.maxHeadBytes-c.headBytes)]
	if len(data) == 0 {
		return true
	}
	lines := bytes.Count(data, []byte("\n"))
	if c.listener.isTLS {
		lines = len(data) / minFieldBytes
	}
	bytes := memlimit.HeadBytes(len(data), lines)
	if c.headBytes > 0 {
		bytes -= memlimit.RequestBytes
	}
	c.headBytes += len(data)
	if c.account.Acquire(now, bytes) != nil {
		return false
	}
	c.counted += bytes
	return true
}

// endRequest releases what was counted for the last request.
func (c *guardedConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.account.Release(c.counted)
	c.counted, c.headBytes = 0, 0
}

func (c *guardedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.account.Moved(time.Now(), n)
	return n, err
}

// CloseWrite closes the sending side, so that a response is not lost to a reset.
func (c *guardedConn) CloseWrite() error {
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return halfCloser.CloseWrite()
}

// SetLinger sets what Close does with unsent data.
func (c *guardedConn) SetLinger(seconds int) error { return setLinger(c.Conn, seconds) }

// Close closes the connection and its account.
func (c *guardedConn) Close() error {
	c.account.Close()
	return c.Conn.Close()
}
