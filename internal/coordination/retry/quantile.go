package retry

import "time"

const (
	// warmupCount is the number of responses before the estimates are used.
	warmupCount = 100
	// quantileStep is the relative step of an estimate for each response.
	quantileStep = 0.02
)

// quantile estimates the median and the p95 of the latency by stochastic
// approximation: each response moves an estimate up or down by a step whose sizes
// balance at the wanted quantile.
type quantile struct {
	count int
	lower float64 // p50 in seconds
	upper float64 // p95 in seconds
}

func (q *quantile) observe(latency time.Duration) {
	seconds := latency.Seconds()
	q.count++
	if q.count == 1 {
		q.lower, q.upper = seconds, seconds
		return
	}
	q.lower = approach(q.lower, seconds, 0.5)
	q.upper = approach(q.upper, seconds, 0.95)
}

func approach(estimate, sample, rank float64) float64 {
	if sample > estimate {
		return estimate * (1 + quantileStep*rank)
	}
	return estimate * (1 - quantileStep*(1-rank))
}

func (q *quantile) median() time.Duration {
	if q.count < warmupCount {
		return 0
	}
	return time.Duration(q.lower * float64(time.Second))
}

func (q *quantile) p95() (time.Duration, bool) {
	if q.count < warmupCount {
		return 0, false
	}
	return max(defaultMinHedgeDelay, time.Duration(q.upper*float64(time.Second))), true
}
