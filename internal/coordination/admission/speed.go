package admission

import "time"

const (
	// meanRemainingSlowdownTime is the mean remaining duration of a transient slowdown of a
	// shared VM. A request keeps the speed at which it starts, so that it ends sooner by
	// waiting for the end of the slowdown when the slowdown would add more time than this.
	meanRemainingSlowdownTime = 300 * time.Millisecond
	// maxTransientSlowdownTime is the duration after which a slowdown counts as the usual
	// speed.
	maxTransientSlowdownTime = 1500 * time.Millisecond
)

// speed is the current speed of the upstream.
type speed struct {
	// slowdown is the factor by which processing currently takes longer than at a warm
	// upstream of usual speed, 0 when unknown.
	slowdown float64
	// baseline is the slowdown without a transient slowdown: coldSlowdown while the upstream
	// is cold, 1 otherwise.
	baseline float64
	// slowSince is the start of the current slowdown beyond the baseline, zero without one.
	slowSince time.Time
}

// SetSlowdown sets the factor by which processing currently takes longer than at a warm
// upstream of usual speed, 0 when unknown.
func (m *Machine) SetSlowdown(now time.Time, slowdown float64) []Event {
	m.events = m.events[:0]
	next := speed{slowdown: slowdown, baseline: 1}
	if m.warmup.isCold(now) {
		next.baseline = coldSlowdown
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
	return !s.slowSince.IsZero() && now.Sub(s.slowSince) < maxTransientSlowdownTime
}

// shouldDelay reports whether a request with the given processing time ends sooner when it
// waits for the end of a transient slowdown.
func (s *speed) shouldDelay(now time.Time, ownTime time.Duration) bool {
	extraTime := time.Duration((s.slowdown - s.baseline) * float64(ownTime))
	return s.isTransientlySlow(now) && extraTime > meanRemainingSlowdownTime
}

// tryStart reports whether a request may be sent now, and counts it against the rates that
// bound the requests to the upstream.
func (m *Machine) tryStart(now time.Time, w *waiter) bool {
	if !m.hasCapacity(now, w) || m.rateWait(now, 0) > 0 || m.full.pause(now) > 0 {
		return false
	}
	m.takeRate(now)
	return true
}

// hasCapacity reports whether the concurrency limit and the current speed allow a request
// to be sent now. It leaves out rate limits.
func (m *Machine) hasCapacity(now time.Time, w *waiter) bool {
	return len(m.running) < m.limitFor(now, w) && !m.speed.shouldDelay(now, w.ownTime)
}

// limitFor is the concurrency limit for a request, less the slots that it leaves to others.
func (m *Machine) limitFor(now time.Time, w *waiter) int {
	limit := m.limit()
	return limit - max(m.fairShare.reservedSlots(w, limit), m.coldReserve(now, w, limit))
}

// Wait estimates the time until a request that arrives now can start, without the remainder
// of a transient slowdown.
func (m *Machine) Wait(now time.Time, req Request) time.Duration {
	w := m.newWaiter(now, req)
	return m.slotWait(now, &w, m.countAhead(&w))
}
