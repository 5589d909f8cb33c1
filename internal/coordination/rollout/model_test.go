package rollout

import (
	"math/rand/v2"
	"slices"

	"github.com/chicorylever/chicorylever/internal/state/document"
)

const (
	modelStepMs      = 10
	heartbeatMs      = 500 // interval of the nodes' evidence during a rollout
	commitMs         = 50  // from a heartbeat to its command in the log
	distributionMs   = 150 // from a step to its effect at the entries
	leaderIntervalMs = 100
	instanceRate     = 10 // requests per second and instance
	versionOld       = "v1"
	versionNew       = "v2"
)

// scenario is a rollout in the model.
type scenario struct {
	instances  int
	durationMs int64
	load       string // calm, burst or evacuation
	pattern    string // good, at once, later, under load, one route, slow at once or slow later
	seed       uint64
}

// outcome is what the model measured.
type outcome struct {
	rollout document.Rollout
	endMs   int64
	// requests and exposed count all requests and those to the target version, from the start
	// to the deadline.
	requests, exposed int
	// lastAfterBadMs is the time from the 50th bad response of the target version to its last
	// request, 0 if it had fewer bad ones.
	lastAfterBadMs int64
}

// instance is a node with its upstream. Another workload slows it down for 300 ms at a time, a
// quarter of the time.
type instance struct {
	version   string
	out       bool
	phase     int // of its heartbeats
	slow      bool
	recent    int // requests in this second
	perSecond int // requests in the last second
	totals    map[string]*document.RolloutCounts
}

// response is one that an instance is about to give.
type response struct {
	atMs   int64
	route  string
	failed bool
	ms     float64
	from   *instance
}

// model sends requests to a service during a rollout, without a network or clock.
type model struct {
	scenario
	random    *rand.Rand
	instances []*instance
	pending   []response
	rollout   document.Rollout
	progress  document.RolloutProgress
	steps     []struct {
		atMs    int64
		rollout document.Rollout
	}
	known    document.Rollout // rollout that the entries know
	bad      int
	fiftieth int64
	outcome  outcome
}

func run(s scenario) outcome {
	m := &model{scenario: s, random: rand.New(rand.NewPCG(s.seed, 7))}
	for i := range 2 * s.instances {
		version := versionOld
		if i >= s.instances {
			version = versionNew
		}
		m.instances = append(m.instances, &instance{version: version, phase: m.random.IntN(heartbeatMs), totals: map[string]*document.RolloutCounts{}})
	}
	m.rollout = document.Rollout{TargetVersion: versionNew, DurationMs: s.durationMs, State: document.RolloutRunning, Phase: document.RolloutCanary, StartedRevision: 1}
	m.known = m.rollout
	m.progress = document.RolloutProgress{Terms: document.RolloutTerms{SharePermille: 100, Slack: 50}, StepRevision: 1}
	for now := int64(0); now < 2*s.durationMs+15_000; now += modelStepMs {
		m.step(now)
		if m.rollout.State != document.RolloutRunning && now > m.outcome.endMs+1000 && now >= s.durationMs {
			break
		}
	}
	m.outcome.rollout = m.rollout
	return m.outcome
}

func (m *model) step(now int64) {
	for len(m.steps) > 0 && m.steps[0].atMs <= now {
		m.known, m.steps = m.steps[0].rollout, m.steps[1:]
	}
	m.changeInstances(now)
	m.respond(now)
	expected := m.rate(now) * modelStepMs / 1000
	for count := int(expected + m.random.Float64()); count > 0; count-- {
		m.request(now)
	}
	m.heartbeats(now)
	if now%leaderIntervalMs == 0 {
		m.lead(now)
	}
}

// rate returns the requests per second: 2.5 times as many in a burst of 6 s.
func (m *model) rate(now int64) float64 {
	rate := float64(instanceRate * m.scenario.instances)
	if start := m.durationMs / 3; m.load == "burst" && now >= start && now < start+6000 {
		rate *= 2.5
	}
	return rate
}

// changeInstances updates noise and rates, and takes a third of the instances out for the
// middle third of the duration in an evacuation.
func (m *model) changeInstances(now int64) {
	for i, instance := range m.instances {
		if now%300 == 0 {
			instance.slow = m.random.IntN(4) == 0
		}
		if now%1000 == 0 {
			instance.perSecond, instance.recent = instance.recent, 0
		}
		third := m.durationMs / 3
		instance.out = m.load == "evacuation" && i%3 == 0 && now >= third && now < 2*third
	}
}

