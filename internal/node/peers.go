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

// defaultNodeCount is the number of nodes among which the retry budget is divided until
// control has reported their number.
const defaultNodeCount = 100

// maxReportAge is the age up to which the state in a load report takes precedence over
// the state in the registry.
const maxReportAge = 5 * time.Second

// balancer holds what this entry node knows about the instances, and the policies by
// which it balances, retries and hedges. Its methods are safe for concurrent use.
type balancer struct {
	mu            sync.Mutex
	policy        *balance.Policy
	random        *rand.Rand
	retryPolicies map[string]*retry.Policy
	callerRetries *overload.RetryDetector
	// clusterRetryLimit bounds the retries and hedges of all nodes together; nodeCount is
	// their number.
	clusterRetryLimit budget.Limit
	nodeCount         int
	states            map[string]*instanceState
	candidates        []balance.Candidate // reused by each selection
	// onEject is called on each ejection of an instance.
	onEject func(instance string)
}

type instanceState struct {
	startID      string
	inFlight     int
	loadReport   *wire.LoadReport
	loadReportAt time.Time
	ejected      bool
}

func newBalancer(zone string, clusterLimit budget.Limit, onEject func(instance string)) *balancer {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // not used for security
	return &balancer{
		onEject:           onEject,
		random:            random,
		policy:            balance.New(balance.Config{Zone: zone}, random),
		retryPolicies:     map[string]*retry.Policy{},
		callerRetries:     overload.NewRetryDetector(),
		clusterRetryLimit: clusterLimit,
		nodeCount:         defaultNodeCount,
		states:            map[string]*instanceState{},
	}
}

// pickInstance chooses an instance and counts an attempt in flight to it. Each chosen
// instance needs one call of endAttempt.
func (b *balancer) pickInstance(v *directory.View, service string, tried map[string]bool, selection versionSelection) (*wire.Instance, balance.Candidate, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	instances := v.Services[service]
	b.setCandidatesLocked(now, v, instances, selection)
	chosen, ok := b.policy.Pick(now, service, b.candidates, tried)
	if !ok {
		return nil, chosen, false
	}
	b.states[chosen.ID].inFlight++
	for _, instance := range instances {
		if instance.GetId() == chosen.ID {
			return instance, chosen, true
		}
	}
	return nil, chosen, false
}

// setCandidatesLocked sets b.candidates to those of the instances, in the same order. An
// instance of a version that is not selected remains in the list, since the balancing policy
// bounds the ejected instances by the number of all.
func (b *balancer) setCandidatesLocked(now time.Time, v *directory.View, instances []*wire.Instance, selection versionSelection) {
	b.candidates = b.candidates[:0]
	for _, instance := range instances {
		candidate := b.candidateLocked(now, v, instance)
		if !selection.admits(instance) {
			candidate.State = balance.StateVersionOut
		}
		b.candidates = append(b.candidates, candidate)
	}
}

