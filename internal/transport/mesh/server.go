package mesh

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// acceptRetryDelay is the pause after a connection could not be accepted.
const acceptRetryDelay = 50 * time.Millisecond

// Handler serves one stream, which is an *Accepted. It is closed when Handler returns.
// IdentityFrom gives the peer's identity from ctx.
type Handler func(ctx context.Context, stream net.Conn)

// Server accepts connections and hands their streams to a handler.
type Server struct {
	config  Config
	handler Handler

	mu             sync.Mutex
	conns          int
	sessions       map[*session]struct{}
	closed         bool
	activeHandlers int // running handlers, without those of idle streams
	// idleStreams are streams whose handlers wait for another exchange.
	idleStreams map[*Accepted]struct{}
	noneActive  chan struct{} // closed when active falls to 0, nil while nobody waits
}

// NewServer returns a server that is not yet listening.
func NewServer(config Config, handler Handler) *Server {
	return &Server{config: config, handler: handler, sessions: map[*session]struct{}{}, idleStreams: map[*Accepted]struct{}{}}
}

// Serve accepts connections until the listener is closed. Handlers get a context
// that ends with ctx or with their connection.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
		case errors.Is(err, net.ErrClosed):
			return nil
		case ctx.Err() != nil:
			return errors.Wrap(err, "mesh: accept")
		default:
			// For example too many open files, which passes.
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !s.reserveConn() {
			_ = conn.Close()
			continue
		}
		go s.serveConn(ctx, conn)
	}
}

// reserveConn counts a connection, or returns false when there are too many.
func (s *Server) reserveConn() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.conns >= s.config.MaxSessions {
		return false
	}
	s.conns++
	return true
}

func (s *Server) releaseConn(ended *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns--
	delete(s.sessions, ended)
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	accepted, err := newSession(conn, s.config, acceptHandshakeDeadline(s.config), serverSide)
	defer s.releaseConn(accepted)
	if err != nil {
		_ = conn.Close()
		return
	}
	defer accepted.close()
	if !s.addSession(accepted) {
		return
	}
	// Idle connections are closed by the side that dialled.
	go accepted.watch(s.config.SlowPingAfter, s.config.SlowSilenceTimeout, 0, func() {})
	ctx, cancel := context.WithCancel(withIdentity(ctx, accepted.remote))
	defer cancel()
	for {
		stream, err := accepted.AcceptStream()
		if err != nil {
			return
		}
		accepted.wakeWatchdog()
		if accepted.NumStreams() > s.config.MaxStreams {
			_ = stream.Close()
			continue
		}
		if !s.addActive() {
			_ = stream.Close()
			return
		}
		go func() {
			a := &Accepted{Stream: stream, server: s, session: accepted}
			defer s.endHandler(a)
			defer func() { _ = stream.Close() }()
			s.handler(ctx, a)
		}()
	}
}

// addActive counts a stream unless Close may already be waiting for the last one.
func (s *Server) addActive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.activeHandlers++
	return true
}

func (s *Server) removeActiveLocked() {
	s.activeHandlers--
	if s.activeHandlers == 0 && s.noneActive != nil {
		close(s.noneActive)
		s.noneActive = nil
	}
}

// noneActiveChan returns a channel that is closed once no handler runs.
func (s *Server) noneActiveChan() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.activeHandlers == 0 {
		done := make(chan struct{})
		close(done)
		return done
	}
	if s.noneActive == nil {
		s.noneActive = make(chan struct{})
	}
	return s.noneActive
}

func (s *Server) addSession(accepted *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.sessions[accepted] = struct{}{}
	return true
}

// Drain asks peers to open no more streams, ends idle ones, and waits until the
// handlers have returned or ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	for _, accepted := range s.sessionList() {
		s.mu.Lock()
		s.activeHandlers++
		s.mu.Unlock()
		go s.drainSession(accepted)
	}
	select {
	case <-s.noneActiveChan():
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "mesh: drain")
	}
}

// Close ends all connections and waits for the handlers.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	for _, accepted := range s.sessionList() {
		s.interruptIdle(accepted)
		accepted.close()
	}
	<-s.noneActiveChan()
}

func (s *Server) sessionList() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	sessions := make([]*session, 0, len(s.sessions))
	for accepted := range s.sessions {
		sessions = append(sessions, accepted)
	}
	return sessions
}