// request sends a first attempt to the version that the entry draws.
func (m *model) request(now int64) {
	route := "frequent"
	if m.random.IntN(4) == 0 {
		route = "rare"
	}
	version := versionOld
	if m.known.State != document.RolloutRolledBack && m.random.IntN(1000) < m.known.SharePermille {
		version = versionNew
	}
	m.attempt(now, version, route)
}

func (m *model) attempt(now int64, version, route string) {
	from := m.pick(version)
	from.recent++
	if now < m.durationMs {
		m.outcome.requests++
		if version == versionNew {
			m.outcome.exposed++
		}
	}
	if version == versionNew && m.fiftieth > 0 {
		m.outcome.lastAfterBadMs = now - m.fiftieth
	}
	ms := 15 + 20*m.random.ExpFloat64()
	if from.slow {
		ms *= 4
	}
	bad := version == versionNew && m.isBad(now, from, route)
	slowPattern := m.pattern == "slow at once" || m.pattern == "slow later"
	if bad && slowPattern {
		ms *= 4
	}
	failed := bad && !slowPattern || m.random.IntN(1000) == 0
	if bad {
		m.bad++
		if m.bad == 50 {
			m.fiftieth = now
		}
	}
	m.pending = append(m.pending, response{now + int64(ms), route, failed, ms, from})
}

func (m *model) pick(version string) *instance {
	for {
		i := m.random.IntN(m.scenario.instances)
		if version == versionNew {
			i += m.scenario.instances
		}
		if !m.instances[i].out {
			return m.instances[i]
		}
	}
}

// isBad reports whether a response of the target version is bad.
func (m *model) isBad(now int64, from *instance, route string) bool {
	likely := m.random.IntN(10) < 4
	switch m.pattern {
	case "at once", "slow at once":
		return likely
	case "later", "slow later":
		return likely && now > m.durationMs/2
	case "under load":
		return likely && from.perSecond+from.recent > 4
	case "one route":
		return likely && route == "rare"
	}
	return false
}

// respond counts the responses that are due. A failed request is sent again to the old version.
func (m *model) respond(now int64) {
	m.pending = slices.DeleteFunc(m.pending, func(r response) bool {
		if r.atMs > now {
			return false
		}
		counts := r.from.totals[r.route]
		if counts == nil {
			counts = &document.RolloutCounts{Latency: make([]uint64, 16)}
			r.from.totals[r.route] = counts
		}
		if r.failed {
			counts.Failed++
			return true
		}
		counts.Succeeded++
		bucket := 0
		for limit := 1.0; r.ms >= limit; limit *= 2 {
			bucket++
		}
		counts.Latency[min(bucket, 15)]++
		return true
	})
}

// heartbeats reports the totals of the nodes whose heartbeat is due. Their commands carry no
// elapsed time, like those of a member that does not lead.
func (m *model) heartbeats(now int64) {
	for i, instance := range m.instances {
		if (now+int64(instance.phase/modelStepMs*modelStepMs))%heartbeatMs != commitMs {
			continue
		}
		var evidence []document.RolloutEvidence
		for route, counts := range instance.totals {
			copied := *counts
			copied.Latency = slices.Clone(counts.Latency)
			evidence = append(evidence, document.RolloutEvidence{NodeID: string(rune('a' + i)), Version: instance.version, Route: route, RolloutCounts: copied})
		}
		m.progress = m.progress.WithEvidence(evidence)
	}
}

// lead advances the rollout as the leader does.
func (m *model) lead(now int64) {
	facts := document.RolloutFacts{StepRevision: m.progress.StepRevision, Nodes: 2 * m.scenario.instances, OtherInstances: m.scenario.instances}
	if now >= 1000 {
		facts.TargetInstances = m.scenario.instances
	}
	if now < m.progress.StepMs+distributionMs {
		facts.Lagging = 1
	}
	if m.rollout.State != document.RolloutRunning {
		return
	}
	next, progress := Advance(m.rollout, m.progress.Advanced(document.RolloutAdvance{ElapsedMs: now, Facts: &facts}))
	if next != m.rollout {
		progress.StepRevision++
		progress.StepMs = now
		m.steps = append(m.steps, struct {
			atMs    int64
			rollout document.Rollout
		}{now + distributionMs, next})
		if next.State != document.RolloutRunning {
			m.outcome.endMs = now
		}
	}
	m.rollout, m.progress = next, progress
}
