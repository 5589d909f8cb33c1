// Package callerhttp serves HTTP/1.1 to callers. Unlike the server of net/http, it runs the
// pipelined requests of a connection concurrently, sends their responses in order, and
// notices while a handler runs that the caller has closed its connection.
package callerhttp

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/memlimit"
)

const (
	// DefaultMaxHeaderBytes is used when Limits.MaxHeaderBytes is 0.
	DefaultMaxHeaderBytes = 64 << 10
	// DefaultHeaderTimeout is used when Limits.HeaderTimeout is 0.
	DefaultHeaderTimeout = 5 * time.Second
	// DefaultIdleTimeout is used when Limits.IdleTimeout is 0.
	DefaultIdleTimeout = 2 * time.Minute

	// maxPipelined limits the outstanding requests of a connection. Further requests are not
	// read until one of these has ended.
	maxPipelined = 64
	// maxBufferedResponseBytes limits the part of a response body that is buffered before
	// the response is started. A longer response is streamed.
	maxBufferedResponseBytes = 64 << 10
	// maxBufferedBodyBytes limits the part of a request body that is read ahead of the
	// handler. A disconnect of the caller is noticed only while less than that is buffered.
	maxBufferedBodyBytes = 512 << 10
	// maxDiscardedBodyBytes limits the rest of a request body that is read and discarded to
	// keep the connection open.
	maxDiscardedBodyBytes = 256 << 10
	// writeTimeout limits the time to write a response to a caller that does not read it,
	// unless the handler sets another deadline.
	writeTimeout = 30 * time.Second
	// acceptRetryDelay is the delay after a failed accept, for example when no file
	// descriptors are free.
	acceptRetryDelay = 10 * time.Millisecond
)

// ErrClosed is returned by Serve after the listener has been closed.
var ErrClosed = errors.New("callerhttp: server closed")

// Limits restrict what a caller may send and how long it may take. Zero values select the
// defaults.
type Limits struct {
	MaxHeaderBytes int
	// HeaderTimeout limits the time from the first byte of a request to the end of its head.
	HeaderTimeout time.Duration
	// IdleTimeout is the time after which a connection without requests is closed.
	IdleTimeout time.Duration
}

func (l Limits) withDefaults() Limits {
	if l.MaxHeaderBytes == 0 {
		l.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	if l.HeaderTimeout == 0 {
		l.HeaderTimeout = DefaultHeaderTimeout
	}
	if l.IdleTimeout == 0 {
		l.IdleTimeout = DefaultIdleTimeout
	}
	return l
}

// Server serves the connections of callers.
type Server struct {
	handler http.Handler
	limits  func() Limits
	// reportPanic is called with the value of a panic of the handler.
	reportPanic func(value any)
	// ledger counts the bytes held for callers; refuse responds when there are too many.
	ledger *memlimit.Ledger
	refuse http.HandlerFunc

	mu           sync.Mutex
	conns        map[*conn]struct{}
	draining     bool
	shuttingDown bool
	// allConnsClosed is closed once Shutdown has been called and no connection is open.
	allConnsClosed chan struct{}
}

// NewServer returns a server. It calls limits for each request, so that a change applies to
// open connections too. It calls reportPanic for each panic of the handler other than
// http.ErrAbortHandler. Any panic aborts the connection.
func NewServer(handler http.Handler, limits func() Limits, reportPanic func(value any)) *Server {
	return &Server{
		handler: handler, limits: limits, reportPanic: reportPanic,
		ledger: memlimit.NewLedger(memlimit.Limits{}),
		refuse: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		conns:  map[*conn]struct{}{}, allConnsClosed: make(chan struct{}),
	}
}

// Serve accepts connections until the listener is closed; it then returns ErrClosed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		netConn, err := listener.Accept()
		switch {
		case err == nil:
		case errors.Is(err, net.ErrClosed):
			return ErrClosed
		default:
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := newConn(s, netConn)
		if !c.openAccount() {
			_ = netConn.Close()
			continue
		}
		if !s.add(c) {
			c.account.Close()
			_ = netConn.Close()
			continue
		}
		limitSocket(netConn, s.Connections())
		go c.serve()
	}
}

// Drain makes the last response on each connection announce that the connection is closed
// after it. Connections and new requests are still accepted.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Shutdown closes idle connections and waits until the responses to all requests that were
// read on the others have been sent. The listener must be closed before Shutdown is called.
// When ctx ends, Shutdown closes the remaining connections and returns the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.draining, s.shuttingDown = true, true
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	if len(conns) == 0 {
		s.signalAllConnsClosedLocked()
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.closeIfIdle()
	}
	select {
	case <-s.allConnsClosed:
		return nil
	case <-ctx.Done():
	}
	for _, c := range conns {
		c.abort()
	}
	return errors.Wrap(ctx.Err(), "callerhttp: wait for connections to close")
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shuttingDown {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if s.shuttingDown && len(s.conns) == 0 {
		s.signalAllConnsClosedLocked()
	}
}

func (s *Server) signalAllConnsClosedLocked() {
	select {
	case <-s.allConnsClosed:
	default:
		close(s.allConnsClosed)
	}
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}
