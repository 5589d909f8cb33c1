package balance

import (
	"math/rand/v2"
	"time"
)

const (
	// failThreshold is the number of failures in a row that ejects.
	failThreshold = 4.0
	// returnThreshold is the number that ejects again during the return.
	returnThreshold = 2.0
	// successCredit is the factor by which a success reduces the counted failures.
	successCredit = 0.5
	// ejectBase is the length of a first ejection; it doubles with each repetition.
	ejectBase = 2 * time.Second
	// ejectDoublings bounds the length to 64 s.
	ejectDoublings = 5
	// ejectForget is the time after an ejection from which the next counts as first.
	ejectForget = time.Minute
	// returnRamp is the time over which a reinstated instance regains its share.
	returnRamp = 5 * time.Second
	// returnFirst is the share at the start of the ramp.
	returnFirst = 0.05
)

// ejection is the state of an instance that fails.
type ejection struct {
	failures  float64
	ejections int
	until     time.Time // end of the last ejection, zero when there was none
}

func (e *ejection) failing(now time.Time) bool {
	if e.returning(now) {
		return e.failures >= returnThreshold
	}
	return e.failures >= failThreshold
}

func (e *ejection) returning(now time.Time) bool {
	return !e.until.IsZero() && now.Sub(e.until) < returnRamp
}

// accepts reports whether the instance may be compared now: not while ejected, and
// with a growing probability afterwards.
func (e *ejection) accepts(now time.Time, random *rand.Rand) bool {
	if !e.returning(now) {
		return true
	}
	since := now.Sub(e.until)
	if since < 0 {
		return false
	}
	share := returnFirst + (1-returnFirst)*since.Seconds()/returnRamp.Seconds()
	return random.Float64() < share
}

func (e *ejection) eject(now time.Time) {
	if now.Sub(e.until) > ejectForget {
		e.ejections = 0
	}
	e.until = now.Add(ejectBase << min(e.ejections, ejectDoublings))
	e.ejections++
	e.failures = 0
}

// serviceState is what one entry keeps for a service.
type serviceState struct {
	size    int     // instances at the last pick
	usual   float64 // mean service time in seconds, 0 when unknown
	ejected []*track
}

// eject keeps t out for a while, unless as many instances of the service as the
// share allows are out. A cause that all have in common then ejects only some.
func (s *serviceState) eject(now time.Time, t *track, share float64) {
	s.expire(now)
	if now.Before(t.until) || len(s.ejected) >= s.allowed(share) {
		return
	}
	t.eject(now)
	s.ejected = append(s.ejected, t)
}

func (s *serviceState) allowed(share float64) int {
	if s.size < 2 {
		return 0
	}
	return min(s.size-1, max(1, int(share*float64(s.size))))
}

func (s *serviceState) expire(now time.Time) {
	kept := s.ejected[:0]
	for _, t := range s.ejected {
		if now.Before(t.until) {
			kept = append(kept, t)
		}
	}
	s.ejected = kept
}

func (s *serviceState) forget(gone *track) {
	kept := s.ejected[:0]
	for _, t := range s.ejected {
		if t != gone {
			kept = append(kept, t)
		}
	}
	s.ejected = kept
}

func (s *serviceState) learn(c *Candidate) {
	reported := c.Report.ServiceTime.Seconds()
	switch {
	case reported == 0:
	case s.usual == 0:
		s.usual = reported
	default:
		s.usual += (reported - s.usual) * usualGain
	}
}

func (s *serviceState) usualTime() float64 {
	if s.usual == 0 {
		return defaultServiceTime.Seconds()
	}
	return s.usual
}
