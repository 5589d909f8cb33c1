// Package overload holds what overload decisions need: when refused callers come back, how
// urgent requests are, and which requests run at an upstream. It is pure: time and random
// source are passed in.
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
	// callerPatience is the part of its time left that a caller waits before it returns.
	callerPatience = 3
)

// ReturnAfter returns when a refused caller should come back: about when a place is
// likely to be free, given the wait that the upstream expects now.
func ReturnAfter(random *rand.Rand, wait time.Duration) time.Duration {
	spread := min(max(wait, leastSpread), returnMax-returnMin)
	return returnMin + time.Duration(random.Int64N(int64(spread)))
}

// ReturnAfterOverload returns when a caller should come back that was refused because all
// upstreams are busy. Such times outlast the objective, so that it comes back late in
// what a caller waits for at the most, a third of the time that it has left.
func ReturnAfterOverload(random *rand.Rand, left time.Duration) time.Duration {
	latest := max(leastSpread, left/callerPatience)
	return latest/2 + time.Duration(random.Int64N(int64(latest/2)+1))
}
