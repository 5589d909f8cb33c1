package retry

import "time"

// budgetWindow bounds how long earned budget can be saved: the bucket holds what the
// floor gives in this time plus burstEarned.
const (
	budgetWindow = time.Second
	// burstEarned is the largest number of retries saved from first attempts. It
	// bounds the burst when a whole service fails at once.
	burstEarned = 10.0
)

// Budget allows a share of first attempts plus a floor per second.
type Budget struct {
	share  float64
	floor  float64 // per second
	earned float64
	basic  float64
	at     time.Time
}

// NewBudget returns a budget that starts with one second of its floor.
func NewBudget(now time.Time, share, floor float64) Budget {
	return Budget{share: share, floor: floor, basic: floor * budgetWindow.Seconds(), at: now}
}

// Earn records a first attempt.
func (b *Budget) Earn(now time.Time) {
	b.refill(now)
	b.earned = min(burstEarned, b.earned+b.share)
}

// Take takes one retry from the budget, or returns false.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	switch {
	case b.earned >= 1:
		b.earned--
	case b.basic >= 1:
		b.basic--
	default:
		return false
	}
	return true
}

func (b *Budget) refill(now time.Time) {
	elapsed := now.Sub(b.at)
	if elapsed <= 0 {
		return
	}
	b.at = now
	b.basic = min(b.floor*budgetWindow.Seconds(), b.basic+b.floor*elapsed.Seconds())
}
