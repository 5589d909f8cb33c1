package mesh

import (
	"context"
	"crypto/tls"
	"net"
	"sync"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
)

// Handler serves one stream. The stream is closed when it returns.
type Handler func(ctx context.Context, stream net.Conn)

// Server accepts connections and hands their streams to a handler.
type Server struct {
	config  Config
	handler Handler

	mu       sync.Mutex
	sessions map[*yamux.Session]struct{}
	closed   bool
	streams  sync.WaitGroup
}

// NewServer returns a server that is not yet listening.
func NewServer(config Config, handler Handler) *Server {
	return &Server{config: config, handler: handler, sessions: map[*yamux.Session]struct{}{}}
}

// Serve accepts connections until the listener is closed. Handlers get ctx.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	if s.config.TLS != nil {
		listener = tls.NewListener(listener, s.config.TLS)
	}
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
		case errors.Is(err, net.ErrClosed):
			return nil
		default:
			return errors.Wrap(err, "mesh: accept")
		}
		go s.serveConn(ctx, conn)
	}
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	tracked := newActivityConn(conn)
	session, err := yamux.Server(tracked, s.config.yamux())
	if err != nil {
		_ = conn.Close()
		return
	}
	defer s.untrack(session)
	if !s.track(session) {
		return
	}
	go watch(session, tracked, s.config)
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		if session.NumStreams() > s.config.MaxStreams {
			_ = stream.Close()
			continue
		}
		if !s.beginStream() {
			_ = stream.Close()
			return
		}
		go func() {
			defer s.streams.Done()
			defer func() { _ = stream.Close() }()
			s.handler(ctx, stream)
		}()
	}
}

// track returns false when the server was closed after the connection was accepted.
func (s *Server) track(session *yamux.Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.sessions[session] = struct{}{}
	return true
}

// beginStream counts a stream unless Close may already be waiting for the last one.
func (s *Server) beginStream() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.streams.Add(1)
	return true
}

func (s *Server) untrack(session *yamux.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session)
	_ = session.Close()
}

// Close ends all connections and waits for the handlers.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for session := range s.sessions {
		_ = session.Close()
	}
	s.mu.Unlock()
	s.streams.Wait()
}
