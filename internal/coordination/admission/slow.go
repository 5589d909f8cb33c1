package admission

import (
	"time"

	"github.com/chicorylever/chicorylever/internal/coordination/overload"
)

const (
	// slowdownRemainder is the average remaining duration of a transient slowdown of a
	// shared VM. The speed at its start holds for the whole request, so that waiting for
	// the end of the slowdown is faster when the slowdown would cost more time than that.
	slowdownRemainder = 300 * time.Millisecond
	// maxTransientSlowdown is the duration from which a slowdown counts as the usual speed.
	maxTransientSlowdown = 1500 * time.Millisecond
)

// speed is the current speed of the upstream.
type speed struct {
	// slowdown is the factor by which processing currently takes longer than at a warm
	// upstream of usual speed, 1 when unknown.
	slowdown float64
	// baseline is the slowdown outside of transient slowdowns: that of a cold upstream
	// while it is cold.
	baseline float64
	// slowSince is the start of the current slowdown beyond the baseline, zero without one.
	slowSince time.Time
}

// SetSlowdown sets the factor by which processing currently takes longer than at a warm
// upstream of usual speed.
func (m *Machine) SetSlowdown(now time.Time, slowdown float64) []Event {
	m.events = m.events[:0]
	next := speed{slowdown: slowdown, baseline: 1}
	if m.warmup.isCold(now) {
		next.baseline = coldWorkFactor
	}
	if slowdown > next.baseline {
		next.slowSince = m.speed.slowSince
		if next.slowSince.IsZero() {
			next.slowSince = now
		}
	}
	m.speed = next
	m.processQueue(now)
	return m.events
}

// isTransientlySlow reports whether the upstream is slow, but not for so long that this is
// its usual speed.
func (s *speed) isTransientlySlow(now time.Time) bool {
	return !s.slowSince.IsZero() && now.Sub(s.slowSince) < maxTransientSlowdown
}

// shouldDelay reports whether a request with the given processing time ends sooner when it
// waits for the end of a transient slowdown.
func (s *speed) shouldDelay(now time.Time, work time.Duration) bool {
	extraTime := time.Duration((s.slowdown - s.baseline) * float64(work))
	return s.isTransientlySlow(now) && extraTime > slowdownRemainder
}

// tryStart reports whether a request may be sent now, and counts it against the rate limit
// of a cold upstream.
func (m *Machine) tryStart(now time.Time, w *waiter) bool {
	if !m.hasCapacity(now, w) {
		return false
	}
	return !m.warmup.isCold(now) || m.warmup.take(now)
}

// hasCapacity reports whether the concurrency limit and the current speed allow a request
// to be sent now. It leaves out the rate limit of a cold upstream.
func (m *Machine) hasCapacity(now time.Time, w *waiter) bool {
	return len(m.running) < m.limitFor(w) && !m.speed.shouldDelay(now, w.ownTime)
}

// limitFor is the concurrency limit that applies to the request.
func (m *Machine) limitFor(w *waiter) int {
	if w.urgency == overload.Nested {
		return m.nestedLimit()
	}
	return m.limit()
}

// Wait estimates the time until a request that arrives now can start, without the remainder
// of a transient slowdown.
func (m *Machine) Wait(now time.Time, req Request) time.Duration {
	w := waiter{urgency: m.urgency(now, req), priority: req.Priority, ownTime: req.Work.OwnTime}
	return m.slotWait(now, &w, m.countAhead(&w))
}
