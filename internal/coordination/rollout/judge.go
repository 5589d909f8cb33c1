package rollout

import (
	"fmt"

	"github.com/chicorylever/chicorylever/internal/state/document"
)

const (
	// minBadResponses is the number of failed, or of slow, responses of the target version
	// below which it is not judged.
	minBadResponses = 8
	// slowLimit is the ratio to the median of the others above which such a response counts as
	// slow; the next limit of a bucket is up to twice as high.
	slowLimit = 1.4
	// slowDifferenceMs is the smallest difference of response times in milliseconds that
	// counts, above the jitter of a scheduler.
	slowDifferenceMs = 5
	// noiseMs is how long another workload on the VM of an upstream slows it down at a time,
	// in milliseconds (docs/requirements.md, section 1.2, "Judge"). The responses of one
	// instance in this time are not independent.
	noiseMs = 300
	// minSamples is the number of independent samples below which response times are not
	// compared.
	minSamples = 10
	// minSpanMs is the length of a period in milliseconds below which response times are not
	// compared: a shorter one holds one or two states of each instance.
	minSpanMs = 1000
)

// Strictness is how much worse the target version must be.
type Strictness struct {
	// Failure and Slow are the probabilities with which a version as good as the others has
	// so many failures, or slow responses, in one comparison.
	Failure, Slow Tail
	// Mix is that of so many slow responses of all routes together in a recent period, MixWhole
	// since the first request, which is compared less often.
	Mix, MixWhole Tail
	// SlowRatio is the ratio of the response times above which a version is too slow. Buckets
	// double from one to the next, so that the interpolated ratio of two versions in adjacent
	// buckets is 2.
	SlowRatio float64
	// SlowPart is the part of the responses that must be slow in addition to those of the
	// others if the quantiles do not show it: a version of which only a part of the responses
	// is slow.
	SlowPart float64
}

var (
	// Suspicion is stricter than the 0.001 that docs/requirements.md names, because a rollout
	// makes hundreds of comparisons.
	Suspicion = Strictness{
		Failure: Tail{1e-5, 18.2}, Slow: Tail{1e-6, 22.6}, Mix: Tail{1e-6, 22.6}, MixWhole: Tail{2e-5, 16.9},
		SlowRatio: 1.8, SlowPart: 0.15,
	}
	// Confirmation applies once there is a suspicion. It is less strict, so that a suspicion
	// that was just above its limit is not dropped for one response more.
	Confirmation = Strictness{
		Failure: Tail{1e-3, 9.6}, Slow: Tail{1e-3, 9.6}, Mix: Tail{1e-3, 9.6}, MixWhole: Tail{1e-3, 9.6},
		SlowRatio: 1.5, SlowPart: 0.1,
	}
)

// Window holds the responses of both versions to the requests of a route in the same period.
type Window struct {
	Target, Other document.RolloutCounts
	// SpanMs is the length of the period in milliseconds.
	SpanMs int64
	// Routes are the responses of the single routes, in the same order in each window. They are
	// set for all routes together, whose response times depend on the mix of routes.
	Routes []Window
}

// Series is what the judge compares for one route, or for all routes together.
type Series struct {
	Name string
	// Whole is the period since the target version got its first request, Recent are later
	// periods up to now.
	Whole  Window
	Recent []Window
	// TargetNodes and OtherNodes count the nodes that served requests of each version.
	TargetNodes, OtherNodes int
	// SpreadFailures is the number of failures of the target version without those of the
	// node that has most of them.
	SpreadFailures uint64

	strictness Strictness
}

// Judge returns why the target version is worse than the others, or "". A version is worse if a
// period shows it in comparison with the other versions in the same period and in the whole one,
// as far as these have enough responses: trouble of both versions is no evidence.
func Judge(series []Series, strictness Strictness) string {
	for i := range series {
		series[i].strictness = strictness
		if reason := series[i].judge(); reason != "" {
			return reason
		}
	}
	return ""
}

