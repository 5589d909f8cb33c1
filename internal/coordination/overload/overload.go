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
	// retryDelayDivisor divides the remaining time of a caller; the result is the longest
	// delay before it retries.
	retryDelayDivisor = 3
)

// RetryDelay returns the delay after which a refused caller should retry: about when a
// slot is likely to be free, given the queue wait that the upstream currently expects.
func RetryDelay(random *rand.Rand, expectedWait time.Duration) time.Duration {
	jitter := min(max(expectedWait, minRetryJitter), maxRetryDelay-minRetryDelay)
	return minRetryDelay + time.Duration(random.Int64N(int64(jitter)))
}

// BusyRetryDelay returns the delay after which a caller should retry that was refused
// because all upstreams are busy. Such an overload lasts longer than the objective, so the
// delay is at least half of the longest delay that a caller accepts, which is a third of its
// remaining time.
func BusyRetryDelay(random *rand.Rand, remaining time.Duration) time.Duration {
	maxDelay := max(minRetryJitter, remaining/retryDelayDivisor)
	return maxDelay/2 + time.Duration(random.Int64N(int64(maxDelay/2)+1))
}
