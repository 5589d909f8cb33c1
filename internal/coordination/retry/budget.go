package retry

import "time"

const (
	// minRateBurst is the time for which the budget accumulates tokens at the minimum rate.
	// It holds them in addition to maxShareTokens.
	minRateBurst = time.Second
	// maxShareTokens is the largest number of retries that first attempts can accumulate.
	// It bounds the burst of retries when a whole service fails at once.
	maxShareTokens = 10.0
)

// Budget is a token bucket for retries: it allows a share of the first attempts plus a
// minimum number per second.
type Budget struct {
	share         float64 // tokens for each first attempt
	minPerSecond  float64
	shareTokens   float64   // tokens from first attempts
	minRateTokens float64   // tokens from the minimum rate
	refilledAt    time.Time // last refill of minRateTokens
}

// setShare changes the share. At 0 it removes the tokens that first attempts have earned.
func (b *Budget) setShare(share float64) {
	b.share = share
	if share == 0 {
		b.shareTokens = 0
	}
}

// NewBudget returns a budget that holds the tokens of one second at the minimum rate.
func NewBudget(now time.Time, share, minPerSecond float64) Budget {
	return Budget{share: share, minPerSecond: minPerSecond, minRateTokens: minPerSecond * minRateBurst.Seconds(), refilledAt: now}
}

// Earn adds the tokens of one first attempt.
func (b *Budget) Earn(now time.Time) {
	b.refill(now)
	b.shareTokens = min(maxShareTokens, b.shareTokens+b.share)
}

// Take removes the token of one retry. It returns false when there is none.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	switch {
	case b.shareTokens >= 1:
		b.shareTokens--
	case b.minRateTokens >= 1:
		b.minRateTokens--
	default:
		return false
	}
	return true
}

func (b *Budget) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt)
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	b.minRateTokens = min(b.minPerSecond*minRateBurst.Seconds(), b.minRateTokens+b.minPerSecond*elapsed.Seconds())
}
