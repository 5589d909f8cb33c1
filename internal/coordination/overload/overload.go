// Package overload decides when refused callers come back while there is more work than
// upstreams can take. It is pure: the random source is passed in.
package overload

import (
	"math/rand/v2"
	"time"
)

const (
	// returnMin and returnMax bound the time after which refused callers come back.
	returnMin = 20 * time.Millisecond
	returnMax = time.Second
	// leastSpread is the shortest range over which they come back, so that those refused
	// together do not return together.
	leastSpread = 50 * time.Millisecond
)

// ReturnAfter returns when a refused caller should come back: about when a place is
// likely to be free, given the wait that the upstream expects now.
func ReturnAfter(random *rand.Rand, wait time.Duration) time.Duration {
	spread := min(max(wait, leastSpread), returnMax-returnMin)
	return returnMin + time.Duration(random.Int64N(int64(spread)))
}