func (b *balancer) candidateLocked(now time.Time, v *directory.View, instance *wire.Instance) balance.Candidate {
	state, known := b.states[instance.GetId()]
	if !known || state.startID != instance.GetStartId() {
		inFlight := 0
		if known {
			inFlight = state.inFlight
		}
		state = &instanceState{startID: instance.GetStartId(), inFlight: inFlight}
		b.states[instance.GetId()] = state
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
		candidate.Report = balance.LoadReportFromWire(state.loadReport)
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

// sampleCandidates returns the candidates to ask for a quote; see
// balance.Policy.SampleForQuotes.
func (b *balancer) sampleCandidates(v *directory.View, service string, tried map[string]bool, selection versionSelection, sameZoneCount int) []quoteCandidate {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	instances := v.Services[service]
	b.setCandidatesLocked(now, v, instances, selection)
	indexes := b.policy.SampleForQuotes(now, service, b.candidates, tried, quoteSampleSize, sameZoneCount)
	sample := make([]quoteCandidate, 0, len(indexes))
	for _, i := range indexes {
		sample = append(sample, quoteCandidate{instance: instances[i], candidate: b.candidates[i]})
	}
	return sample
}

// describeCandidates returns all instances of the service as candidates. Unlike a selection it
// changes no state.
func (b *balancer) describeCandidates(v *directory.View, service string) []quoteCandidate {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var described []quoteCandidate
	for _, instance := range v.Services[service] {
		state, known := b.states[instance.GetId()]
		candidate := b.candidateLocked(now, v, instance)
		if !known {
			delete(b.states, instance.GetId())
		} else {
			b.states[instance.GetId()] = state
		}
		described = append(described, quoteCandidate{instance: instance, candidate: candidate})
	}
	return described
}

// isEjected reports whether this entry node has ejected the instance at the moment.
func (b *balancer) isEjected(now time.Time, instance string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.policy.Ejected(now, instance)
}

// startAttempt counts an attempt in flight to a sampled candidate. Each call needs one
// call of endAttempt.
func (b *balancer) startAttempt(chosen *quoteCandidate) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.policy.RecordSent(&chosen.candidate)
	if state, known := b.states[chosen.candidate.ID]; known {
		state.inFlight++
	}
}

// endAttempt records the outcome of an attempt. load is nil when the attempt returned no
// load report.
func (b *balancer) endAttempt(instance *wire.Instance, outcome balance.Outcome, load *wire.LoadReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.policy.Observe(now, instance.GetId(), outcome)
	state, known := b.states[instance.GetId()]
	if !known {
		return
	}
	state.inFlight--
	ejected := b.policy.Ejected(now, instance.GetId())
	if ejected && !state.ejected {
		b.onEject(instance.GetId())
	}
	state.ejected = ejected
	if load != nil && state.startID == instance.GetStartId() {
		state.loadReport, state.loadReportAt = load, now
	}
}

// removeUnlisted removes the state of routes and instances that are no longer in the
// configuration or the registry.
func (b *balancer) removeUnlisted(v *directory.View) {
	listed := map[string]bool{}
	for _, instances := range v.Services {
		for _, instance := range instances {
			listed[instance.GetId()] = true
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.callerRetries.Keep(func(route string) bool {
		_, kept := v.Doc.Routes[route]
		return kept
	})
	for id, state := range b.states {
		if !listed[id] && state.inFlight == 0 {
			delete(b.states, id)
			b.policy.RemoveInstance(id)
		}
	}
}

// setNodeCount sets the number of nodes that control reports.
func (b *balancer) setNodeCount(nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if nodes <= 0 || nodes == b.nodeCount {
		return
	}
	b.nodeCount = nodes
	for _, policy := range b.retryPolicies {
		policy.SetNodes(nodes)
	}
}

func (b *balancer) retryPolicyLocked(service string, limits document.Limits) *retry.Policy {
	policy, ok := b.retryPolicies[service]
	if !ok {
		policy = retry.New(time.Now(), retry.Config{ClusterLimit: b.clusterRetryLimit, Nodes: b.nodeCount})
		b.retryPolicies[service] = policy
	}
	policy.SetShares(limits.RetryShare, limits.HedgeShareOrDefault())
	return policy
}

// recordFirstAttempt adds to the budgets for retries and hedges.
func (b *balancer) recordFirstAttempt(service string, limits document.Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retryPolicyLocked(service, limits).RecordFirstAttempt(time.Now())
}

// hedgeDelay returns the time after which an attempt may be hedged, 0 when hedging is off or
// not possible yet.
func (b *balancer) hedgeDelay(service string, limits document.Limits, primary retry.Primary) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	delay, _ := b.retryPolicyLocked(service, limits).HedgeDelay(primary)
	return delay
}

func (b *balancer) decideRetry(service string, limits document.Limits, failure retry.Failure) retry.Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.retryPolicyLocked(service, limits).Decide(time.Now(), failure)
}

// hasRespondedSince reports whether the instance has responded to this entry node after
// since.
func (b *balancer) hasRespondedSince(instance string, since time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.policy.HasRespondedSince(instance, since)
}

func (b *balancer) takeHedge(service string, limits document.Limits, h retry.Hedge) retry.HedgeVerdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.retryPolicyLocked(service, limits).TakeHedge(time.Now(), h)
}

// retryAfter returns the Retry-After delay of a refused caller, given the expected queue
// wait.
func (b *balancer) retryAfter(wait time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return overload.RetryDelay(b.random, wait)
}

// retryAfterOverload returns the Retry-After delay of a caller that was refused in an
// overload and has the remaining time until its deadline.
func (b *balancer) retryAfterOverload(remaining time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return overload.BusyRetryDelay(b.random, remaining)
}

// isCallerRetry reports whether a caller of the route with the remaining time until its
// deadline has probably retried after a refusal.
func (b *balancer) isCallerRetry(route string, remaining time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.callerRetries.Observe(time.Now(), route, remaining)
}

func (b *balancer) observeLatency(service string, latency time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if policy, ok := b.retryPolicies[service]; ok {
		policy.ObserveLatency(latency)
	}
}
