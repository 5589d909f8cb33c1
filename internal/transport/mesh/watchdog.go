package mesh

import (
	"net"
	"sync/atomic"
	"time"
)

// checksPerPingInterval is the number of checks in the silence that causes a ping.
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

// watch closes the session when it holds streams with work and no byte has arrived for
// the dead time. It pings after the ping time, so that a peer that only works on a
// long request is not taken for a dead one. From two thirds of the dead time on, new
// streams are kept off the connection. Without such streams there is no traffic;
// after the idle timeout, when it is not 0, the session is closed. It calls onSilent
// before it closes a silent session, and returns when the session has ended.
func (s *session) watch(ping, dead, idle time.Duration, onSilent func()) {
	for {
		switch s.waitForStream(idle) {
		case wakeClosed:
			return
		case wakeIdle:
			if s.closeUnused() {
				return
			}
		case wakeStream:
		}
		if s.becomesSilent(ping, dead) {
			onSilent()
			s.close()
			return
		}
		if s.retired.Load() && s.closeUnused() {
			return
		}
	}
}

// wakeReason tells why the watchdog stopped waiting for a stream.
type wakeReason int

const (
	wakeStream wakeReason = iota
	wakeIdle
	wakeClosed
)

// waitForStream returns when a stream was opened, the idle timeout has passed, or the
// session has ended. The stream may have ended meanwhile.
func (s *session) waitForStream(idle time.Duration) wakeReason {
	var expired <-chan time.Time
	if idle > 0 {
		timer := time.NewTimer(idle)
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

// becomesSilent watches while streams have work and returns true when the peer is silent.
// Silence before that says nothing about the peer, and neither does silence while this
// process itself was frozen.
func (s *session) becomesSilent(ping, dead time.Duration) bool {
	interval := ping / checksPerPingInterval
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var pinging atomic.Bool
	last := time.Now()
	s.activity.markRead(last)
	for s.activeStreams() > 0 {
		select {
		case <-s.CloseChan():
			return false
		case <-ticker.C:
		}
		now := time.Now()
		if now.Sub(last) > ping {
			s.activity.markRead(now)
		}
		last = now
		silence := s.activity.sinceLastRead(now)
		if silence > dead {
			return true
		}
		if silence > dead*2/3 {
			s.retire()
		}
		if silence > ping && pinging.CompareAndSwap(false, true) {
			go func() {
				defer pinging.Store(false)
				_, _ = s.Ping()
			}()
		}
	}
	return false
}
