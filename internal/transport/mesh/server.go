package mesh

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/memlimit"
)

// acceptRetryDelay is the delay before the next accept after one has failed.
const acceptRetryDelay = 50 * time.Millisecond

// Handler serves one stream, which is an *Accepted. The stream is closed when Handler
// returns. IdentityFrom returns the peer's identity from ctx.
type Handler func(ctx context.Context, stream net.Conn)

// Server accepts connections and hands their streams to a handler.
type Server struct {
	config  Config
	handler Handler

	mu             sync.Mutex
	conns          int
	sessions       map[*session]struct{}
	closed         bool
	activeHandlers int // running handlers except those of idle streams, and running drainSession calls
	// idleStreams are the streams whose handlers wait for the next exchange.
	idleStreams map[*Accepted]struct{}
	noneActive  chan struct{} // closed when activeHandlers reaches 0; nil while no caller waits
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
			// Other errors are temporary, for example too many open files.
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

// reserveConn counts a connection, or returns false when the server is closed or has
// MaxSessions connections.
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
	account, err := s.openAccount(conn)
	if err != nil {
		s.releaseConn(nil)
		_ = conn.Close()
		return
	}
	if account != nil {
		ctx = memlimit.WithAccount(ctx, account)
		defer account.Close()
	}
	sess, err := newSession(conn, s.config, acceptHandshakeDeadline(s.config), serverSide, account)
	defer s.releaseConn(sess)
	if err != nil {
		_ = conn.Close()
		return
	}
	defer sess.close()
	if !s.addSession(sess) {
		return
	}
	// The idle timeout is 0, because the dialling side closes idle connections.
	go sess.watch(s.config.acceptedLimits(), 0, nil)
	ctx, cancel := context.WithCancel(withIdentity(ctx, sess.remote))
	defer cancel()
	for {
		stream, err := sess.AcceptStream()
		if err != nil {
			return
		}
		sess.wakeWatchdog()
		if sess.NumStreams() > s.config.MaxStreams || sess.counted != nil && sess.counted.isRefused(stream.StreamID()) {
			_ = stream.Close()
			if sess.counted != nil {
				sess.counted.handlerEnded(stream.StreamID())
			}
			continue
		}
		if !s.addActive() {
			_ = stream.Close()
			return
		}
		go func() {
			a := &Accepted{Stream: stream, server: s, session: sess}
			defer s.endHandler(a)
			defer a.endMemory()
			defer func() { _ = stream.Close() }()
			s.handler(ctx, a)
		}()
	}
}

// openAccount opens the account of a connection, nil without a ledger.
func (s *Server) openAccount(conn net.Conn) (*memlimit.Account, error) {
	if s.config.Ledger == nil {
		return nil, nil
	}
	address, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	return s.config.Ledger.Open(time.Now(), address, sessionBytes, func() { _ = conn.Close() })
}

// addActive counts the handler of a new stream. It returns false after Close, which may
// already be waiting for the last handler.
func (s *Server) addActive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.activeHandlers++
	return true
}

// removeActiveLocked undoes one increment of activeHandlers.
func (s *Server) removeActiveLocked() {
	s.activeHandlers--
	if s.activeHandlers == 0 && s.noneActive != nil {
		close(s.noneActive)
		s.noneActive = nil
	}
}

// noneActiveChan returns a channel that is closed once activeHandlers is 0.
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

func (s *Server) addSession(sess *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.sessions[sess] = struct{}{}
	return true
}

// Drain asks peers to open no more streams, ends idle streams, and waits until the
// handlers have returned or ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	for _, sess := range s.sessionList() {
		s.mu.Lock()
		s.activeHandlers++
		s.mu.Unlock()
		go s.drainSession(sess)
	}
	select {
	case <-s.noneActiveChan():
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "mesh: drain")
	}
}

// Close closes all connections and waits for the handlers to return.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	for _, sess := range s.sessionList() {
		s.interruptIdle(sess)
		sess.close()
	}
	<-s.noneActiveChan()
}

func (s *Server) sessionList() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	sessions := make([]*session, 0, len(s.sessions))
	for sess := range s.sessions {
		sessions = append(sessions, sess)
	}
	return sessions
}
