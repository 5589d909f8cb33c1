package balance

import (
	"math"
	"time"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

const (
	// loadMemory is the time constant with which a reported load loses weight. It is
	// below the service time of 5 ms, after which most of the reported requests have
	// ended. With 20 ms, p99 at 80 % load with late reports rose by 0.7 ms.
	loadMemory = 3500 * time.Microsecond
	// slowMemory is the time constant with which a slow instance is forgiven. With
	// 0.2 s, p99.9 beside an instance ten times slower rose from 42 to 59 ms.
	slowMemory = time.Second
	// slowRatio times the usual service time is the shortest that counts as slow.
	// Differences below it are mostly chance and refused 0.03 % more at 50 to 95 % load.
	slowRatio = 1.5
	// refusalMemory is the time constant with which refusals lose weight.
	refusalMemory = 20 * time.Millisecond
	// errorMemory is the time constant with which errors lose weight.
	errorMemory = 2 * time.Second
	// closedFor is how long a refusal because of leaving or a zone keeps the instance
	// out until the registry or the document says so.
	closedFor = 500 * time.Millisecond
)

// Weights of one sample in the moving averages.
const (
	loadGain   = 0.02
	ownGain    = 0.02
	usualGain  = 0.02
	excessGain = 1.0 / 16
	errorGain  = 1.0 / 8
)

// average is a moving average that loses weight while there are no samples.
type average struct {
	value float64
	at    time.Time
}

func (a *average) add(now time.Time, sample, gain float64) {
	a.value += (sample - a.value) * gain
	a.at = now
}

func (a *average) weighted(now time.Time, memory time.Duration) float64 {
	if a.value <= 0 {
		return 0
	}
	return a.value * decay(now.Sub(a.at), memory)
}

// track is what one entry learned about one instance. Times are in seconds.
type track struct {
	service *serviceState
	// sinceReport counts own requests sent since the last response.
	sinceReport int
	// meanLoad and meanOwn are averages of the reported load and of the entry's own
	// requests in flight.
	meanLoad float64
	meanOwn  float64
	// expected is the latency without queueing as of the last comparison; excess is
	// what responses took beyond it. It shows a slow path or a misleading report.
	expected float64
	excess   average
	// refusals decay within refusalMemory.
	refusals    average
	errors      average
	closedUntil time.Time
	// closedRevision is that of the configuration which closed the instance, 0 when
	// something else did. From it on, the candidate's state tells whether it is open.
	closedRevision uint64
	heardAt        time.Time // last response of the upstream itself, not a refusal
	ejection
}

func (t *track) sent(c *Candidate) {
	t.sinceReport++
	t.meanLoad += (float64(c.Report.InFlight+c.Report.Queued) - t.meanLoad) * loadGain
	t.service.learn(c)
}

func (t *track) observe(now time.Time, outcome Outcome) {
	if outcome.Result == ResultCancelled {
		t.sinceReport = max(0, t.sinceReport-1)
		return
	}
	t.sinceReport = 0
	if outcome.Result == ResultSuccess || outcome.Result == ResultError {
		t.heardAt = now
	}
	switch outcome.Result {
	case ResultSuccess:
		t.succeed(now, outcome.Latency.Seconds())
	case ResultError, ResultTimeout:
		t.fail(now)
	case ResultRefused:
		t.refuse(now, outcome)
	default:
	}
}

func (t *track) succeed(now time.Time, latency float64) {
	t.excess.add(now, latency-t.expected, excessGain)
	t.errors.add(now, 0, errorGain)
	t.failures *= successCredit
}

func (t *track) fail(now time.Time) {
	t.errors.add(now, 1, errorGain)
	t.failures++
}

// refuse records a refusal. One because of a refused connection is a failure of the
// upstream; the entry would otherwise take it for spare capacity.
func (t *track) refuse(now time.Time, outcome Outcome) {
	t.refusals = average{value: t.pressureAt(now) + 1, at: now}
	switch outcome.Reason {
	case wire.RefusalReason_REFUSAL_CONNECT:
		t.fail(now)
	case wire.RefusalReason_REFUSAL_ZONE_OUT:
		t.closedUntil, t.closedRevision = now.Add(closedFor), outcome.Revision
	case wire.RefusalReason_REFUSAL_LEAVING,
		wire.RefusalReason_REFUSAL_STOPPING,
		wire.RefusalReason_REFUSAL_NO_UPSTREAM,
		wire.RefusalReason_REFUSAL_WRONG_INSTANCE:
		t.closedUntil, t.closedRevision = now.Add(closedFor), 0
	default:
	}
}

// closed reports whether a refusal keeps the candidate out.
func (t *track) closed(now time.Time, c *Candidate) bool {
	if t.closedRevision != 0 && c.Revision >= t.closedRevision {
		return false
	}
	return now.Before(t.closedUntil)
}

func (t *track) pressureAt(now time.Time) float64 {
	return t.refusals.weighted(now, refusalMemory)
}

func (t *track) excessAt(now time.Time) float64 {
	return t.excess.weighted(now, slowMemory)
}

func (t *track) errorRate(now time.Time) float64 {
	return t.errors.weighted(now, errorMemory)
}

// serviceTime returns the service time expected of the instance: the usual one of the
// service, or the reported one when that is clearly longer. The difference loses
// weight as the report ages, so that an instance that was slow is tried again.
func (t *track) serviceTime(c *Candidate) float64 {
	usual := t.service.usualTime()
	excess := c.Report.ServiceTime.Seconds() - slowRatio*usual
	if excess <= 0 {
		return usual
	}
	return usual + excess*decay(c.ReportAge, slowMemory)
}

// load estimates the requests at the instance. A new report counts with the own
// requests sent since; as it ages, the usual load takes its place, corrected by how
// many more own requests than usual are in flight. The own requests are exact.
func (t *track) load(c *Candidate) float64 {
	own := float64(c.InFlight)
	reported := float64(c.Report.InFlight + c.Report.Queued + min(t.sinceReport, c.InFlight))
	usual := t.meanLoad + own - t.meanOwn
	t.meanOwn += (own - t.meanOwn) * ownGain
	weight := decay(c.ReportAge, loadMemory)
	return math.Max(own, weight*reported+(1-weight)*usual)
}
