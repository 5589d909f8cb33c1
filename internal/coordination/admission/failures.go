package admission

import (
	"math"
	"time"
)

const (
	// failureMemory is the time after which an observation has lost most of its weight. An
	// upstream that gets no requests because of its failures is tried again soon after it.
	failureMemory = 2 * time.Second
	// priorSuccesses is the number of successes that are assumed beside the observed requests,
	// so that a single failure of an upstream with little traffic weighs little.
	priorSuccesses = 3.0
)

// FailureTracker estimates the share of requests that an upstream fails by itself. The node
// beside the upstream sees all of its requests, while each entry node sees so few that an
// upstream which fails half of them goes unnoticed. The zero value has no observations. It is
// not safe for concurrent use.
type FailureTracker struct {
	requests, failures float64
	updatedAt          time.Time
}

// Observe records the end of a request.
func (f *FailureTracker) Observe(now time.Time, failed bool) {
	f.decay(now)
	f.requests++
	if failed {
		f.failures++
	}
}

// Share returns the estimated share of requests that fail, between 0 and 1.
func (f *FailureTracker) Share(now time.Time) float64 {
	f.decay(now)
	return f.failures / (f.requests + priorSuccesses)
}

func (f *FailureTracker) decay(now time.Time) {
	elapsed := now.Sub(f.updatedAt)
	f.updatedAt = now
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-float64(elapsed) / float64(failureMemory))
	f.requests *= factor
	f.failures *= factor
}
