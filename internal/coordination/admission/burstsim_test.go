package admission_test

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/chicorylever/chicorylever/internal/coordination/admission"
	"github.com/chicorylever/chicorylever/internal/coordination/balance"
	"github.com/chicorylever/chicorylever/internal/coordination/overload"
)

// The simulated load: for some seconds more requests arrive than all upstreams can serve, on
// VMs whose speed changes several times a second. A request that starts while the
// utilization of its upstream exceeds burstHighUtilization takes longer. Refused callers
// retry twice.
const (
	burstUpstreams               = 32
	burstSlots                   = 6
	burstOwnTime                 = 160 * time.Millisecond
	burstNestedWait              = 60 * time.Millisecond // wait for nested requests
	burstHighUtilization         = 0.8
	burstHighUtilizationSlowdown = 1.7
	burstSlowShare               = 0.35 // share of the time in which a VM runs at a quarter of its speed
	burstSlowdown                = 4.0
	burstSpeedInterval           = 300 * time.Millisecond
	burstNetworkTime             = 20 * time.Millisecond  // round trip to the caller, with the hops between nodes
	burstReturnSpread            = 200 * time.Millisecond // of callers that come back after an outage
	burstReconnectTime           = 30 * time.Millisecond  // until a refused caller has reconnected
	burstObjective               = 600 * time.Millisecond
	burstDeadline                = 4 * time.Second
	burstTimeout                 = 2 * time.Second
	burstMaxRetries              = 2
	burstWarmupPerSecond         = 8.2
	burstColdSlowdown            = 2.0
	burstSampleSize              = 4
	burstMaxRefusals             = 4

	baseRequestsPerSecond  = 370.0
	burstRequestsPerSecond = 600.0
	burstStart             = 4 * time.Second
	burstEnd               = 9 * time.Second
	simulationLength       = 16 * time.Second
	// burstTarget is the share of the requests of the burst that must meet their objective.
	burstTarget = 0.6
)

type burstRequest struct {
	organisation string
	startedAt    time.Time
	retries      int // by the caller
	refusals     int // since the last retry by the caller
	tried        map[int]bool
	arrived      time.Time // at the entry node, of the latest retry by the caller
	work         time.Duration
	isLate       bool // set by the entry node for a retry by the caller
	// callsNested is set when the request makes a nested call.
	callsNested bool
}

type burstUpstream struct {
	machine  *admission.Machine
	slowdown float64
	reported reportedSpeed
	nested   admission.NestedRoom
	queued   map[admission.Ticket]*burstRequest
}

type burstEvent struct {
	at  time.Time
	run func()
}

type burstEvents []burstEvent

