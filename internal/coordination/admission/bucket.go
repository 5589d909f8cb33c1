package admission

import "time"

const (
	// roundingTolerance covers the rounding error of summed fractions of a token.
	roundingTolerance = 1e-6
	// maxRateWait is the longest wait that is computed for a token, also for a rate of 0.
	maxRateWait = time.Hour
)

// rate bounds requests: perSecond is the lasting rate, burst the number of requests that may be
// sent at once after a pause.
type rate struct {
	perSecond float64
	burst     float64
}

// tokenBucket counts the requests that a rate allows at present. The rate is passed in, since
// it may change at any time.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// newTokenBucket returns a bucket with one token.
func newTokenBucket(now time.Time) tokenBucket { return tokenBucket{tokens: 1, refilledAt: now} }

// available returns the tokens at the given time, which is not before the last refill.
func (b *tokenBucket) available(now time.Time, r rate) float64 {
	return min(r.burst, b.tokens+max(0, now.Sub(b.refilledAt).Seconds())*r.perSecond)
}

// wait is the time until the rate allows one request more than those ahead.
func (b *tokenBucket) wait(now time.Time, r rate, ahead int) time.Duration {
	missing := float64(ahead+1) - b.available(now, r)
	if missing <= roundingTolerance {
		return 0
	}
	if missing >= r.perSecond*maxRateWait.Seconds() {
		return maxRateWait
	}
	return fromSeconds(missing / r.perSecond)
}

// take takes the token of one request. The caller has checked that wait is 0.
func (b *tokenBucket) take(now time.Time, r rate) {
	b.tokens = max(0, b.available(now, r)-1)
	if now.After(b.refilledAt) {
		b.refilledAt = now
	}
}
