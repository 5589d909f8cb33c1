package rollout

import "math"

// The calculations below use additions, multiplications, divisions and square roots of IEEE 754 only, and
// convert each product explicitly, which forbids fused operations: members on machines of
// different kinds must come to the same verdict.

// exactTrials is the number of trials up to which the binomial distribution is summed exactly.
const exactTrials = 400

// Tail is a small probability.
type Tail struct {
	Probability float64
	// Score is the square of the number of standard deviations that a normal distribution
	// exceeds with the probability.
	Score float64
}

// rarelyReached reports whether at least successes of the trials have a probability below the tail
// if each succeeds with the given probability.
func rarelyReached(successes, trials uint64, probability float64, tail Tail) bool {
	if trials > exactTrials {
		return farAbove(successes, trials, probability, tail.Score)
	}
	term := 1.0 // the probability of exactly i successes
	for range trials {
		term = float64(term * (1 - probability))
	}
	below := 0.0
	for i := uint64(0); i < successes; i++ {
		below += term
		ratio := float64(float64(trials-i)*probability) / float64(float64(i+1)*(1-probability))
		term = float64(term * ratio)
	}
	return 1-below < tail.Probability
}

// farAbove reports whether the successes are above their mean by more than the square root of
// score standard deviations.
func farAbove(successes, trials uint64, probability, score float64) bool {
	mean := float64(float64(trials) * probability)
	excess := float64(successes) - mean
	return excess > 0 && float64(excess*excess) > float64(score*float64(mean*(1-probability)))
}

// upperShare returns a share that was measured in the samples plus its standard deviation.
func upperShare(share, samples float64) float64 {
	return min(1, share+math.Sqrt(float64(share*(1-share))/samples))
}

// independentSamples returns how many independent samples the responses are worth. An instance is in
// one state for noiseMs; responses of one instance in this time count as one.
func independentSamples(responses uint64, nodes int, spanMs int64) float64 {
	slots := float64(nodes) * max(1, float64(spanMs)/noiseMs)
	count := float64(responses)
	return float64(count*slots) / (count + slots)
}

// latencyQuantile returns the quantile of a histogram of response times in milliseconds,
// interpolated within its bucket, and the index of the bucket.
func latencyQuantile(buckets []uint64, quantile float64) (ms float64, bucket int) {
	var total uint64
	for _, count := range buckets {
		total += count
	}
	rank := float64(float64(total) * quantile)
	below, lower, upper := 0.0, 0.0, 1.0
	for i, count := range buckets {
		if count > 0 && below+float64(count) >= rank {
			return lower + float64((upper-lower)*(rank-below))/float64(count), i
		}
		below += float64(count)
		lower, upper = upper, 2*upper
	}
	return lower, max(0, len(buckets)-1)
}

// countAbove returns the number of responses in the buckets above the given one, and in all.
func countAbove(buckets []uint64, bucket int) (above, all uint64) {
	for i, count := range buckets {
		all += count
		if i > bucket {
			above += count
		}
	}
	return above, all
}
