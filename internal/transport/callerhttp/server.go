// Package callerhttp serves HTTP/1.1 to callers. Other than the server of net/http it
// works on the requests that a caller pipelines at the same time, answers them in
// order, and notices at any moment that the caller has closed its connection.
package callerhttp

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// DefaultMaxHeaderBytes stands in for a limit of 0.
	DefaultMaxHeaderBytes = 64 << 10
	// DefaultHeaderTimeout stands in for a limit of 0.
	DefaultHeaderTimeout = 5 * time.Second
	// DefaultIdleTimeout stands in for a limit of 0.
	DefaultIdleTimeout = 2 * time.Minute

	// maxPipelined bounds the requests of one connection that are worked on at once.
	// Further ones stay unread.
	maxPipelined = 64
	// heldBytes is the size up to which a response is held until it is complete.
	heldBytes = 64 << 10
	// bodyBytes bounds the part of a request body that is read ahead of the handler.
	// A caller that leaves is noticed while less than that is waiting.
	bodyBytes = 512 << 10
	// maxDrainBytes is the rest of a body that is read and dropped to keep a connection.
	maxDrainBytes = 256 << 10
	// lingerTimeout bounds the wait for the caller to close a connection on which it
	// may still be sending; closing at once would reset it and lose the response.
	lingerTimeout = 500 * time.Millisecond
	// writeTimeout bounds the writing of a response to a caller that does not read,
	// unless the handler sets another bound.
	writeTimeout = 30 * time.Second
	// acceptPause follows a failed accept, for example without free descriptors.
	acceptPause = 10 * time.Millisecond
)

// ErrClosed is returned by Serve after Shutdown.
var ErrClosed = errors.New("callerhttp: server closed")

// Limits bound what a caller may send and how long it may take. Zero values select the
// defaults.
type Limits struct {
	MaxHeaderBytes int
	// HeaderTimeout bounds the time from the first byte of a request to its last header.
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

// Server serves callers' connections.
type Server struct {
	handler http.Handler
	limits  func() Limits
	// report takes the reason of a handler's panic.
	report func(reason any)

	mu       sync.Mutex
	conns    map[*conn]struct{}
	draining bool
	closed   bool
	// ended is closed when the last connection ends after Shutdown began.
	ended chan struct{}
}

// NewServer returns a server. The limits are asked for each request, so that a change
// takes effect on open connections. The callback report is told of each panic of the
// handler other than http.ErrAbortHandler; all of them break the connection off.
func NewServer(handler http.Handler, limits func() Limits, report func(reason any)) *Server {
	return &Server{handler: handler, limits: limits, report: report, conns: map[*conn]struct{}{}, ended: make(chan struct{})}
}

// Serve accepts connections until Shutdown; it then returns ErrClosed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		raw, err := listener.Accept()
		switch {
		case err == nil:
		case errors.Is(err, net.ErrClosed):
			return ErrClosed
		default:
			time.Sleep(acceptPause)
			continue
		}
		c := newConn(s, raw)
		if !s.add(c) {
			_ = raw.Close()
			continue
		}
		go c.serve()
	}
}

// Drain makes the last response of each connection announce its close. Connections and
// new requests are still accepted.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Shutdown closes idle connections and waits until the others have sent the responses
// to requests that were read. The caller closes the listener before. When ctx ends, the
// remaining connections are closed and its error is returned.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.draining, s.closed = true, true
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	if len(conns) == 0 {
		s.signalEndLocked()
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.closeIfIdle()
	}
	select {
	case <-s.ended:
		return nil
	case <-ctx.Done():
	}
	for _, c := range conns {
		c.abort()
	}
	return errors.Wrap(ctx.Err(), "callerhttp: finish requests")
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
	if s.closed {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if s.closed && len(s.conns) == 0 {
		s.signalEndLocked()
	}
}

func (s *Server) signalEndLocked() {
	select {
	case <-s.ended:
	default:
		close(s.ended)
	}
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}