func (s *Series) judge() string {
	if reason := s.judgeWindow(&s.Whole); reason != "" {
		return reason
	}
	for i := range s.Recent {
		if reason := s.judgeWindow(&s.Recent[i]); reason != "" {
			return reason
		}
	}
	return ""
}

// judgeWindow compares the target version in the window with the others.
func (s *Series) judgeWindow(w *Window) string {
	references := s.references(w)
	if len(references) == 0 {
		return ""
	}
	if s.worse(w, references, s.fails) {
		return s.failureReason(w, references[0])
	}
	if w.SpanMs < minSpanMs {
		return ""
	}
	if len(w.Routes) > 0 {
		return s.judgeMix(w, references)
	}
	for _, quantile := range []float64{0.5, 0.9} {
		slower := func(target, other *Window) bool { return s.slower(target, other, quantile) }
		if s.worse(w, references, slower) {
			return s.latencyReason(w, references[0], quantile)
		}
	}
	if s.worse(w, references, s.partlySlower) {
		return s.latencyReason(w, references[0], 0.9)
	}
	return ""
}

// references returns the periods of the other versions to compare with.
func (s *Series) references(w *Window) []*Window {
	var references []*Window
	if w != &s.Whole && w.Other.Responses() >= MinResponses {
		references = append(references, w)
	}
	if s.Whole.Other.Responses() >= MinResponses {
		references = append(references, &s.Whole)
	}
	return references
}

// worse reports whether the target version is worse in comparison with each reference.
func (s *Series) worse(w *Window, references []*Window, isWorse func(target, other *Window) bool) bool {
	for _, reference := range references {
		if !isWorse(w, reference) {
			return false
		}
	}
	return true
}

// fails reports whether the target version has more failures than chance explains. If both
// versions fail equally often, each failure is one of the target version with the probability
// of its part of the responses. Failures of one node out of several are those of its VM.
func (s *Series) fails(target, other *Window) bool {
	failed := target.Target.Failed
	if failed < minBadResponses || s.TargetNodes > 1 && s.SpreadFailures < 2 {
		return false
	}
	responses := target.Target.Responses()
	part := float64(responses) / float64(responses+other.Other.Responses())
	if float64(failed) <= float64(part*float64(failed+other.Other.Failed)) {
		return false // no more than expected
	}
	return rarelyReached(failed, failed+other.Other.Failed, part, s.strictness.Failure)
}

// slower reports whether the quantile of the response times of the target version is higher by
// more than SlowRatio, and more of its responses are above that of the others than noise
// explains.
func (s *Series) slower(target, other *Window, quantile float64) bool {
	mine, theirs := &target.Target, &other.Other
	if mine.Succeeded < MinResponses || theirs.Succeeded < MinResponses {
		return false
	}
	mineMs, _ := latencyQuantile(mine.Latency, quantile)
	theirsMs, bucket := latencyQuantile(theirs.Latency, quantile)
	if mineMs <= float64(s.strictness.SlowRatio*theirsMs) || mineMs-theirsMs < slowDifferenceMs {
		return false
	}
	return s.moreAbove(target, other, bucket, 0)
}

// partlySlower reports whether more of the responses of the target version, by SlowPart, are
// above slowLimit.
func (s *Series) partlySlower(target, other *Window) bool {
	if target.Target.Succeeded < MinResponses || other.Other.Succeeded < MinResponses {
		return false
	}
	medianMs, _ := latencyQuantile(other.Other.Latency, 0.5)
	return medianMs >= slowDifferenceMs && s.moreAbove(target, other, slowBucket(medianMs), s.strictness.SlowPart)
}

// slowBucket returns the bucket of a histogram above which a response counts as slow.
func slowBucket(medianMs float64) int {
	bucket, limit := 0, 1.0
	for limit < float64(slowLimit*medianMs) {
		bucket++
		limit *= 2
	}
	return bucket
}

