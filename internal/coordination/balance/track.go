package balance

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// latencyFall is the time constant with which the latency estimate falls.
	latencyFall = 500 * time.Millisecond
	// failThreshold is the failure score at which an instance counts as failing.
	failThreshold = 4.0
	// ejectBase is the length of a first ejection; it doubles with each repetition.
	ejectBase = 2 * time.Second
	// ejectMax bounds the length of an ejection.
	ejectMax = 60 * time.Second
	// returnRamp is the time over which a reinstated instance regains its share.
	returnRamp = 5 * time.Second
	// returnFirst is the share at the start of the ramp.
	returnFirst = 0.05
)

// track is what one entry learned about one instance.
type track struct {
	service     *serviceState
	latency     float64 // seconds, peak estimate
	latencyAt   time.Time
	failures    float64
	sinceReport int // own requests sent since the last response
	ejections   int
	until       time.Time // end of the ejection, zero when never ejected
}

func (t *track) sent(_ time.Time, _ int) { t.sinceReport++ }

func (t *track) observe(now time.Time, outcome Outcome) {
	t.sinceReport = 0
	switch outcome.Result {
	case ResultSuccess:
		t.failures *= 0.5
		t.observeLatency(now, outcome.Latency.Seconds())
	case ResultError, ResultTimeout:
		t.failures++
	case ResultRefused, ResultCancelled:
	}
}

func (t *track) observeLatency(now time.Time, latency float64) {
	decayed := t.decayedLatency(now)
	t.latency = math.Max(latency, decayed)
	t.latencyAt = now
}

func (t *track) decayedLatency(now time.Time) float64 {
	return t.latency * math.Exp(-now.Sub(t.latencyAt).Seconds()/latencyFall.Seconds())
}

func (t *track) serviceTime(_ time.Time, c *Candidate) float64 {
	if c.Report.ServiceTime > 0 {
		return c.Report.ServiceTime.Seconds()
	}
	return defaultServiceTime.Seconds()
}

// load estimates the requests at the instance: the discounted report and the own
// requests sent since.
func (t *track) load(c *Candidate) float64 {
	weight := math.Exp2(-c.ReportAge.Seconds() / reportHalfLife.Seconds())
	reported := float64(c.Report.InFlight + c.Report.Queued)
	return weight*reported + float64(min(t.sinceReport, c.InFlight))
}

func (t *track) failing() bool { return t.failures >= failThreshold }

// accepts reports whether the instance may be compared now: not while ejected,
// and with a growing probability afterwards.
func (t *track) accepts(now time.Time, random *rand.Rand) bool {
	if t.until.IsZero() {
		return true
	}
	since := now.Sub(t.until)
	if since < 0 {
		return false
	}
	if since >= returnRamp {
		return true
	}
	share := returnFirst + (1-returnFirst)*since.Seconds()/returnRamp.Seconds()
	return random.Float64() < share
}

// serviceState is what one entry keeps for a service.
type serviceState struct {
	size    int // instances at the last pick
	ejected []*track
}

// eject keeps t out for a while, unless too many instances of the service are out.
func (s *serviceState) eject(now time.Time, t *track, share float64) {
	s.expire(now)
	if now.Before(t.until) || len(s.ejected) >= int(share*float64(s.size)) {
		return
	}
	length := ejectBase << min(t.ejections, 5)
	t.until = now.Add(min(length, ejectMax))
	t.ejections++
	t.failures = 0
	s.ejected = append(s.ejected, t)
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
