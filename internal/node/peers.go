package node

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/chicorylever/chicorylever/internal/coordination/balance"
	"github.com/chicorylever/chicorylever/internal/coordination/budget"
	"github.com/chicorylever/chicorylever/internal/coordination/overload"
	"github.com/chicorylever/chicorylever/internal/coordination/retry"
	"github.com/chicorylever/chicorylever/internal/node/directory"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

// defaultNodeCount divide the retry budget while control has told no number.
const defaultNodeCount = 100

// maxReportAge is the age up to which the state in a load report counts more than
// the state in the registry.
const maxReportAge = 5 * time.Second

// balancer is what this entry knows about the instances it sends to. Its methods are
// safe for concurrent use.
type balancer struct {
	mu            sync.Mutex
	policy        *balance.Policy
	random        *rand.Rand
	retryPolicies map[string]*retry.Policy
	callerRetries *overload.Returns
	// retryBudget bounds the retries of all nodes, which are nodes.
	retryBudget budget.Total
	nodeCount   int
	states      map[string]*instanceState
	candidates  []balance.Candidate // reused by pick
	// onEject is told of each ejection of an instance.
	onEject func(instance string)
}

type instanceState struct {
	startID      string
	inFlight     int
	loadReport   *wire.LoadReport
	loadReportAt time.Time
	ejected      bool
}

func newBalancer(zone string, total budget.Total, onEject func(instance string)) *balancer {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // no secret
	return &balancer{
		onEject:       onEject,
		random:        random,
		policy:        balance.New(balance.Config{Zone: zone}, random),
		retryPolicies: map[string]*retry.Policy{},
		callerRetries: overload.NewReturns(),
		retryBudget:   total,
		nodeCount:     defaultNodeCount,
		states:        map[string]*instanceState{},
	}
}

// pickInstance chooses an instance and counts an attempt in flight to it. Each pickInstance is
// followed by one done.
func (p *balancer) pickInstance(v *directory.View, service string, tried map[string]bool) (*wire.Instance, balance.Candidate, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	instances := v.Services[service]
	p.candidates = p.candidates[:0]
	for _, instance := range instances {
		p.candidates = append(p.candidates, p.candidateLocked(now, v, instance))
	}
	chosen, ok := p.policy.Pick(now, service, p.candidates, tried)
	if !ok {
		return nil, chosen, false
	}
	p.states[chosen.ID].inFlight++
	for _, instance := range instances {
		if instance.GetId() == chosen.ID {
			return instance, chosen, true
		}
	}
	return nil, chosen, false
}

func (p *balancer) candidateLocked(now time.Time, v *directory.View, instance *wire.Instance) balance.Candidate {
	state, known := p.states[instance.GetId()]
	if !known || state.startID != instance.GetStartId() {
		inFlight := 0
		if known {
			inFlight = state.inFlight
		}
		state = &instanceState{startID: instance.GetStartId(), inFlight: inFlight}
		p.states[instance.GetId()] = state
	}
	candidate := balance.Candidate{
		ID:       instance.GetId(),
		Zone:     instance.GetZone(),
		Slots:    int(instance.GetSlots()),
		InFlight: state.inFlight,
		State:    balance.StateFromWire(instance.GetState()),
		Revision: v.Revision,
	}
	if state.loadReport != nil {
		candidate.Report = balance.FromWire(state.loadReport)
		candidate.ReportAge = now.Sub(state.loadReportAt)
		if candidate.ReportAge < maxReportAge && candidate.State != balance.StateLeaving {
			candidate.State = balance.StateFromWire(state.loadReport.GetState())
		}
	}
	if v.Doc.Zones[instance.GetZone()].State == document.ZoneOut {
		candidate.State = balance.StateZoneOut
	}
	return candidate
}

// sampleCandidates returns candidates that are worth asking for a quote; see balance.Policy.Sample.
func (p *balancer) sampleCandidates(v *directory.View, service string, tried map[string]bool, sameZoneCount int) []quoteCandidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	instances := v.Services[service]
	p.candidates = p.candidates[:0]
	for _, instance := range instances {
		p.candidates = append(p.candidates, p.candidateLocked(now, v, instance))
	}
	indexes := p.policy.Sample(now, service, p.candidates, tried, quoteSampleSize, sameZoneCount)
	sample := make([]quoteCandidate, 0, len(indexes))
	for _, i := range indexes {
		sample = append(sample, quoteCandidate{instance: instances[i], candidate: p.candidates[i]})
	}
	return sample
}

