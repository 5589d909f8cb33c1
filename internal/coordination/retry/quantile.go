package retry

import "time"

const (
	// minSamples is the number of responses from which on the estimates are used.
	minSamples = 100
	// relativeStep scales the change of an estimate for each response, relative to the
	// estimate.
	relativeStep = 0.02
)

// latencyQuantiles estimates the median (p50) and the p95 of the latency by stochastic
// approximation: each response moves an estimate up or down, and the two step sizes are
// chosen so that the moves cancel out at the target quantile.
type latencyQuantiles struct {
	count      int
	p50Seconds float64
	p95Seconds float64
}

func (q *latencyQuantiles) observe(latency time.Duration) {
	seconds := latency.Seconds()
	q.count++
	if q.count == 1 {
		q.p50Seconds, q.p95Seconds = seconds, seconds
		return
	}
	q.p50Seconds = adjustEstimate(q.p50Seconds, seconds, 0.5)
	q.p95Seconds = adjustEstimate(q.p95Seconds, seconds, 0.95)
}

func adjustEstimate(estimate, sample, quantile float64) float64 {
	if sample > estimate {
		return estimate * (1 + relativeStep*quantile)
	}
	return estimate * (1 - relativeStep*(1-quantile))
}

// median returns 0 until there are minSamples responses.
func (q *latencyQuantiles) median() time.Duration {
	if q.count < minSamples {
		return 0
	}
	return time.Duration(q.p50Seconds * float64(time.Second))
}

// p95 returns false until there are minSamples responses.
func (q *latencyQuantiles) p95() (time.Duration, bool) {
	if q.count < minSamples {
		return 0, false
	}
	return max(minHedgeDelay, time.Duration(q.p95Seconds*float64(time.Second))), true
}
