package admission

import (
	"math"
	"time"
)

// statedRateBurst is the number of requests that may be sent at once to an upstream that states
// the rate it accepts. It lets two requests that arrive together start together; more would
// exceed the stated rate in any short time.
const statedRateBurst = 2.0

// statedRate bounds the requests to an upstream in need by the rate that it states it accepts
// from all nodes together. The node beside the upstream sends it all its work, so that the sum
// is bounded here.
type statedRate struct {
	active    bool
	perSecond float64
	bucket    tokenBucket
}

func (s *statedRate) rate() rate { return rate{perSecond: s.perSecond, burst: statedRateBurst} }

// SetStatedRate sets the requests per second that the upstream states it accepts. Queued
// requests that this rate cannot serve before their expiry are refused at once.
func (m *Machine) SetStatedRate(now time.Time, perSecond float64) []Event {
	m.events = m.events[:0]
	if !m.stated.active {
		m.stated.bucket = newTokenBucket(now)
	}
	m.reassessQueue = !m.stated.active || perSecond < m.stated.perSecond
	m.stated.active, m.stated.perSecond = true, perSecond
	m.processQueue(now)
	return m.events
}

// ClearStatedRate ends the bound that SetStatedRate has set.
func (m *Machine) ClearStatedRate(now time.Time) []Event {
	m.events = m.events[:0]
	m.stated.active = false
	m.processQueue(now)
	return m.events
}

// isRateLimited reports whether a rate bounds the requests to the upstream, because it is cold
// or states one.
func (m *Machine) isRateLimited() bool { return m.stated.active || m.isCold() }

// rateWait is the time until the rates that bound the requests to the upstream allow one more
// request than those ahead.
func (m *Machine) rateWait(now time.Time, ahead int) time.Duration {
	wait := time.Duration(0)
	if m.warmup.isCold(now) {
		wait = m.warmup.bucket.wait(now, m.warmup.rate(), ahead)
	}
	if m.stated.active {
		wait = max(wait, m.stated.bucket.wait(now, m.stated.rate(), ahead))
	}
	return wait
}

// takeRate counts a request against the rates that bound the requests to the upstream.
func (m *Machine) takeRate(now time.Time) {
	if m.warmup.isCold(now) {
		m.warmup.bucket.take(now, m.warmup.rate())
	}
	if m.stated.active {
		m.stated.bucket.take(now, m.stated.rate())
	}
}

// effectiveLimit is the number of requests that are in progress at the upstream when it is
// fully used: the concurrency limit, or less when the stated rate cannot fill it.
func (m *Machine) effectiveLimit() int {
	limit := max(0, m.limit())
	if !m.stated.active {
		return limit
	}
	inProgress := math.Ceil(m.stated.perSecond * m.ramp.serviceTime().Seconds())
	return min(limit, max(1, int(min(inProgress, float64(limit)))))
}
