package balance

import (
	"math"
	"time"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

const (
	// loadTimeConstant is the time constant for the decay of a reported load. It is below the
	// service time of 5 ms, after which most of the reported requests have ended. With 20 ms,
	// p99 at 80 % load with late reports rose by 0.7 ms.
	loadTimeConstant = 3500 * time.Microsecond
	// slownessTimeConstant is the time constant for the decay of excess latency and of an
	// above-average service time. With 0.2 s, p99.9 rose from 42 to 59 ms when one instance
	// was ten times slower.
	slownessTimeConstant = time.Second
	// slowThreshold is the multiple of the mean service time of the service above which an
	// instance counts as slow. Smaller differences are mostly noise; taking them into account
	// refused 0.03 % more requests at 50 to 95 % load.
	slowThreshold = 1.5
	// refusalTimeConstant is the time constant for the decay of the count of refusals.
	refusalTimeConstant = 20 * time.Millisecond
	// errorTimeConstant is the time constant for the decay of the error rate.
	errorTimeConstant = 2 * time.Second
	// exclusionTime is how long an instance is excluded after a refusal because it is leaving,
	// stopping, gone, replaced, of an excluded version or in a zone that is out. It covers the time until the registry
	// or the configuration document shows the change.
	exclusionTime = 500 * time.Millisecond
)

// Weights of one sample in the exponential moving averages.
const (
	loadGain        = 0.02
	inFlightGain    = 0.02
	serviceTimeGain = 0.02
	excessGain      = 1.0 / 16
	errorGain       = 1.0 / 8
)

// decayingAverage is an exponential moving average that decays while there are no samples.
type decayingAverage struct {
	value     float64
	updatedAt time.Time
}

func (a *decayingAverage) add(now time.Time, sample, gain float64) {
	a.value += (sample - a.value) * gain
	a.updatedAt = now
}

func (a *decayingAverage) valueAt(now time.Time, timeConstant time.Duration) float64 {
	if a.value <= 0 {
		return 0
	}
	return a.value * decay(now.Sub(a.updatedAt), timeConstant)
}

// instanceState is what one entry node has learned about one instance.
type instanceState struct {
	service *serviceState
	// sentSinceResponse counts the entry node's requests sent since the last response.
	sentSinceResponse int
	// meanReportedLoad and meanInFlight are moving averages of the reported load and of the
	// entry node's own requests in flight.
	meanReportedLoad float64
	meanInFlight     float64
	// expectedSeconds is the latency without queueing as of the last score; excessSeconds is
	// the latency of responses above it. An excess shows a slow network path or a misleading
	// load report.
	expectedSeconds float64
	excessSeconds   decayingAverage
	// refusals is the count of refusals, which decays with refusalTimeConstant.
	refusals decayingAverage
	// errors is the error rate of the attempts.
	errors        decayingAverage
	excludedUntil time.Time
	// excludedByRevision is the revision of the configuration by which the instance refused,
	// 0 when it refused for another reason. Once the entry node has this revision, State of
	// the candidate decides instead of excludedUntil.
	excludedByRevision uint64
	lastResponseAt     time.Time // last response of the upstream, refusals not counted
	ejection
}

func (s *instanceState) recordSent(c *Candidate) {
	s.sentSinceResponse++
	s.meanReportedLoad += (float64(c.Report.InFlight+c.Report.Queued) - s.meanReportedLoad) * loadGain
	s.service.updateServiceTime(c)
}

func (s *instanceState) recordOutcome(now time.Time, outcome Outcome) {
	if outcome.Result == ResultCancelled {
		s.sentSinceResponse = max(0, s.sentSinceResponse-1)
		return
	}
	s.sentSinceResponse = 0
	if outcome.Result == ResultSuccess || outcome.Result == ResultError {
		s.lastResponseAt = now
	}
	switch outcome.Result {
	case ResultSuccess:
		s.recordSuccess(now, outcome.Latency.Seconds())
	case ResultError, ResultTimeout:
		s.recordFailure(now)
	case ResultRefused:
		s.recordRefusal(now, outcome)
	default:
	}
}

func (s *instanceState) recordSuccess(now time.Time, latencySeconds float64) {
	s.excessSeconds.add(now, latencySeconds-s.expectedSeconds, excessGain)
	s.errors.add(now, 0, errorGain)
	s.failureScore *= successFactor
}

func (s *instanceState) recordFailure(now time.Time) {
	s.errors.add(now, 1, errorGain)
	s.failureScore++
}

// recordRefusal records a refusal. A refused connection also counts as a failure of the
// upstream; its low load would otherwise look like spare capacity.
func (s *instanceState) recordRefusal(now time.Time, outcome Outcome) {
	s.refusals = decayingAverage{value: s.recentRefusals(now) + 1, updatedAt: now}
	switch outcome.Reason {
	case wire.RefusalReason_REFUSAL_CONNECT:
		s.recordFailure(now)
	case wire.RefusalReason_REFUSAL_ZONE_OUT:
		s.excludedUntil, s.excludedByRevision = now.Add(exclusionTime), outcome.Revision
	case wire.RefusalReason_REFUSAL_LEAVING,
		wire.RefusalReason_REFUSAL_STOPPING,
		wire.RefusalReason_REFUSAL_NO_UPSTREAM,
		wire.RefusalReason_REFUSAL_VERSION,
		wire.RefusalReason_REFUSAL_WRONG_INSTANCE:
		s.excludedUntil, s.excludedByRevision = now.Add(exclusionTime), 0
	default:
	}
}

// isExcluded reports whether an earlier refusal excludes the candidate.
func (s *instanceState) isExcluded(now time.Time, c *Candidate) bool {
	if s.excludedByRevision != 0 && c.Revision >= s.excludedByRevision {
		return false
	}
	return now.Before(s.excludedUntil)
}

func (s *instanceState) recentRefusals(now time.Time) float64 {
	return s.refusals.valueAt(now, refusalTimeConstant)
}

func (s *instanceState) recentExcessSeconds(now time.Time) float64 {
	return s.excessSeconds.valueAt(now, slownessTimeConstant)
}

func (s *instanceState) errorRate(now time.Time) float64 {
	return s.errors.valueAt(now, errorTimeConstant)
}

// expectedServiceSeconds estimates the service time at the instance. It is the mean of the
// service, increased when the instance reported a time above slowThreshold. The increase
// decays with the age of the report, so that an instance that was slow is tried again.
func (s *instanceState) expectedServiceSeconds(c *Candidate) float64 {
	mean := s.service.serviceSeconds()
	excess := c.Report.ServiceTime.Seconds() - slowThreshold*mean
	if excess <= 0 {
		return mean
	}
	return mean + excess*decay(c.ReportAge, slownessTimeConstant)
}

// estimatedLoad estimates the number of requests at the instance. A recent report counts
// together with the entry node's requests sent since. As the report ages, the average load
// replaces it, corrected by the difference between the entry node's requests in flight and
// their average. The entry node's requests in flight are known exactly and are the minimum.
func (s *instanceState) estimatedLoad(c *Candidate) float64 {
	inFlight := float64(c.InFlight)
	reported := float64(c.Report.InFlight + c.Report.Queued + min(s.sentSinceResponse, c.InFlight))
	projected := s.meanReportedLoad + inFlight - s.meanInFlight
	s.meanInFlight += (inFlight - s.meanInFlight) * inFlightGain
	reportWeight := decay(c.ReportAge, loadTimeConstant)
	return math.Max(inFlight, reportWeight*reported+(1-reportWeight)*projected)
}