// moreAbove reports whether the part of the responses above the bucket is higher in the target
// version by more than the difference, and by more than noise explains.
func (s *Series) moreAbove(target, other *Window, bucket int, difference float64) bool {
	mineSlow, mineAll := countAbove(target.Target.Latency, bucket)
	theirsSlow, theirsAll := countAbove(other.Other.Latency, bucket)
	if mineSlow < minBadResponses || theirsAll == 0 {
		return false
	}
	mineSamples := independentSamples(mineAll, s.TargetNodes, target.SpanMs)
	theirsSamples := independentSamples(theirsAll, s.OtherNodes, other.SpanMs)
	if mineSamples < minSamples || theirsSamples < minSamples {
		return false
	}
	mineShare := float64(mineSlow) / float64(mineAll)
	theirsShare := float64(theirsSlow) / float64(theirsAll)
	if mineShare-theirsShare <= difference {
		return false
	}
	return rarelyReached(uint64(mineShare*mineSamples), uint64(mineSamples), upperShare(theirsShare, theirsSamples), s.strictness.Slow)
}

// judgeMix compares the part of slow responses over all routes with what the other versions let
// expect for the same mix of routes.
func (s *Series) judgeMix(w *Window, references []*Window) string {
	if !s.worse(w, references, s.mixSlower) {
		return ""
	}
	slow, all, expected := slowInMix(w, references[0])
	return fmt.Sprintf("%s: %d of %d responses of the target version are slow, %.0f are to be expected from the other versions", s.Name, slow, all, expected)
}

func (s *Series) mixSlower(target, other *Window) bool {
	slow, all, expected := slowInMix(target, other)
	samples := independentSamples(all, s.TargetNodes, target.SpanMs)
	if all < MinResponses || slow < minBadResponses || samples < minSamples {
		return false
	}
	tail := s.strictness.Mix
	if target == &s.Whole {
		tail = s.strictness.MixWhole
	}
	mineShare, theirsShare := float64(slow)/float64(all), expected/float64(all)
	return mineShare-theirsShare > s.strictness.SlowPart &&
		rarelyReached(uint64(mineShare*samples), uint64(samples), theirsShare, tail)
}

// slowInMix returns the number of slow responses of the target version, of all its responses, and
// the number of slow ones that the other versions let expect. Routes with few responses of the
// other versions are left out.
func slowInMix(target, other *Window) (slow, all uint64, expected float64) {
	for i := range target.Routes {
		mine, theirs := &target.Routes[i].Target, &other.Routes[i].Other
		medianMs, _ := latencyQuantile(theirs.Latency, 0.5)
		if theirs.Succeeded < MinResponses || medianMs < slowDifferenceMs {
			continue
		}
		bucket := slowBucket(medianMs)
		mineSlow, mineAll := countAbove(mine.Latency, bucket)
		theirsSlow, theirsAll := countAbove(theirs.Latency, bucket)
		slow, all = slow+mineSlow, all+mineAll
		expected += float64(float64(mineAll) * upperShare(float64(theirsSlow)/float64(theirsAll), float64(theirsAll)))
	}
	return slow, all, expected
}

func (s *Series) failureReason(w, reference *Window) string {
	return fmt.Sprintf("%s: %d of %d responses of the target version failed, %d of %d of the other versions",
		s.Name, w.Target.Failed, w.Target.Responses(), reference.Other.Failed, reference.Other.Responses())
}

func (s *Series) latencyReason(w, reference *Window, quantile float64) string {
	mine, _ := latencyQuantile(w.Target.Latency, quantile)
	theirs, _ := latencyQuantile(reference.Other.Latency, quantile)
	return fmt.Sprintf("%s: quantile %.1f of the response times is about %.0f ms in %d responses of the target version, %.0f ms in %d of the other versions",
		s.Name, quantile, mine, w.Target.Succeeded, theirs, reference.Other.Succeeded)
}
