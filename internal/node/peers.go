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

// assumedNodes divide the retry budget while control has told no number.
const assumedNodes = 100

// reportTrust is the age up to which the state in a load report counts more than
// the state in the registry.
const reportTrust = 5 * time.Second

// peers is what this entry knows about the instances it sends to. Its methods are
// safe for concurrent use.
type peers struct {
	mu      sync.Mutex
	picker  *balance.Policy
	random  *rand.Rand
	retries map[string]*retry.Policy
	returns *overload.Returns
	// total bounds the retries of all nodes, which are nodes.
	total      budget.Total
	nodes      int
	states     map[string]*peerState
	candidates []balance.Candidate // reused by pick
	// onEject is told of each ejection of an instance.
	onEject func(instance string)
}

type peerState struct {
	startID  string
	inFlight int
	report   *wire.LoadReport
	reportAt time.Time
	ejected  bool
}

func newPeers(zone string, total budget.Total, onEject func(instance string)) *peers {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // no secret
	return &peers{
		onEject: onEject,
		random:  random,
		picker:  balance.New(balance.Config{Zone: zone}, random),
		retries: map[string]*retry.Policy{},
		returns: overload.NewReturns(),
		total:   total,
		nodes:   assumedNodes,
		states:  map[string]*peerState{},
	}
}

// pick chooses an instance and counts an attempt in flight to it. Each pick is
// followed by one done.
func (p *peers) pick(v *directory.View, service string, tried map[string]bool) (*wire.Instance, balance.Candidate, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	instances := v.Services[service]
	p.candidates = p.candidates[:0]
	for _, instance := range instances {
		p.candidates = append(p.candidates, p.candidateLocked(now, v, instance))
	}
	chosen, ok := p.picker.Pick(now, service, p.candidates, tried)
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

func (p *peers) candidateLocked(now time.Time, v *directory.View, instance *wire.Instance) balance.Candidate {
	state, known := p.states[instance.GetId()]
	if !known || state.startID != instance.GetStartId() {
		inFlight := 0
		if known {
			inFlight = state.inFlight
		}
		state = &peerState{startID: instance.GetStartId(), inFlight: inFlight}
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
	if state.report != nil {
		candidate.Report = balance.FromWire(state.report)
		candidate.ReportAge = now.Sub(state.reportAt)
		if candidate.ReportAge < reportTrust && candidate.State != balance.StateLeaving {
			candidate.State = balance.StateFromWire(state.report.GetState())
		}
	}
	if v.Doc.Zones[instance.GetZone()].State == document.ZoneOut {
		candidate.State = balance.StateZoneOut
	}
	return candidate
}

// sample returns candidates that are worth asking for a quote; see balance.Policy.Sample.
func (p *peers) sample(v *directory.View, service string, tried map[string]bool, home int) []asked {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	instances := v.Services[service]
	p.candidates = p.candidates[:0]
	for _, instance := range instances {
		p.candidates = append(p.candidates, p.candidateLocked(now, v, instance))
	}
	indexes := p.picker.Sample(now, service, p.candidates, tried, quoteCount, home)
	sample := make([]asked, 0, len(indexes))
	for _, i := range indexes {
		sample = append(sample, asked{instance: instances[i], candidate: p.candidates[i]})
	}
	return sample
}

// commit counts an attempt in flight to a candidate of a sample. It is followed by one
// done.
func (p *peers) commit(chosen *asked) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.picker.Chosen(&chosen.candidate)
	if state, known := p.states[chosen.candidate.ID]; known {
		state.inFlight++
	}
}

// done ends an attempt. The load is nil when the attempt brought none.
func (p *peers) done(instance *wire.Instance, outcome balance.Outcome, load *wire.LoadReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.picker.Observe(now, instance.GetId(), outcome)
	state, known := p.states[instance.GetId()]
	if !known {
		return
	}
	state.inFlight--
	ejected := p.picker.Ejected(now, instance.GetId())
	if ejected && !state.ejected {
		p.onEject(instance.GetId())
	}
	state.ejected = ejected
	if load != nil && state.startID == instance.GetStartId() {
		state.report, state.reportAt = load, now
	}
}

// sweep drops what is known of instances that are gone from the registry.
func (p *peers) sweep(v *directory.View) {
	listed := map[string]bool{}
	for _, instances := range v.Services {
		for _, instance := range instances {
			listed[instance.GetId()] = true
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.returns.Keep(func(route string) bool {
		_, kept := v.Doc.Routes[route]
		return kept
	})
	for id, state := range p.states {
		if !listed[id] && state.inFlight == 0 {
			delete(p.states, id)
			p.picker.Forget(id)
		}
	}
}

// setNodes takes the number of nodes that control knows of.
func (p *peers) setNodes(nodes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if nodes <= 0 || nodes == p.nodes {
		return
	}
	p.nodes = nodes
	for _, policy := range p.retries {
		policy.SetNodes(nodes)
	}
}

func (p *peers) retryLocked(service string, limits document.Limits) *retry.Policy {
	policy, ok := p.retries[service]
	if !ok {
		policy = retry.New(time.Now(), retry.Config{Total: p.total, Nodes: p.nodes})
		p.retries[service] = policy
	}
	policy.SetShares(limits.RetryShare, limits.HedgeShare)
	return policy
}

// firstAttempt earns budget for retries and hedges. It returns the time after which
// the attempt may be hedged, 0 when hedging is not possible yet.
func (p *peers) firstAttempt(service string, limits document.Limits) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	policy := p.retryLocked(service, limits)
	policy.FirstAttempt(time.Now())
	delay, _ := policy.HedgeDelay()
	return delay
}

func (p *peers) decideRetry(service string, limits document.Limits, failure retry.Failure) retry.Verdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retryLocked(service, limits).Decide(time.Now(), failure)
}

// heardSince reports whether the upstream has answered this entry after since.
func (p *peers) heardSince(instance string, since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.picker.HeardSince(instance, since)
}

func (p *peers) mayHedge(service string, limits document.Limits, waited time.Duration, candidate *balance.Candidate) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retryLocked(service, limits).Hedge(time.Now(), true, waited, candidate)
}

// returnAfter returns when a refused caller should come back.
func (p *peers) returnAfter(wait time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return overload.ReturnAfter(p.random, wait)
}

// returnAfterOverload returns when a caller should come back that has the time left.
func (p *peers) returnAfterOverload(left time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return overload.ReturnAfterOverload(p.random, left)
}

// hasReturned reports whether a caller of the route that states the time left has come
// back after a refusal.
func (p *peers) hasReturned(route string, left time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.returns.Observe(time.Now(), route, left)
}

func (p *peers) observeLatency(service string, latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if policy, ok := p.retries[service]; ok {
		policy.ObserveLatency(latency)
	}
}
