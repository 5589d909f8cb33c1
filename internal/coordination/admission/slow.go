package admission

import (
	"time"

	"github.com/chicorylever/chicorylever/internal/coordination/overload"
)

const (
	// slowRest is how much longer a slow spell of a shared VM lasts on average. A request
	// takes the speed at its start, so that waiting for the end of the spell is quicker
	// where it costs more than that.
	slowRest = 300 * time.Millisecond
	// slowLasting is the length of a spell from which it counts as the usual speed.
	slowLasting = 1500 * time.Millisecond
)

// speed is how long work takes at the upstream at this moment.
type speed struct {
	// slowdown is the time that work takes compared to the usual, 1 when unknown.
	slowdown float64
	// since is the begin of the slow spell, zero outside of one.
	since time.Time
}

// SetSlowdown takes how long work takes at this moment compared to the usual.
func (m *Machine) SetSlowdown(now time.Time, slowdown float64) []Event {
	m.events = m.events[:0]
	switch {
	case slowdown <= 1:
		m.speed = speed{}
	case m.speed.since.IsZero():
		m.speed = speed{slowdown: slowdown, since: now}
	default:
		m.speed.slowdown = slowdown
	}
	m.settle(now)
	return m.events
}

// isSpell reports whether the upstream is slow for a while only.
func (s *speed) isSpell(now time.Time) bool {
	return !s.since.IsZero() && now.Sub(s.since) < slowLasting
}

// stretched returns the time that work takes when it is started now.
func (s *speed) stretched(work time.Duration) time.Duration {
	return time.Duration(max(1, s.slowdown) * float64(work))
}

// outwaits reports whether work is done sooner when it waits for the end of the spell.
func (s *speed) outwaits(now time.Time, work time.Duration) bool {
	return s.isSpell(now) && s.stretched(work)-work > slowRest
}

// mayStart reports whether a request may be sent now, and counts it.
func (m *Machine) mayStart(now time.Time, w *waiter) bool {
	if !m.hasPlace(now, w) {
		return false
	}
	return !m.warmup.isCold(now) || m.warmup.take(now)
}

// hasPlace reports whether a request may be sent now but for the rate of a cold upstream.
func (m *Machine) hasPlace(now time.Time, w *waiter) bool {
	return len(m.running) < m.limitFor(w) && !m.speed.outwaits(now, w.work)
}

// limitFor is the largest number of concurrent requests that the request may be one of.
func (m *Machine) limitFor(w *waiter) int {
	if w.urgency == overload.Nested {
		return m.reserved()
	}
	return m.limit()
}

// Wait estimates the time until a request that comes now can start, without what is left
// of a slow spell.
func (m *Machine) Wait(now time.Time, req Request) time.Duration {
	w := waiter{urgency: m.urgency(now, req), rank: req.Rank, work: req.Work}
	return m.turn(now, &w, m.ahead(&w))
}
