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

func (c *activityConn) hasReadAfter(t time.Time) bool { return c.lastRead.Load() > t.UnixNano() }

// silenceHandler is told of a dialled session that has become silent.
type silenceHandler interface {
	// onSilent is called at the beginning of a silence, before the first stream fails. It must
	// not block.
	onSilent()
	// checkPeer is called in a goroutine of its own when only streams that tolerate silence
	// are left. It closes the session if the peer is reachable in another way while nothing
	// has arrived after silentSince.
	checkPeer(silentSince time.Time)
}

// watch fails the streams of a session that has active streams when no byte has arrived for
// the time limits.silent. It sends a ping after limits.pingAfter without a byte, so that a
// peer that is processing a long request is not considered dead. After two thirds of
// limits.silent no new streams are opened on the connection. Streams that tolerate silence
// go on until limits.dead; without any, watch closes the session at once. Without active
// streams watch causes no traffic; a session that has no streams is closed after
// idleTimeout, unless that is 0. watch returns when the session has ended. handler may be nil.
func (s *session) watch(limits silenceLimits, idleTimeout time.Duration, handler silenceHandler) {
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
		if s.becomesDead(limits, handler) {
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

// becomesDead blocks while streams are active and reports whether the session has to be
// closed because the peer is silent. Silence before streams were active does not indicate a
// dead peer, nor does silence while this process itself was suspended, so neither is counted.
func (s *session) becomesDead(limits silenceLimits, handler silenceHandler) bool {
	ticker := time.NewTicker(limits.pingAfter / checksPerPingInterval)
	defer ticker.Stop()
	var pinging atomic.Bool
	wasSilent := false
	lastCheck := time.Now()
	s.activity.markRead(lastCheck)
	for s.activeStreams() > 0 {
		select {
		case <-s.CloseChan():
			return false
		case <-ticker.C:
		}
		now := time.Now()
		if now.Sub(lastCheck) > limits.pingAfter {
			s.activity.markRead(now)
		}
		lastCheck = now
		silence := s.activity.sinceLastRead(now)
		isSilent := silence > limits.silent
		if isSilent && s.handleSilence(handler, !wasSilent, now.Add(-silence)) {
			return true
		}
		if silence > limits.dead {
			return true
		}
		wasSilent = isSilent
		if silence > limits.silent*2/3 {
			s.retire()
		}
		if silence > limits.pingAfter && pinging.CompareAndSwap(false, true) {
			go func() {
				defer pinging.Store(false)
				_, _ = s.Ping()
			}()
		}
	}
	return false
}

// handleSilence fails the streams of a silent session. It returns true when none is left
// that tolerates the silence. begins is set on the first call of each silence.
func (s *session) handleSilence(handler silenceHandler, begins bool, silentSince time.Time) bool {
	if begins && handler != nil {
		handler.onSilent()
	}
	if !s.failStreams() {
		return true
	}
	if begins && handler != nil {
		go handler.checkPeer(silentSince)
	}
	return false
}
