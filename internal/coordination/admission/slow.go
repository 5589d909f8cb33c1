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
	// slowdown is the time that work takes compared to the usual of a warm upstream, 1 when
	// unknown.
	slowdown float64
	// base is the slowdown outside of slow spells: that of a cold upstream while it is cold.
	base float64
	// since is the begin of the slow spell, zero outside of one.
	since time.Time
}

// SetSlowdown takes how long work takes at this moment compared to the usual of a warm
// upstream.
func (m *Machine) SetSlowdown(now time.Time, slowdown float64) []Event {
	m.events = m.events[:0]
	next := speed{slowdown: slowdown, base: 1}
	if m.warmup.isCold(now) {
		next.base = coldWork
	}
	if slowdown > next.base {
		next.since = m.speed.since
		if next.since.IsZero() {
			next.since = now
		}
	}
	m.speed = next
	m.settle(now)
	return m.events
}

// isSpell reports whether the upstream is slow for a while only.
func (s *speed) isSpell(now time.Time) bool {
	return !s.since.IsZero() && now.Sub(s.since) < slowLasting
}

// outwaits reports whether work is done sooner when it waits for the end of the spell.
func (s *speed) outwaits(now time.Time, work time.Duration) bool {
	excess := time.Duration((s.slowdown - s.base) * float64(work))
	return s.isSpell(now) && excess > slowRest
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
	w := waiter{urgency: m.urgency(now, req), rank: req.Rank, work: req.Work.Own}
	return m.turn(now, &w, m.ahead(&w))
}
