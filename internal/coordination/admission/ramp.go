package admission

import "time"

const (
	// slowFactor times the usual service time is the longest expected time. With
	// exponential spread 5 % of the requests take longer.
	slowFactor = 3.0
	// slowMargin is added so that timer resolution does not count as slowness.
	slowMargin = 0.001 // seconds
	// recentGain is the weight of one request in the reported service time.
	recentGain = 1.0 / 32
	// usualGain is the weight of one request in the usual service time.
	usualGain = 1.0 / 128
	// coldGain is the weight while cold, so that a lasting change is accepted.
	coldGain = 1.0 / 32
	// jumpMargin is added to the limit to give the excess of slow over expected
	// requests that counts as a jump: one pause delays at most limit requests.
	jumpMargin = 8
	// jumpDuration is how long requests must be mostly slow before the upstream
	// counts as cold. It exceeds the pauses caused by noisy neighbours, 5 to 50 ms.
	jumpDuration = 150 * time.Millisecond
	// learnCount is the number of requests from which the usual time is averaged
	// first.
	learnCount = 8
)

// ramp is the concurrency limit and what it is derived from. Times are in seconds.
type ramp struct {
	limit     int
	cold      bool
	steppedAt time.Time
	successes int       // within the expected time since the last step
	slow      int       // successes beyond the expected time since the last step
	excess    int       // slow minus expected requests while warm, at least 0
	excessAt  time.Time // when excess was last 0
	usual     float64
	learned   int
	recent    float64
}

func (r *ramp) chill(now time.Time) {
	r.limit = 1
	r.cold = true
	r.excess = 0
	r.step(now)
}

func (r *ramp) step(now time.Time) {
	r.steppedAt = now
	r.successes = 0
	r.slow = 0
}

// observe takes the outcome of a request and returns true when the upstream must
// start cold again.
func (r *ramp) observe(now time.Time, outcome Outcome, slots int, interval time.Duration) bool {
	switch outcome.Result {
	case ResultSuccess:
		return r.observeSuccess(now, outcome.ServiceTime.Seconds(), slots, interval)
	case ResultTimeout:
		return r.observeSlow(now)
	case ResultOverloaded:
		r.shrink(now)
	case ResultError:
		// Errors of the application alone, a minority, must not keep an upstream cold.
		if r.cold {
			return r.observeSlow(now)
		}
	case ResultConnectRefused:
		return true
	case ResultCancelled:
	}
	return false
}

func (r *ramp) observeSuccess(now time.Time, seconds float64, slots int, interval time.Duration) bool {
	r.recent = blend(r.recent, seconds, recentGain)
	isSlow := r.learned >= learnCount && seconds > r.usual*slowFactor+slowMargin
	r.learn(seconds)
	if isSlow {
		return r.observeSlow(now)
	}
	r.successes++
	r.excess = max(0, r.excess-1)
	r.grow(now, slots, interval)
	return false
}

// measure takes the service time of a success and leaves the limit alone.
func (r *ramp) measure(outcome Outcome) {
	if outcome.Result != ResultSuccess {
		return
	}
	r.recent = blend(r.recent, outcome.ServiceTime.Seconds(), recentGain)
	r.learn(outcome.ServiceTime.Seconds())
}

func (r *ramp) learn(seconds float64) {
	r.learned++
	switch {
	case r.learned <= learnCount:
		r.usual += (seconds - r.usual) / float64(r.learned)
	case r.cold:
		r.usual = blend(r.usual, seconds, coldGain)
	default:
		// The cap keeps a jump from raising the usual time before it is noticed.
		r.usual = blend(r.usual, min(seconds, r.usual*slowFactor), usualGain)
	}
}

// observeSlow counts a request beyond the expected time, or a failed one while cold. A
// cold upstream whose requests are mostly of that kind loses half its limit; a warm one
// becomes cold.
func (r *ramp) observeSlow(now time.Time) bool {
	r.slow++
	if r.cold {
		if r.slow > r.successes+2 {
			r.shrink(now)
		}
		return false
	}
	if r.excess == 0 {
		r.excessAt = now
	}
	r.excess++
	return r.excess > r.limit+jumpMargin && now.Sub(r.excessAt) >= jumpDuration
}

func (r *ramp) shrink(now time.Time) {
	r.limit = max(1, r.limit/2)
	r.step(now)
}

// grow raises the limit by one after two rounds of expected successes. A cold
// upstream also waits for the interval, so that it warms before the next step.
func (r *ramp) grow(now time.Time, slots int, interval time.Duration) {
	if r.successes < 2*r.limit {
		return
	}
	if r.cold && now.Sub(r.steppedAt) < interval {
		return
	}
	if r.limit < slots {
		r.limit++
		r.step(now)
		return
	}
	r.cold = false
}

func (r *ramp) serviceTime() time.Duration {
	if r.recent == 0 {
		return defaultServiceTime
	}
	return seconds(r.recent)
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}

func blend(old, sample, gain float64) float64 {
	if old == 0 {
		return sample
	}
	return old + (sample-old)*gain
}
