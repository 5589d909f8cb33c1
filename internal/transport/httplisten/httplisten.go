// Package httplisten has the HTTP server and the listener of the interfaces of a process that
// are not for callers' requests: timeouts, a quick shutdown and a limit of the connections.
package httplisten

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	headerTimeout  = 5 * time.Second
	maxHeaderBytes = 64 << 10
	// idleTimeout is the time without a request after which a connection is closed.
	idleTimeout = 2 * time.Minute
)

// NewServer returns a server whose Shutdown closes unused connections at once.
func NewServer(handler http.Handler) *http.Server {
	unused := &unusedConns{conns: map[net.Conn]struct{}{}}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         unused.observe,
	}
	server.RegisterOnShutdown(unused.close)
	return server
}

// unusedConns holds the connections on which no byte has arrived. Shutdown of http.Server
// would wait 5 s for a request on them; clients open such connections in advance.
type unusedConns struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func (u *unusedConns) observe(conn net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if state == http.StateNew {
		u.conns[conn] = struct{}{}
	} else {
		delete(u.conns, conn)
	}
}

func (u *unusedConns) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for conn := range u.conns {
		_ = conn.Close()
	}
}

// LimitedListener limits the number of open connections that it has accepted. Further
// connections wait in the listen backlog of the kernel.
type LimitedListener struct {
	net.Listener
	semaphore chan struct{}
	closed    chan struct{}
	once      sync.Once
}

// Limit returns a listener that has at most limit open connections.
func Limit(listener net.Listener, limit int) *LimitedListener {
	return &LimitedListener{Listener: listener, semaphore: make(chan struct{}, limit), closed: make(chan struct{})}
}

// Accept waits until a connection is allowed by the limit, and then for the connection.
func (l *LimitedListener) Accept() (net.Conn, error) {
	select {
	case l.semaphore <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.semaphore
		return nil, err
	}
	return &limitedConn{Conn: conn, listener: l}, nil
}

// Close stops accepting.
func (l *LimitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type limitedConn struct {
	net.Conn
	listener *LimitedListener
	once     sync.Once
}

// CloseWrite closes the sending side, so that a response is not lost to a reset.
func (c *limitedConn) CloseWrite() error {
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return halfCloser.CloseWrite()
}

// Close closes the connection, which then no longer counts towards the limit.
func (c *limitedConn) Close() error {
	c.once.Do(func() { <-c.listener.semaphore })
	return c.Conn.Close()
}
