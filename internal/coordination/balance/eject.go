package balance

import (
	"math/rand/v2"
	"time"
)

const (
	// ejectThreshold is the failure score that ejects an instance: four failures in a row.
	ejectThreshold = 4.0
	// rampEjectThreshold is the failure score that ejects an instance again during its ramp.
	rampEjectThreshold = 2.0
	// successFactor is the factor by which a success reduces the failure score.
	successFactor = 0.5
	// baseEjectionTime is the duration of the first ejection; each repetition doubles it.
	baseEjectionTime = 2 * time.Second
	// maxEjectionDoublings bounds the duration of an ejection to 64 s.
	maxEjectionDoublings = 5
	// ejectionResetAfter is the time since the end of an ejection after which the next one
	// counts as the first.
	ejectionResetAfter = time.Minute
	// rampDuration is the time after an ejection over which the traffic of the instance
	// ramps up to its full share.
	rampDuration = 5 * time.Second
	// rampInitialShare is the share of its traffic that an instance gets at the start of
	// the ramp.
	rampInitialShare = 0.05
)

// ejection is the outlier detection state of one instance: it is ejected after repeated
// failures, and its traffic ramps up again afterwards.
type ejection struct {
	failureScore float64   // one for each failure, reduced by successes
	ejections    int       // consecutive ejections, which set the duration of the next
	ejectedUntil time.Time // end of the last ejection, zero when there was none
}

// shouldEject reports whether the failure score reaches the threshold.
func (e *ejection) shouldEject(now time.Time) bool {
	if e.ejectedOrRamping(now) {
		return e.failureScore >= rampEjectThreshold
	}
	return e.failureScore >= ejectThreshold
}

func (e *ejection) ejectedOrRamping(now time.Time) bool {
	return !e.ejectedUntil.IsZero() && now.Sub(e.ejectedUntil) < rampDuration
}

// admitsTraffic reports whether the instance may be chosen now: not while it is ejected,
// and with a probability that grows during the ramp afterwards.
func (e *ejection) admitsTraffic(now time.Time, random *rand.Rand) bool {
	if !e.ejectedOrRamping(now) {
		return true
	}
	since := now.Sub(e.ejectedUntil)
	if since < 0 {
		return false
	}
	share := rampInitialShare + (1-rampInitialShare)*since.Seconds()/rampDuration.Seconds()
	return random.Float64() < share
}

func (e *ejection) eject(now time.Time) {
	if now.Sub(e.ejectedUntil) > ejectionResetAfter {
		e.ejections = 0
	}
	e.ejectedUntil = now.Add(baseEjectionTime << min(e.ejections, maxEjectionDoublings))
	e.ejections++
	e.failureScore = 0
}

// serviceState is what one entry node keeps for a service.
type serviceState struct {
	instanceCount      int     // as of the last call of Pick or SampleForQuotes
	meanServiceSeconds float64 // moving average of the reported service times, 0 when unknown
	ejected            []*instanceState
}

// eject ejects an instance, unless the ejected instances already reach the largest
// allowed share of the service. A failure that is common to all instances thus ejects
// only some of them.
func (s *serviceState) eject(now time.Time, inst *instanceState, share float64) {
	s.removeExpired(now)
	if now.Before(inst.ejectedUntil) || len(s.ejected) >= s.maxEjected(share) {
		return
	}
	inst.eject(now)
	s.ejected = append(s.ejected, inst)
}

func (s *serviceState) maxEjected(share float64) int {
	if s.instanceCount < 2 {
		return 0
	}
	return min(s.instanceCount-1, max(1, int(share*float64(s.instanceCount))))
}

func (s *serviceState) removeExpired(now time.Time) {
	kept := s.ejected[:0]
	for _, inst := range s.ejected {
		if now.Before(inst.ejectedUntil) {
			kept = append(kept, inst)
		}
	}
	s.ejected = kept
}

func (s *serviceState) removeInstance(gone *instanceState) {
	kept := s.ejected[:0]
	for _, inst := range s.ejected {
		if inst != gone {
			kept = append(kept, inst)
		}
	}
	s.ejected = kept
}

// updateServiceTime adds the reported service time of a candidate to the mean.
func (s *serviceState) updateServiceTime(c *Candidate) {
	reported := c.Report.ServiceTime.Seconds()
	switch {
	case reported == 0:
	case s.meanServiceSeconds == 0:
		s.meanServiceSeconds = reported
	default:
		s.meanServiceSeconds += (reported - s.meanServiceSeconds) * serviceTimeGain
	}
}

// serviceSeconds returns the mean service time in seconds, or the default when unknown.
func (s *serviceState) serviceSeconds() float64 {
	if s.meanServiceSeconds == 0 {
		return defaultServiceTime.Seconds()
	}
	return s.meanServiceSeconds
}