// startAttempt counts an attempt in flight to a candidate of a sample. It is followed by one
// done.
func (p *balancer) startAttempt(chosen *quoteCandidate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.policy.Chosen(&chosen.candidate)
	if state, known := p.states[chosen.candidate.ID]; known {
		state.inFlight++
	}
}

// endAttempt ends an attempt. The load is nil when the attempt brought none.
func (p *balancer) endAttempt(instance *wire.Instance, outcome balance.Outcome, load *wire.LoadReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.policy.Observe(now, instance.GetId(), outcome)
	state, known := p.states[instance.GetId()]
	if !known {
		return
	}
	state.inFlight--
	ejected := p.policy.Ejected(now, instance.GetId())
	if ejected && !state.ejected {
		p.onEject(instance.GetId())
	}
	state.ejected = ejected
	if load != nil && state.startID == instance.GetStartId() {
		state.loadReport, state.loadReportAt = load, now
	}
}

// forgetUnlisted drops what is known of instances that are gone from the registry.
func (p *balancer) forgetUnlisted(v *directory.View) {
	listed := map[string]bool{}
	for _, instances := range v.Services {
		for _, instance := range instances {
			listed[instance.GetId()] = true
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.callerRetries.Keep(func(route string) bool {
		_, kept := v.Doc.Routes[route]
		return kept
	})
	for id, state := range p.states {
		if !listed[id] && state.inFlight == 0 {
			delete(p.states, id)
			p.policy.Forget(id)
		}
	}
}

// setNodeCount takes the number of nodes that control knows of.
func (p *balancer) setNodeCount(nodes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if nodes <= 0 || nodes == p.nodeCount {
		return
	}
	p.nodeCount = nodes
	for _, policy := range p.retryPolicies {
		policy.SetNodes(nodes)
	}
}

func (p *balancer) retryPolicyLocked(service string, limits document.Limits) *retry.Policy {
	policy, ok := p.retryPolicies[service]
	if !ok {
		policy = retry.New(time.Now(), retry.Config{Total: p.retryBudget, Nodes: p.nodeCount})
		p.retryPolicies[service] = policy
	}
	policy.SetShares(limits.RetryShare, limits.HedgeShare)
	return policy
}

// recordFirstAttempt earns budget for retries and hedges. It returns the time after which
// the attempt may be hedged, 0 when hedging is not possible yet.
func (p *balancer) recordFirstAttempt(service string, limits document.Limits) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	policy := p.retryPolicyLocked(service, limits)
	policy.FirstAttempt(time.Now())
	delay, _ := policy.HedgeDelay()
	return delay
}

func (p *balancer) decideRetry(service string, limits document.Limits, failure retry.Failure) retry.Verdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retryPolicyLocked(service, limits).Decide(time.Now(), failure)
}

// hasRespondedSince reports whether the upstream has answered this entry after since.
func (p *balancer) hasRespondedSince(instance string, since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.policy.HeardSince(instance, since)
}

func (p *balancer) takeHedge(service string, limits document.Limits, waited time.Duration, candidate *balance.Candidate) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retryPolicyLocked(service, limits).Hedge(time.Now(), true, waited, candidate)
}

// retryAfter returns when a refused caller should come back.
func (p *balancer) retryAfter(wait time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return overload.ReturnAfter(p.random, wait)
}

// retryAfterOverload returns when a caller should come back that has the time left.
func (p *balancer) retryAfterOverload(remaining time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return overload.ReturnAfterOverload(p.random, remaining)
}

// isCallerRetry reports whether a caller of the route that states the time left has come
// back after a refusal.
func (p *balancer) isCallerRetry(route string, remaining time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.callerRetries.Observe(time.Now(), route, remaining)
}

func (p *balancer) observeLatency(service string, latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if policy, ok := p.retryPolicies[service]; ok {
		policy.ObserveLatency(latency)
	}
}
