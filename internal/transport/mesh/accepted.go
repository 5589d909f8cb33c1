package mesh

import (
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

// Accepted is a stream that a server passes to its handler. A handler that serves
// several exchanges on one stream calls EndExchange after each of them and BeginExchange
// before the next one. In between, the stream is idle. Idle streams do not count as
// active: they cause no pings, and Drain does not wait for them.
type Accepted struct {
	*yamux.Stream
	server  *Server
	session *session
	// isIdle is guarded by the server's lock.
	isIdle bool
	// messageBytes are counted for messages that the handler holds.
	messageBytes atomic.Int64
}

// EndExchange ends an exchange and makes the stream idle. It returns false when the
// server is stopping and the handler must serve no other exchange.
func (a *Accepted) EndExchange() bool {
	a.server.mu.Lock()
	defer a.server.mu.Unlock()
	if a.session.draining || a.server.closed {
		return false
	}
	a.isIdle = true
	a.server.idleStreams[a] = struct{}{}
	a.session.idleCount.Add(1)
	a.server.removeActiveLocked()
	return true
}

// BeginExchange starts an exchange on an idle stream. It returns false when the server is
// stopping and the handler must serve no other exchange. A stopping server also makes
// reads of idle streams fail with a timeout.
func (a *Accepted) BeginExchange() bool {
	a.server.mu.Lock()
	defer a.server.mu.Unlock()
	if !a.isIdle {
		return false // interruptIdle ended the idle period
	}
	a.server.resumeLocked(a)
	return true
}

// resumeLocked counts the handler of an idle stream as running again.
func (s *Server) resumeLocked(a *Accepted) {
	a.isIdle = false
	delete(s.idleStreams, a)
	s.activeHandlers++
	a.session.idleCount.Add(-1)
	a.session.wakeWatchdog()
}

// drainSession asks the peer to open no more streams and then ends the idle ones. In the
// reverse order the peer could replace an idle stream with a new one that is rejected
// too late.
func (s *Server) drainSession(sess *session) {
	_ = sess.GoAway()
	s.interruptIdle(sess)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeActiveLocked()
}

// interruptIdle makes the handlers of a session's idle streams return by failing their
// reads. The handlers count as running until they return.
func (s *Server) interruptIdle(sess *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sess.draining = true
	for a := range s.idleStreams {
		if a.session != sess {
			continue
		}
		s.resumeLocked(a)
		_ = a.SetReadDeadline(time.Unix(1, 0))
	}
}

// endHandler updates the counts when the handler of a stream has returned.
func (s *Server) endHandler(a *Accepted) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.isIdle {
		s.resumeLocked(a)
	}
	s.removeActiveLocked()
}
