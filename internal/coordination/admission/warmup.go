package admission

import "time"

const (
	// warmupShare is how much of the stated rate a cold upstream gets. Upstreams bear short
	// excesses, and the rate is kept by the only sender of their work.
	warmupShare = 1.25
	// warmupBurst is the number of requests that a cold upstream takes at once.
	warmupBurst = 4.0
	// rateRounding covers the error of added fractions.
	rateRounding = 1e-6
	// utilization is the share of its slots up to which an upstream of stated rate is
	// filled. Servers slow down when they are nearly full, and then serve less.
	utilization = 0.8
)

// warmup bounds the requests of a cold upstream whose bearable rate is stated. While it
// is in use, the limit of concurrent requests does not depend on the ramp: how long
// the upstream stays cold is known, and slow responses come from noisy neighbours.
type warmup struct {
	// perSecond is 0 while no rate is stated.
	perSecond float64
	// until is when the upstream is warm.
	until  time.Time
	tokens float64
	at     time.Time
}

func (w *warmup) isStated() bool { return w.perSecond > 0 }

func (w *warmup) isCold(now time.Time) bool { return w.isStated() && now.Before(w.until) }

// wait is the time until the rate allows one more request than those ahead.
func (w *warmup) wait(now time.Time, ahead int) time.Duration {
	rate := warmupShare * w.perSecond
	saved := min(warmupBurst, w.tokens+max(0, now.Sub(w.at).Seconds())*rate)
	return max(0, seconds((float64(ahead+1)-saved)/rate))
}

// take takes a request from the rate, or returns false.
func (w *warmup) take(now time.Time) bool {
	if elapsed := now.Sub(w.at); elapsed > 0 {
		w.tokens = min(warmupBurst, w.tokens+elapsed.Seconds()*warmupShare*w.perSecond)
		w.at = now
	}
	if w.tokens < 1-rateRounding {
		return false
	}
	w.tokens = max(0, w.tokens-1)
	return true
}

// SetWarmup states the requests a second that the upstream bears while it is cold, and
// until when it is. A rate of 0 returns to the limit that grows with successes.
func (m *Machine) SetWarmup(now time.Time, perSecond float64, until time.Time) []Event {
	m.events = m.events[:0]
	if !m.warmup.isStated() {
		m.warmup.tokens, m.warmup.at = 1, now
	}
	m.warmup.perSecond, m.warmup.until = perSecond, until
	m.settle(now)
	return m.events
}

// Suspect makes an upstream of stated rate count as cold for at least the duration. It
// may have restarted, which its next announcement tells.
func (m *Machine) Suspect(now time.Time, duration time.Duration) []Event {
	m.events = m.events[:0]
	if until := now.Add(duration); m.warmup.until.Before(until) {
		m.warmup.until = until
	}
	m.settle(now)
	return m.events
}

// limit is the largest number of concurrent requests.
func (m *Machine) limit() int {
	if !m.warmup.isStated() {
		return m.ramp.limit
	}
	return max(min(1, m.slots), int(utilization*float64(m.slots)))
}

// reserved is the largest number of concurrent requests when nested ones are counted.
// They may use the places that are left free for speed, because a refused one wastes the
// work of the request that made it.
func (m *Machine) reserved() int {
	if !m.warmup.isStated() {
		return m.ramp.limit
	}
	return m.slots
}
