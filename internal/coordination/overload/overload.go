// Package overload supports overload decisions: the retry delay for refused callers, the
// urgency of requests, and the set of requests running at an upstream. It is pure: time
// and random source are passed in.
package overload

import (
	"math/rand/v2"
	"time"
)

const (
	// minRetryDelay and maxRetryDelay bound the delay after which refused callers retry.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
	// minRetryJitter is the shortest range of retry delays, so that callers refused
	// together do not retry together.
	minRetryJitter = 50 * time.Millisecond
	// retryDelayDivisor is the divisor of the time that a caller has left that gives the
	// longest delay before it retries.
	retryDelayDivisor = 3
)

// RetryDelay returns the delay after which a refused caller should retry: about when a
// slot is likely to be free, given the queue wait that the upstream currently expects.
func RetryDelay(random *rand.Rand, wait time.Duration) time.Duration {
	jitter := min(max(wait, minRetryJitter), maxRetryDelay-minRetryDelay)
	return minRetryDelay + time.Duration(random.Int64N(int64(jitter)))
}

// BusyRetryDelay returns the delay after which a caller should retry that was refused
// because all upstreams are busy. Such an overload lasts longer than the objective, so the
// delay is taken from the upper half of the longest that a caller accepts, a third of the
// time that it has left.
func BusyRetryDelay(random *rand.Rand, left time.Duration) time.Duration {
	maxDelay := max(minRetryJitter, left/retryDelayDivisor)
	return maxDelay/2 + time.Duration(random.Int64N(int64(maxDelay/2)+1))
}
