package admission_test

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestBurst guards against an overload in which most responses miss their objective. Retries
// by callers, requests that can no longer meet their objective, and long requests that start
// during a transient slowdown must not take the slots of requests that still can meet theirs.
// Plain requests, which carry no objective or urgency, miss the target.
func TestBurst(t *testing.T) {
	for seed := range uint64(3) {
		plain, ordered := simulateBurst(seed, usualBurst(false)).result, simulateBurst(seed, usualBurst(true)).result
		t.Logf("seed %d: share in time %.2f plain, %.2f ordered; share served %.3f plain, %.3f ordered", seed,
			float64(plain.inTime)/float64(plain.requests), float64(ordered.inTime)/float64(ordered.requests),
			float64(plain.allServed)/float64(plain.allRequests), float64(ordered.allServed)/float64(ordered.allRequests))
		inTime := float64(ordered.inTime) / float64(ordered.requests)
		assert.Assert(t, inTime >= burstTarget, "%.2f", inTime)
	}
}
