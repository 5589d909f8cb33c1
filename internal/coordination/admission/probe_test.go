package admission_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/coordination/admission"
)

// reportedSpeed is what the node beside an upstream knows of its speed.
type reportedSpeed struct {
	slowdown float64
	at       time.Time
	probedAt time.Time
	watching bool
}

// minProbeInterval is that of a budget of 40 probes per second.
const minProbeInterval = 25 * time.Millisecond

// learn applies the load report of a response.
func (b *burstSimulation) learn(u *burstUpstream) {
	if b.load.needsProbe == nil {
		return
	}
	u.reported.slowdown, u.reported.at = b.currentSlowdown(u), b.now
	b.handleEvents(u, u.machine.SetSlowdown(b.now, u.reported.slowdown))
}

// look probes the upstream before a quote if the rule asks for it.
func (b *burstSimulation) look(u *burstUpstream) {
	if b.load.needsProbe == nil {
		return
	}
	report := u.machine.Report()
	facts := admission.LoadFacts{
		Age: b.now.Sub(u.reported.at), Slowdown: u.reported.slowdown,
		Running: int(report.GetInFlight()), Limit: int(report.GetLimit()),
	}
	if b.load.needsProbe(facts) {
		b.probe(u)
	}
}

func (b *burstSimulation) probe(u *burstUpstream) {
	if b.now.Sub(u.reported.probedAt) < minProbeInterval {
		return
	}
	u.reported.probedAt = b.now
	b.result.probes++
	b.learn(u)
}

// watch probes a slow upstream while requests are queued for it.
func (b *burstSimulation) watch(u *burstUpstream) {
	if b.load.needsProbe == nil || u.reported.watching || u.reported.slowdown <= 1 {
		return
	}
	u.reported.watching = true
	b.after(minProbeInterval, func() { b.probeWhileSlow(u) })
}

func (b *burstSimulation) probeWhileSlow(u *burstUpstream) {
	b.probe(u)
	u.reported.watching = false
	if u.machine.Report().GetQueued() > 0 {
		b.watch(u)
	}
}

func (b *burstSimulation) knownSlowdown(u *burstUpstream) float64 {
	if b.load.needsProbe == nil {
		return b.currentSlowdown(u)
	}
	return u.reported.slowdown
}

// probesAlways is the rule without regard to load and speed: a report older than 40 ms is
// replaced.
func probesAlways(facts admission.LoadFacts) bool { return facts.Age >= 40*time.Millisecond }

func (r *burstResult) add(other burstResult) {
	r.requests += other.requests
	r.inTime += other.inTime
	r.probes += other.probes
}

// TestNeedsProbe guards against probes that change nothing, each of which costs the upstream
// as much as a small request, and against saving probes at the cost of requests that start at
// upstreams which have become slow.
func TestNeedsProbe(t *testing.T) {
	const (
		length = 16 * time.Second
		// maxLost is the share of the requests that may miss their objective for it.
		maxLost = 0.01
	)
	for _, perSecond := range []float64{3, 10.5, 18} {
		var always, needed burstResult
		for _, upstreams := range []int{22, 39, 94} {
			load := usualBurst(true)
			load.upstreams, load.length, load.start, load.end = upstreams, length, time.Second, length
			load.perSecond = func(time.Duration) float64 { return perSecond * float64(upstreams) }
			load.needsProbe = probesAlways
			before := simulateBurst(1, load).result
			load.needsProbe = admission.NeedsProbe
			after := simulateBurst(1, load).result
			t.Logf("%d upstreams, %v requests a second each: %.2f probes for each request, %.2f always; in time %.3f, %.3f; served %.3f, %.3f",
				upstreams, perSecond, after.probesPerRequest(), before.probesPerRequest(), after.inTimeShare(), before.inTimeShare(), after.servedShare(), before.servedShare())
			always.add(before)
			needed.add(after)
		}
		assert.Check(t, needed.probes < always.probes)
		assert.Check(t, needed.inTimeShare() >= always.inTimeShare()-maxLost, "%.3f in time, %.3f", needed.inTimeShare(), always.inTimeShare())
	}
}