func (e burstEvents) Len() int           { return len(e) }
func (e burstEvents) Less(i, k int) bool { return e[i].at.Before(e[k].at) }
func (e burstEvents) Swap(i, k int)      { e[i], e[k] = e[k], e[i] }
func (e *burstEvents) Push(x any)        { *e = append(*e, x.(burstEvent)) }
func (e *burstEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// burstSimulation simulates the load. With objectives set, requests carry the objective,
// urgency and work that the entry node knows, and machines learn the speed of their upstream.
type burstSimulation struct {
	random         *rand.Rand
	startedAt      time.Time
	now            time.Time
	events         burstEvents
	upstreams      []*burstUpstream
	load           burstLoad
	result         burstResult
	nestedBucket   nestedBucket
	byOrganisation map[string]*burstResult
}

// burstLoad is what a simulation plays.
type burstLoad struct {
	upstreams  int
	objectives bool
	// perSecond is the rate of new requests of all callers at a time since the start.
	perSecond func(at time.Duration) float64
	// organisation returns that of a request that starts at a time, nil for requests
	// without one.
	organisation func(random *rand.Rand, at time.Duration) string
	// weight returns the weight of an organisation, nil for equal ones.
	weight func(organisation string) float64
	// hideOrganisations leaves the organisation out of what machines see.
	hideOrganisations bool
	// ownTime and nestedWait are the mean work of a request.
	ownTime, nestedWait time.Duration
	// length is how long new requests arrive; start and end delimit the requests that are counted.
	length, start, end time.Duration
	// coldFor is how long all upstreams are cold after the start, for the rate coldPerSecond.
	coldFor       time.Duration
	coldPerSecond float64
	// needsProbe decides whether an upstream is probed before a quote, nil when nodes always
	// know its speed.
	needsProbe func(admission.LoadFacts) bool
	// nestedShare is the part of the requests that make a nested call, for which
	// nestedPerSecond have room. With backpressure these give way after calls without room.
	nestedShare, nestedPerSecond float64
	backpressure                 bool
	// returning is the number of callers whose first attempt failed within returningAge
	// before the start, and who all come back at the start.
	returning    int
	returningAge time.Duration
}

// usualBurst is the load of TestBurst.
func usualBurst(objectives bool) burstLoad {
	return burstLoad{
		upstreams: burstUpstreams, objectives: objectives, ownTime: burstOwnTime, nestedWait: burstNestedWait, length: simulationLength, start: burstStart, end: burstEnd,
		perSecond: func(at time.Duration) float64 {
			if at >= burstStart && at < burstEnd {
				return burstRequestsPerSecond
			}
			return baseRequestsPerSecond
		},
	}
}

// burstResult counts the requests that start during the burst and, in the fields with the
// prefix all, those of the whole simulation.
type burstResult struct{ requests, inTime, served, allRequests, allServed, probes int }

func (r burstResult) inTimeShare() float64 { return float64(r.inTime) / float64(r.requests) }

func (r burstResult) allServedShare() float64 { return float64(r.allServed) / float64(r.allRequests) }

func (r burstResult) probesPerRequest() float64 { return float64(r.probes) / float64(r.allRequests) }

func (r burstResult) servedShare() float64 { return float64(r.served) / float64(r.requests) }

func (b *burstSimulation) after(delay time.Duration, run func()) {
	heap.Push(&b.events, burstEvent{b.now.Add(delay), run})
}

func simulateBurst(seed uint64, load burstLoad) *burstSimulation {
	start := time.Unix(1000, 0)
	b := &burstSimulation{random: rand.New(rand.NewPCG(seed, 3)), startedAt: start, now: start, load: load, byOrganisation: map[string]*burstResult{}}
	for range load.upstreams {
		u := &burstUpstream{machine: admission.NewMachine(admission.Config{}), slowdown: 1, queued: map[admission.Ticket]*burstRequest{}}
		u.machine.Start(b.now, "1", burstSlots)
		u.machine.SetWarmup(b.now, cmp.Or(load.coldPerSecond, burstWarmupPerSecond), b.now.Add(load.coldFor))
		b.upstreams = append(b.upstreams, u)
		b.after(time.Duration(b.random.Float64()*float64(burstSpeedInterval)), func() { b.changeSpeed(u) })
	}
	for at := time.Duration(0); at < load.length; {
		at += time.Duration(b.random.ExpFloat64() / load.perSecond(at) * float64(time.Second))
		b.after(at, func() {
			r := &burstRequest{startedAt: b.now, work: b.drawWork()}
			if load.organisation != nil {
				r.organisation = load.organisation(b.random, b.now.Sub(start))
			}
			r.callsNested = load.nestedShare > 0 && b.random.Float64() < load.nestedShare
			b.begin(r)
		})
	}
	for range load.returning {
		age := time.Duration(b.random.Float64() * float64(load.returningAge))
		r := &burstRequest{startedAt: start.Add(-age), retries: 1, work: b.drawWork()}
		b.after(time.Duration(b.random.Float64()*float64(burstReturnSpread)), func() { b.begin(r) })
	}
	for len(b.events) > 0 {
		event := heap.Pop(&b.events).(burstEvent)
		if event.at.Sub(start) > load.length+burstDeadline {
			break
		}
		b.now = event.at
		event.run()
	}
	return b
}

func (b *burstSimulation) drawWork() time.Duration {
	return time.Duration((0.5 + b.random.Float64()) * float64(b.load.ownTime))
}

func (b *burstSimulation) isCold() bool { return b.now.Sub(b.startedAt) < b.load.coldFor }

// currentSlowdown is what the upstream reports, which includes that it is cold.
func (b *burstSimulation) currentSlowdown(u *burstUpstream) float64 {
	if b.isCold() {
		return burstColdSlowdown * u.slowdown
	}
	return u.slowdown
}

func (b *burstSimulation) begin(r *burstRequest) {
	b.result.allRequests++
	if b.isCounted(r) {
		b.result.requests++
		b.of(r.organisation).requests++
	}
	b.arrive(r)
}

// of returns the result of an organisation.
func (b *burstSimulation) of(organisation string) *burstResult {
	if b.byOrganisation[organisation] == nil {
		b.byOrganisation[organisation] = &burstResult{}
	}
	return b.byOrganisation[organisation]
}

func (b *burstSimulation) isCounted(r *burstRequest) bool {
	at := r.startedAt.Sub(b.startedAt)
	return at >= b.load.start && at < b.load.end
}

func (b *burstSimulation) changeSpeed(u *burstUpstream) {
	u.slowdown = 1
	if b.random.Float64() < burstSlowShare {
		u.slowdown = burstSlowdown
	}
	if b.load.objectives && b.load.needsProbe == nil {
		b.handleEvents(u, u.machine.SetSlowdown(b.now, b.currentSlowdown(u)))
	}
	b.after(burstSpeedInterval, func() { b.changeSpeed(u) })
}

// arrive handles the first arrival of a request or a retry by the caller.
func (b *burstSimulation) arrive(r *burstRequest) {
	r.arrived, r.refusals, r.tried = b.now, 0, map[int]bool{}
	r.isLate = r.retries > 0
	b.sendToBest(r)
}

func (b *burstSimulation) sendToBest(r *burstRequest) {
	var sample []int
	for _, i := range b.random.Perm(b.load.upstreams) {
		if len(sample) < burstSampleSize && !r.tried[i] {
			sample = append(sample, i)
		}
	}
	quotes := make([]*balance.Quote, len(sample))
	for k, i := range sample {
		u := b.upstreams[i]
		b.look(u)
		report := u.machine.Report()
		quotes[k] = &balance.Quote{
			Open: true, Running: int(report.GetInFlight()), Queued: int(report.GetQueued()), Limit: int(report.GetLimit()),
			Slowdown: b.knownSlowdown(u), ServiceTime: b.load.ownTime + b.load.nestedWait, Cold: b.isCold(),
			QueueWait: u.machine.Wait(b.now, b.admissionRequest(r)),
		}
	}
	chosen := sample[balance.Best(quotes, b.load.ownTime)]
	r.tried[chosen] = true
	b.after(3*time.Millisecond, func() { b.offer(b.upstreams[chosen], r) })
}

// admissionRequest is what the node of the upstream knows about a request.
func (b *burstSimulation) admissionRequest(r *burstRequest) admission.Request {
	deadline := r.startedAt.Add(burstDeadline)
	if timeout := r.arrived.Add(burstTimeout); timeout.Before(deadline) {
		deadline = timeout
	}
	request := admission.Request{Deadline: deadline, Attempt: 1 + r.refusals}
	if !b.load.hideOrganisations {
		request.Organisation = r.organisation
		if b.load.weight != nil {
			request.Weight = b.load.weight(r.organisation)
		}
	}
	if b.load.objectives {
		request.Objective = r.arrived.Add(burstObjective - burstNetworkTime)
		request.Work = admission.Work{OwnTime: b.load.ownTime, NestedWait: b.load.nestedWait}
		if r.isLate {
			request.Urgency, request.Objective = overload.Late, time.Time{}
		}
	}
	return request
}

func (b *burstSimulation) offer(u *burstUpstream, r *burstRequest) {
	ticket, verdict, _ := u.machine.Offer(b.now, b.withBackpressure(u, r, b.admissionRequest(r)))
	switch verdict {
	case admission.Admitted:
		b.start(u, ticket, r)
	case admission.Queued:
		u.queued[ticket] = r
		b.awaitStart(u)
		b.watch(u)
		expiry, _ := u.machine.Expiry(ticket)
		b.after(expiry.Sub(b.now), func() { b.handleEvents(u, u.machine.Expire(b.now)) })
	default:
		b.refuse(u, r)
	}
}

// awaitStart lets queued requests start as soon as a rate limit allows it.
func (b *burstSimulation) awaitStart(u *burstUpstream) {
	if at, startsByTimer := u.machine.NextStart(b.now); startsByTimer {
		b.after(at.Sub(b.now)+time.Millisecond, func() { b.handleEvents(u, u.machine.Expire(b.now)) })
	}
}

func (b *burstSimulation) handleEvents(u *burstUpstream, events []admission.Event) {
	for _, event := range append([]admission.Event(nil), events...) {
		r := u.queued[event.Ticket]
		delete(u.queued, event.Ticket)
		if event.Admitted {
			b.start(u, event.Ticket, r)
		} else {
			b.refuse(u, r)
		}
	}
	b.awaitStart(u)
}

func (b *burstSimulation) start(u *burstUpstream, ticket admission.Ticket, r *burstRequest) {
	work := time.Duration(b.currentSlowdown(u) * float64(r.work))
	if float64(u.machine.Report().GetInFlight()) > burstHighUtilization*burstSlots {
		work = time.Duration(burstHighUtilizationSlowdown * float64(work))
	}
	serviceTime := work + b.load.nestedWait
	b.after(serviceTime, func() {
		if b.callNested(u, r) {
			b.finish(r)
		}
		b.learn(u)
		b.handleEvents(u, u.machine.Release(b.now, ticket, admission.Outcome{ServiceTime: serviceTime}))
	})
}

func (b *burstSimulation) finish(r *burstRequest) {
	latency := b.now.Sub(r.startedAt) + burstNetworkTime
	if latency > burstDeadline {
		return
	}
	b.result.allServed++
	if !b.isCounted(r) {
		return
	}
	b.result.served++
	b.of(r.organisation).served++
	if latency <= burstObjective {
		b.result.inTime++
		b.of(r.organisation).inTime++
	}
}

func (b *burstSimulation) refuse(u *burstUpstream, r *burstRequest) {
	r.refusals++
	if r.refusals < burstMaxRefusals {
		b.sendToBest(r)
		return
	}
	if r.retries++; r.retries > burstMaxRetries {
		return
	}
	remaining := burstDeadline - b.now.Sub(r.startedAt)
	report := u.machine.Report()
	expectedWait := time.Duration(report.GetQueued()+1) * (b.load.ownTime + b.load.nestedWait) / time.Duration(max(1, report.GetLimit()))
	delay := overload.RetryDelay(b.random, expectedWait)
	if b.load.objectives {
		delay = overload.BusyRetryDelay(b.random, remaining)
	}
	b.after(delay+burstReconnectTime, func() { b.arrive(r) })
}
