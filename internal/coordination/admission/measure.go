package admission

import (
	"sync"
	"time"
)

// MeasurementCounters are the totals of a measurement budget since its creation.
type MeasurementCounters struct {
	// Budget is the number of measurements allowed, whether spent or not.
	Budget float64
	Spent  uint64
	Denied uint64
}

// MeasurementBudget is a token bucket that bounds the measurements of one upstream:
// probes, health checks and connections opened to measure it. It is safe for concurrent use.
type MeasurementBudget struct {
	mu         sync.Mutex
	perSecond  float64
	burst      float64
	tokens     float64
	refilledAt time.Time
	counters   MeasurementCounters
}

// NewMeasurementBudget returns a budget of perSecond measurements per second. The bucket
// holds only one token, so that any window of w seconds has at most 1 + w*perSecond
// measurements.
func NewMeasurementBudget(now time.Time, perSecond float64) *MeasurementBudget {
	b := &MeasurementBudget{refilledAt: now}
	b.configure(perSecond)
	b.tokens = b.burst
	b.counters.Budget = b.burst
	return b
}

// SetRate sets the rate, in measurements per second, that applies from now on.
func (b *MeasurementBudget) SetRate(now time.Time, perSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.configure(perSecond)
	b.tokens = min(b.tokens, b.burst)
}

// Allow takes the token for one measurement, or returns false when there is none.
func (b *MeasurementBudget) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < 1 {
		b.counters.Denied++
		return false
	}
	b.tokens--
	b.counters.Spent++
	return true
}

// Counters returns the totals.
func (b *MeasurementBudget) Counters() MeasurementCounters {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counters
}

func (b *MeasurementBudget) configure(perSecond float64) {
	b.perSecond = max(0, perSecond)
	b.burst = 0
	if b.perSecond > 0 {
		b.burst = 1
	}
}

func (b *MeasurementBudget) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt)
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	added := elapsed.Seconds() * b.perSecond
	b.counters.Budget += added
	b.tokens = min(b.burst, b.tokens+added)
}
