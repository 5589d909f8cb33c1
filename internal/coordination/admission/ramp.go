package admission

import "time"

const (
	// slowFactor times the usual service time is the longest expected service time. With
	// exponentially distributed service times, 5 % of the requests take longer.
	slowFactor = 3.0
	// slowMarginSeconds is added so that timer resolution does not count as slowness.
	slowMarginSeconds = 0.001
	// recentGain is the weight of one request in the reported service time.
	recentGain = 1.0 / 32
	// usualGain is the weight of one request in the usual service time.
	usualGain = 1.0 / 128
	// coldGain is the weight of one request in the usual service time of a cold upstream,
	// so that a lasting change is accepted.
	coldGain = 1.0 / 32
	// latencyJumpMargin is added to the limit to give the surplus of slow over expected
	// requests that counts as a latency jump: one pause delays at most limit requests.
	latencyJumpMargin = 8
	// latencyJumpDuration is how long requests must be mostly slow before the upstream
	// counts as cold. It exceeds the pauses caused by noisy neighbours, 5 to 50 ms.
	latencyJumpDuration = 150 * time.Millisecond
	// initialSamples is the number of requests over which the usual service time is a plain
	// average before it becomes an exponentially weighted one.
	initialSamples = 8
)

// ramp is the concurrency limit of an upstream without a configured rate, with the
// observations from which it is derived. Its service times are kept for all upstreams.
type ramp struct {
	limit            int
	cold             bool
	lastStepAt       time.Time
	successes        int       // within the expected service time since the last step
	slowCount        int       // slow requests and, while cold, failed ones since the last step
	slowSurplus      int       // slow minus expected requests while warm, at least 0
	slowSurplusSince time.Time // when slowSurplus was last 0
	usualSeconds     float64   // mean service time; samples are capped against latency jumps while warm
	samples          int       // number of service times in usualSeconds
	recentSeconds    float64   // mean service time of recent requests, as reported
}

func (r *ramp) startCold(now time.Time) {
	r.limit = 1
	r.cold = true
	r.slowSurplus = 0
	r.beginStep(now)
}

// beginStep resets the counts of the step that starts with a change of the limit.
func (r *ramp) beginStep(now time.Time) {
	r.lastStepAt = now
	r.successes = 0
	r.slowCount = 0
}

// observe updates the limit by the outcome of a request and returns true when the upstream
// must start cold again.
func (r *ramp) observe(now time.Time, outcome Outcome, slots int, stepInterval time.Duration) bool {
	switch outcome.Result {
	case ResultSuccess:
		return r.observeSuccess(now, outcome.ServiceTime.Seconds(), slots, stepInterval)
	case ResultTimeout:
		return r.observeSlow(now)
	case ResultOverloaded:
		r.shrink(now)
	case ResultError, ResultReset:
		// Application errors alone, a minority of the responses, must not keep an upstream
		// cold.
		if r.cold {
			return r.observeSlow(now)
		}
	case ResultConnectRefused:
		return true
	case ResultCancelled:
	}
	return false
}

func (r *ramp) observeSuccess(now time.Time, serviceSeconds float64, slots int, stepInterval time.Duration) bool {
	r.recentSeconds = weightedMean(r.recentSeconds, serviceSeconds, recentGain)
	isSlow := r.samples >= initialSamples && serviceSeconds > r.usualSeconds*slowFactor+slowMarginSeconds
	r.updateUsual(serviceSeconds)
	if isSlow {
		return r.observeSlow(now)
	}
	r.successes++
	r.slowSurplus = max(0, r.slowSurplus-1)
	r.grow(now, slots, stepInterval)
	return false
}

// observeServiceTime records the service time of a success and does not change the limit.
func (r *ramp) observeServiceTime(outcome Outcome) {
	if outcome.Result != ResultSuccess {
		return
	}
	r.recentSeconds = weightedMean(r.recentSeconds, outcome.ServiceTime.Seconds(), recentGain)
	r.updateUsual(outcome.ServiceTime.Seconds())
}

func (r *ramp) updateUsual(serviceSeconds float64) {
	r.samples++
	switch {
	case r.samples <= initialSamples:
		r.usualSeconds += (serviceSeconds - r.usualSeconds) / float64(r.samples)
	case r.cold:
		r.usualSeconds = weightedMean(r.usualSeconds, serviceSeconds, coldGain)
	default:
		// The cap prevents a latency jump from raising the usual time before it is detected.
		r.usualSeconds = weightedMean(r.usualSeconds, min(serviceSeconds, r.usualSeconds*slowFactor), usualGain)
	}
}

// observeSlow counts a request beyond the expected service time, or one that failed while
// the upstream was cold. The limit of a cold upstream is halved when such requests are in
// the majority; a warm upstream becomes cold, which the result reports.
func (r *ramp) observeSlow(now time.Time) bool {
	r.slowCount++
	if r.cold {
		if r.slowCount > r.successes+2 {
			r.shrink(now)
		}
		return false
	}
	if r.slowSurplus == 0 {
		r.slowSurplusSince = now
	}
	r.slowSurplus++
	return r.slowSurplus > r.limit+latencyJumpMargin && now.Sub(r.slowSurplusSince) >= latencyJumpDuration
}

func (r *ramp) shrink(now time.Time) {
	r.limit = max(1, r.limit/2)
	r.beginStep(now)
}

// grow raises the limit by one after 2*limit successes within the expected service time. A
// cold upstream also waits for the step interval, so that it warms up before the next step.
// It becomes warm once the limit has reached the slots.
func (r *ramp) grow(now time.Time, slots int, stepInterval time.Duration) {
	if r.successes < 2*r.limit {
		return
	}
	if r.cold && now.Sub(r.lastStepAt) < stepInterval {
		return
	}
	if r.limit < slots {
		r.limit++
		r.beginStep(now)
		return
	}
	r.cold = false
}

func (r *ramp) serviceTime() time.Duration {
	if r.recentSeconds == 0 {
		return defaultServiceTime
	}
	return fromSeconds(r.recentSeconds)
}

func fromSeconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}

// weightedMean returns the exponentially weighted mean after a sample; a mean of 0 has no
// samples.
func weightedMean(mean, sample, gain float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + (sample-mean)*gain
}
