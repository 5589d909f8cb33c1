package budget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestSumStaysWithinLimit guards against nodes that together retry more often than the
// limit allows in some window, with node restarts, idle periods and a service that fails
// every request. The slack is at least two per node, as in every documented deployment.
func TestSumStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 90).Draw(t, "nodes")
		limit := Limit{Ratio: 0.2, Slack: 2*float64(nodes) + 36, Window: 10 * time.Second}
		now := time.Unix(1000, 0)
		shares := make([]*Share, nodes)
		for i := range shares {
			shares[i] = NewShare(now, limit, nodes)
		}
		type second struct{ requests, retries float64 }
		var seconds []second
		for range rapid.IntRange(10, 40).Draw(t, "seconds") {
			s := second{requests: float64(rapid.IntRange(0, 20).Draw(t, "requests") * nodes)}
			for range 10 {
				now = now.Add(100 * time.Millisecond)
				for i := range shares {
					for range int(s.requests) / nodes / 10 {
						shares[i].Earn(now)
					}
					for shares[i].Take(now) {
						s.retries++
					}
				}
			}
			if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
				for i := range shares {
					shares[i] = NewShare(now, limit, nodes)
				}
			}
			seconds = append(seconds, s)
		}
		for i := 0; i+10 <= len(seconds); i++ {
			requests, retries := 0.0, 0.0
			for _, s := range seconds[i : i+10] {
				requests += s.requests
				retries += s.retries
			}
			assert.Assert(t, retries <= limit.Ratio*requests+limit.Slack, "%v retries for %v requests", retries, requests)
		}
	})
}

// TestRetriesAreUsable guards against a share that is too small to ever allow a retry.
func TestRetriesAreUsable(t *testing.T) {
	now := time.Unix(1000, 0)
	share := NewShare(now, Limit{Ratio: 0.2, Slack: 62, Window: 10 * time.Second}, 13)
	assert.Assert(t, !share.Take(now))
	assert.Assert(t, share.Take(now.Add(10*time.Second)))
	for range 20 {
		share.Earn(now.Add(10 * time.Second))
	}
	assert.Assert(t, share.Take(now.Add(10*time.Second)))
	assert.Assert(t, !share.Take(now.Add(10*time.Second)))
}

// TestHedgeShare guards against nodes that together hedge more than their share of the
// requests since their starts, and against hedges after the share was set to 0.
func TestHedgeShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 50).Draw(t, "nodes")
		perRequest := rapid.Float64Range(0, 0.5).Draw(t, "perRequest")
		now := time.Unix(1000, 0)
		shares := make([]*Share, nodes)
		for i := range shares {
			shares[i] = NewHedgeShare(now, perRequest)
		}
		earned, taken := 0.0, 0.0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Second)
			i := rapid.IntRange(0, nodes-1).Draw(t, "node")
			if rapid.Bool().Draw(t, "request") {
				shares[i].Earn(now)
				earned += perRequest
			} else if shares[i].Take(now) {
				taken++
			}
			assert.Assert(t, taken <= earned+1e-6)
		}
		for i := range shares {
			shares[i].SetPerRequest(0)
			assert.Assert(t, !shares[i].Take(now))
		}
	})
}
