package mesh

import (
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/chicorylever/chicorylever/internal/coordination/memlimit"
)

// keepAlive detects idle connections whose peer no longer exists. The default probes
// every 15 s, which for thousands of idle connections exceeds the traffic that a node may
// cause.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 10 * time.Minute, Interval: time.Minute, Count: 3}

// side tells whether this process dialled or accepted a connection.
type side int

const (
	clientSide side = iota
	serverSide
)

// session is one mesh connection with its streams.
type session struct {
	*yamux.Session
	activity *activityConn
	// counted counts what is held for an accepted session; nil for a dialled one.
	counted *countedConn
	// remote is the identity of the peer.
	remote Identity
	// wake makes the watchdog check the session, for example after a stream was opened or
	// accepted.
	wake    chan struct{}
	retired atomic.Bool
	// openMu prevents closeUnused from closing the connection while a stream is being opened.
	openMu sync.RWMutex
	// idleCount is the number of open streams that carry no exchange.
	idleCount atomic.Int64
	// draining is set once the peer was asked to open no more streams. It is guarded by
	// the server's lock.
	draining bool
	idlePool idleStreamPool

	streamsMu sync.Mutex
	// streams holds the open streams of a dialled session.
	streams map[*Stream]struct{}
}

// newSession performs the TLS and the mesh handshake on the connection and starts yamux.
// The handshakes must complete by the deadline. The caller closes the connection after
// an error. account counts what is held for the session; nil counts nothing.
func newSession(raw net.Conn, config Config, deadline time.Time, s side, account *memlimit.Account) (*session, error) {
	if err := raw.SetDeadline(deadline); err != nil {
		return nil, err
	}
	if tcp, ok := raw.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(keepAlive)
	}
	activity := newActivityConn(raw)
	secured, err := startTLS(activity, config, s)
	if err != nil {
		return nil, err
	}
	remote, err := handshake(secured, config, s)
	if err != nil {
		return nil, err
	}
	if err := raw.SetDeadline(time.Time{}); err != nil {
		return nil, err
	}
	var counted *countedConn
	if account != nil {
		counted = newCountedConn(secured, account)
		secured = counted
	}
	start := yamux.Client
	if s == serverSide {
		start = yamux.Server
	}
	yamuxSession, err := start(&frameConn{Conn: secured}, config.yamuxConfig())
	if err != nil {
		return nil, err
	}
	created := &session{
		Session: yamuxSession, activity: activity, counted: counted, remote: remote,
		wake: make(chan struct{}, 1), streams: map[*Stream]struct{}{},
	}
	created.idlePool.session = created
	return created, nil
}

func startTLS(conn net.Conn, config Config, s side) (net.Conn, error) {
	if config.TLS == nil {
		return conn, nil
	}
	secured := tls.Client(conn, config.TLS)
	if s == serverSide {
		secured = tls.Server(conn, config.TLS)
	}
	return secured, secured.Handshake()
}

// activeStreams returns the number of open streams that carry an exchange.
func (s *session) activeStreams() int { return s.NumStreams() - int(s.idleCount.Load()) }

func (s *session) open() (*Stream, error) {
	s.openMu.RLock()
	defer s.openMu.RUnlock()
	if !s.isUsable() {
		return nil, yamux.ErrSessionShutdown
	}
	stream, err := s.OpenStream()
	if err != nil {
		return nil, err
	}
	s.wakeWatchdog()
	opened := &Stream{Stream: stream, session: s}
	s.addStream(opened)
	return opened, nil
}

func (s *session) addStream(stream *Stream) {
	s.streamsMu.Lock()
	defer s.streamsMu.Unlock()
	s.streams[stream] = struct{}{}
}

func (s *session) removeStream(stream *Stream) {
	s.streamsMu.Lock()
	defer s.streamsMu.Unlock()
	delete(s.streams, stream)
}

// failStreams fails the streams that do not tolerate silence, and reports whether there are
// others.
func (s *session) failStreams() bool {
	s.streamsMu.Lock()
	defer s.streamsMu.Unlock()
	hasTolerant := false
	for stream := range s.streams {
		if stream.toleratesSilence.Load() {
			hasTolerant = true
			continue
		}
		_ = stream.SetDeadline(pastDeadline)
	}
	return hasTolerant
}

func (s *session) wakeWatchdog() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// retire prevents new streams on the connection; open streams continue.
func (s *session) retire() { s.retired.Store(true) }

func (s *session) isUsable() bool { return !s.retired.Load() && !s.IsClosed() }

// closeUnused closes the connection and returns true when it has no streams.
func (s *session) closeUnused() bool {
	s.openMu.Lock()
	defer s.openMu.Unlock()
	if s.NumStreams() > 0 {
		return false
	}
	s.close()
	return true
}

// close closes the connection. The TCP connection is closed first, because a TLS close
// may wait for a peer that no longer reads.
func (s *session) close() {
	s.retire()
	_ = s.activity.Close()
	_ = s.Close()
}
