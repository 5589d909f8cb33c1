package mesh

import (
	"net"
	"sync/atomic"
	"time"
)

// checksPerPingInterval is the number of checks for silence within the ping delay.
const checksPerPingInterval = 3

// activityConn records when bytes last arrived.
type activityConn struct {
	net.Conn
	lastRead atomic.Int64
}

func newActivityConn(conn net.Conn) *activityConn {
	c := &activityConn{Conn: conn}
	c.markRead(time.Now())
	return c
}

func (c *activityConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.markRead(time.Now())
	}
	return n, err
}

func (c *activityConn) markRead(now time.Time) { c.lastRead.Store(now.UnixNano()) }

func (c *activityConn) sinceLastRead(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - c.lastRead.Load())
}

// watch closes the session when it has active streams and no byte has arrived for
// silenceTimeout. It sends a ping after pingAfter without a byte, so that a peer that is
// processing a long request is not considered dead. After two thirds of
// silenceTimeout no new streams are opened on the connection. Without active streams watch
// causes no traffic; a session that has no streams is closed after idleTimeout, unless
// that is 0. watch calls onSilent before it closes a silent session, and returns when
// the session has ended.
func (s *session) watch(pingAfter, silenceTimeout, idleTimeout time.Duration, onSilent func()) {
	for {
		switch s.waitForStream(idleTimeout) {
		case wakeClosed:
			return
		case wakeIdle:
			if s.closeUnused() {
				return
			}
		case wakeStream:
		}
		if s.becomesSilent(pingAfter, silenceTimeout) {
			onSilent()
			s.close()
			return
		}
		if s.retired.Load() && s.closeUnused() {
			return
		}
	}
}

// wakeReason is the reason why the watchdog stopped waiting for a stream.
type wakeReason int

const (
	wakeStream wakeReason = iota
	wakeIdle
	wakeClosed
)

// waitForStream returns when a stream was opened, the idle timeout has passed, or the
// session has ended. The opened stream may already have ended.
func (s *session) waitForStream(idleTimeout time.Duration) wakeReason {
	var expired <-chan time.Time
	if idleTimeout > 0 {
		timer := time.NewTimer(idleTimeout)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-s.CloseChan():
		return wakeClosed
	case <-s.wake:
		return wakeStream
	case <-expired:
		return wakeIdle
	}
}

// becomesSilent blocks while streams are active and reports whether the peer was silent
// for silenceTimeout. Silence before streams were active does not indicate a dead peer,
// nor does silence while this process itself was suspended, so neither is counted.
func (s *session) becomesSilent(pingAfter, silenceTimeout time.Duration) bool {
	interval := pingAfter / checksPerPingInterval
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var pinging atomic.Bool
	lastCheck := time.Now()
	s.activity.markRead(lastCheck)
	for s.activeStreams() > 0 {
		select {
		case <-s.CloseChan():
			return false
		case <-ticker.C:
		}
		now := time.Now()
		if now.Sub(lastCheck) > pingAfter {
			s.activity.markRead(now)
		}
		lastCheck = now
		silence := s.activity.sinceLastRead(now)
		if silence > silenceTimeout {
			return true
		}
		if silence > silenceTimeout*2/3 {
			s.retire()
		}
		if silence > pingAfter && pinging.CompareAndSwap(false, true) {
			go func() {
				defer pinging.Store(false)
				_, _ = s.Ping()
			}()
		}
	}
	return false
}
