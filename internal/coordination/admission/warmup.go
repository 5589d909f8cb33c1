package admission

import "time"

const (
	// excessShare is the part of the allowed factor that is used. The rest covers requests
	// that reach the upstream closer together than they were admitted.
	excessShare = 0.95
	// excessReserve is the part of the allowed slack that is left for a node that restarts
	// and has forgotten what it sent.
	excessReserve = 2.0
	// rateRounding covers the error of added fractions.
	rateRounding = 1e-6
	// utilization is the share of its slots up to which an upstream of stated rate is
	// filled. Servers slow down when they are nearly full, and then serve less.
	utilization = 0.8
)

// Excess is what a cold upstream bears beyond its stated rate: in any second at most Factor
// times the rate and Slack more requests. The zero value stands for a factor of 1.5 and a
// slack of 5.
type Excess struct {
	Factor float64
	Slack  float64
}

// defaultExcess is that of upstreams of which nothing else is known.
var defaultExcess = Excess{Factor: 1.5, Slack: 5}

// rate returns the requests a second that are sent to an upstream of the stated rate.
func (e Excess) rate(perSecond float64) float64 { return excessShare * e.Factor * perSecond }

// burst returns the number of requests that a cold upstream takes at once.
func (e Excess) burst() float64 { return max(1, e.Slack-excessReserve) }

// warmup bounds the requests of a cold upstream whose bearable rate is stated. While it
// is in use, the limit of concurrent requests does not depend on the ramp: how long
// the upstream stays cold is known, and slow responses come from noisy neighbours.
type warmup struct {
	excess Excess
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
	rate := w.excess.rate(w.perSecond)
	saved := min(w.excess.burst(), w.tokens+max(0, now.Sub(w.at).Seconds())*rate)
	return max(0, seconds((float64(ahead+1)-saved)/rate))
}

// take takes a request from the rate, or returns false.
func (w *warmup) take(now time.Time) bool {
	if elapsed := now.Sub(w.at); elapsed > 0 {
		w.tokens = min(w.excess.burst(), w.tokens+elapsed.Seconds()*w.excess.rate(w.perSecond))
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
