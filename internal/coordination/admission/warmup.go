package admission

import "time"

const (
	// usedFactorShare is the fraction of ColdTolerance.Factor that is used. The rest covers
	// requests that reach the upstream closer together than they were admitted.
	usedFactorShare = 0.95
	// restartSlack is the part of ColdTolerance.Slack that is left for a node that restarts
	// and has lost its record of the requests it sent.
	restartSlack = 2.0
	// maxUtilization is the fraction of its slots up to which an upstream with a configured
	// rate is filled. Servers slow down when they are nearly full, and then serve less.
	maxUtilization = 0.8
)

// ColdTolerance is the load that a cold upstream tolerates beyond its configured rate: in
// any second at most Factor times the rate plus Slack requests. The zero value stands for
// a factor of 1.5 and a slack of 5.
type ColdTolerance struct {
	Factor float64
	Slack  float64
}

// defaultColdTolerance applies to upstreams for which none is configured.
var defaultColdTolerance = ColdTolerance{Factor: 1.5, Slack: 5}

// sendRate returns the requests per second that are sent to a cold upstream with the
// configured rate.
func (t ColdTolerance) sendRate(perSecond float64) float64 {
	return usedFactorShare * t.Factor * perSecond
}

// burst returns the number of requests that may be sent to a cold upstream at once.
func (t ColdTolerance) burst() float64 { return max(1, t.Slack-restartSlack) }

// warmup bounds the rate of requests to a cold upstream whose sustainable rate is
// configured. With a configured rate, the concurrency limit does not depend on the ramp: how
// long the upstream stays cold is known, and slow responses are caused by noisy neighbours.
type warmup struct {
	coldTolerance ColdTolerance
	// perSecond is the configured rate in requests per second, 0 for none.
	perSecond float64
	// coldUntil is the time at which the upstream becomes warm.
	coldUntil time.Time
	bucket    tokenBucket
}

func (w *warmup) isConfigured() bool { return w.perSecond > 0 }

func (w *warmup) isCold(now time.Time) bool { return w.isConfigured() && now.Before(w.coldUntil) }

// rate returns the rate and the burst that bound the requests while the upstream is cold.
func (w *warmup) rate() rate {
	return rate{perSecond: w.coldTolerance.sendRate(w.perSecond), burst: w.coldTolerance.burst()}
}

// SetWarmup sets the requests per second that the upstream sustains while it is cold, and
// the time until which it is cold. A rate of 0 returns to the concurrency limit that grows
// with successes.
func (m *Machine) SetWarmup(now time.Time, perSecond float64, coldUntil time.Time) []Event {
	m.events = m.events[:0]
	if !m.warmup.isConfigured() {
		m.warmup.bucket = newTokenBucket(now)
	}
	m.warmup.perSecond, m.warmup.coldUntil = perSecond, coldUntil
	m.processQueue(now)
	return m.events
}

// Suspect treats an upstream with a configured rate as cold for at least the duration,
// because it may have restarted. The start ID of its next announcement tells whether it has.
func (m *Machine) Suspect(now time.Time, duration time.Duration) []Event {
	m.events = m.events[:0]
	if coldUntil := now.Add(duration); m.warmup.coldUntil.Before(coldUntil) {
		m.warmup.coldUntil = coldUntil
	}
	m.processQueue(now)
	return m.events
}

// limit is the concurrency limit. It is lower for a while after the upstream has shown that it
// is full.
func (m *Machine) limit() int { return m.full.bound(m.updatedAt, m.usualLimit()) }

// usualLimit is the concurrency limit of an upstream that is not known to be full. It leaves slots free, because an upstream whose slots are
// nearly all taken works slower. Nested requests have no slots beyond it: under a lasting
// overload the upstream would always be slow, and serve fewer nested requests than without.
func (m *Machine) usualLimit() int {
	if !m.warmup.isConfigured() {
		return m.ramp.limit
	}
	return max(min(1, m.slots), int(maxUtilization*float64(m.slots)))
}
