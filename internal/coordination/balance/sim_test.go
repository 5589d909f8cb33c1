package balance_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chicorylever/chicorylever/internal/coordination/admission"
	"github.com/chicorylever/chicorylever/internal/coordination/balance"
	"github.com/chicorylever/chicorylever/internal/coordination/retry"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// meanServiceTime and serviceTimeSigma give a lognormal service time with a p99 of 20 ms.
const (
	meanServiceTime  = 5 * time.Millisecond
	serviceTimeSigma = 0.7
	sameZoneDelay    = 100 * time.Microsecond // one way
	requestTimeout   = time.Second
)

// event is a callback at a virtual time; seq keeps the order of equal times.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// upstream is a fake instance behind the real admission machine.
type upstream struct {
	machine            *admission.Machine
	queued             map[admission.Ticket]*attempt
	pausedUntil        time.Duration
	totalPause         time.Duration // total
	slowdown           float64
	failing            bool
	extraDelay         time.Duration // added one way
	requestsSinceStart int           // requests run since the last start; -1 when warm
	running            int
	served             int
}

// entry is a fake entry node with its own picker and view.
type entry struct {
	zone        string
	picker      balance.Picker
	retryPolicy *retry.Policy
	candidates  []balance.Candidate
	reportedAt  []time.Duration
}

// request is one call; At, Entry and Service are what a trace records.
type request struct {
	Arrival     time.Duration
	Entry       int
	ServiceTime time.Duration

	attempts int
	pending  int
	done     bool
	tried    map[string]bool
}

type simulation struct {
	scenario  scenario
	now       time.Duration
	seq       int
	events    eventHeap
	random    *rand.Rand
	upstreams []*upstream
	entries   []*entry
	latencies []time.Duration
	refused   int
	failed    int
	attempts  int
}

func newSimulation(sc scenario, newPicker func(zone string, r *rand.Rand) balance.Picker, seed uint64) *simulation {
	s := &simulation{scenario: sc, random: rand.New(rand.NewPCG(seed, 1))}
	for range sc.instanceZones {
		m := admission.NewMachine(admission.Config{})
		u := &upstream{machine: m, queued: map[admission.Ticket]*attempt{}, slowdown: 1, requestsSinceStart: -1}
		s.upstreams = append(s.upstreams, u)
		completeColdStart(m, sc.slots)
	}
	for i := range sc.entryCount {
		zone := sc.entryZones[i%len(sc.entryZones)]
		e := &entry{zone: zone, retryPolicy: retry.New(s.clock(), retry.Config{})}
		e.picker = newPicker(zone, rand.New(rand.NewPCG(seed, uint64(i)+2)))
		e.reportedAt = make([]time.Duration, len(sc.instanceZones))
		for k, z := range sc.instanceZones {
			c := balance.Candidate{ID: string(rune('a' + k)), Zone: z, Slots: sc.slots}
			e.candidates = append(e.candidates, c)
		}
		s.entries = append(s.entries, e)
	}
	return s
}

// completeColdStart takes a machine through its cold start before the run.
func completeColdStart(m *admission.Machine, slots int) {
	at := epoch.Add(-time.Hour)
	m.Start(at, "first", slots)
	for range 1000 * slots {
		at = at.Add(meanServiceTime)
		ticket, _, _ := m.Offer(at, admission.Request{})
		m.Release(at, ticket, admission.Outcome{ServiceTime: meanServiceTime})
	}
}

var epoch = time.Unix(1_000_000, 0)

func (s *simulation) clock() time.Time { return epoch.Add(s.now) }

func (s *simulation) schedule(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now + d, seq: s.seq, run: run})
}

func (s *simulation) run(requests []request) {
	s.scenario.injectFaults(s)
	for i := range requests {
		r := &requests[i]
		s.schedule(r.Arrival, func() { s.entries[r.Entry].retryPolicy.FirstAttempt(s.clock()); s.send(r) })
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	slices.Sort(s.latencies)
}

// generateRequests draws Poisson arrivals at a share of the capacity of all slots.
func (s *simulation) generateRequests() []request {
	rate := s.scenario.load * float64(len(s.scenario.instanceZones)*s.scenario.slots) / meanServiceTime.Seconds()
	var requests []request
	for at := 0.0; at < s.scenario.duration.Seconds(); at += s.random.ExpFloat64() / rate {
		service := meanServiceTime.Seconds() * math.Exp(serviceTimeSigma*s.random.NormFloat64()-serviceTimeSigma*serviceTimeSigma/2)
		requests = append(requests, request{
			Arrival: seconds(at), Entry: s.random.IntN(len(s.entries)), ServiceTime: seconds(service),
		})
	}
	return requests
}

func seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }

// attempt is one try of a request at an upstream.
type attempt struct {
	*request
	upstreamIndex int // upstream
	sentAt        time.Duration
}

func (s *simulation) pick(r *request) (balance.Candidate, bool) {
	e := s.entries[r.Entry]
	for i := range e.candidates {
		e.candidates[i].ReportAge = s.now - e.reportedAt[i]
	}
	return e.picker.Pick(s.clock(), "svc", e.candidates, r.tried)
}

func (s *simulation) send(r *request) {
	c, ok := s.pick(r)
	if !ok {
		s.refused++
		return
	}
	s.dispatch(r, c)
	if delay, known := s.entries[r.Entry].retryPolicy.HedgeDelay(); known && s.scenario.hedged && r.attempts == 1 {
		s.schedule(delay, func() { s.hedge(r, c.ID, delay) })
	}
}

func (s *simulation) hedge(r *request, first string, waited time.Duration) {
	policy, _ := s.entries[r.Entry].picker.(*balance.Policy)
	if r.done || r.attempts > 1 || policy.HeardSince(first, s.clock().Add(-waited)) {
		return
	}
	r.tried = map[string]bool{first: true}
	c, ok := s.pick(r)
	if !ok {
		return
	}
	if !s.entries[r.Entry].retryPolicy.Hedge(s.clock(), true, waited, &c) {
		s.entries[r.Entry].picker.Observe(s.clock(), c.ID, balance.Outcome{Result: balance.ResultCancelled})
		return
	}
	s.dispatch(r, c)
}

func (s *simulation) dispatch(r *request, c balance.Candidate) {
	a := &attempt{request: r, upstreamIndex: int(c.ID[0] - 'a'), sentAt: s.now}
	s.attempts++
	r.attempts++
	r.pending++
	s.entries[r.Entry].candidates[a.upstreamIndex].InFlight++
	s.schedule(s.oneWay(a), func() { s.receiveAttempt(a) })
}

func (s *simulation) oneWay(a *attempt) time.Duration {
	if s.entries[a.Entry].zone == s.scenario.instanceZones[a.upstreamIndex] {
		return sameZoneDelay + s.upstreams[a.upstreamIndex].extraDelay
	}
	return s.scenario.crossZoneDelay + s.upstreams[a.upstreamIndex].extraDelay
}

func (s *simulation) receiveAttempt(a *attempt) {
	u := s.upstreams[a.upstreamIndex]
	req := admission.Request{Attempt: a.attempts, Deadline: epoch.Add(a.Arrival + requestTimeout)}
	ticket, verdict, reason := u.machine.Offer(s.clock(), req)
	switch verdict {
	case admission.Admitted:
		s.startService(a, ticket)
	case admission.Queued:
		u.queued[ticket] = a
		expiry, _ := u.machine.Expiry(ticket)
		s.schedule(expiry.Sub(s.clock()), func() { s.handleAdmissionEvents(a.upstreamIndex, u.machine.Expire(s.clock())) })
	case admission.Refused:
		s.sendResponse(a, balance.Outcome{Result: balance.ResultRefused, Reason: reason})
	}
}

func (s *simulation) handleAdmissionEvents(i int, events []admission.Event) {
	u := s.upstreams[i]
	for _, e := range slices.Clone(events) {
		a := u.queued[e.Ticket]
		delete(u.queued, e.Ticket)
		if e.Admitted {
			s.startService(a, e.Ticket)
		} else {
			s.sendResponse(a, balance.Outcome{Result: balance.ResultRefused, Reason: e.Reason})
		}
	}
}

func (s *simulation) startService(a *attempt, ticket admission.Ticket) {
	u := s.upstreams[a.upstreamIndex]
	u.running++
	u.served++
	length := seconds(a.ServiceTime.Seconds() * u.slowdown * u.coldSlowdown())
	if u.failing {
		length = 500 * time.Microsecond
	}
	length += max(0, u.pausedUntil-s.now)
	paused, start := u.totalPause, s.now
	s.schedule(length, func() { s.finishService(a, ticket, paused, start) })
}

// coldSlowdown makes a cold upstream slow, and worse under concurrent load.
func (u *upstream) coldSlowdown() float64 {
	if u.requestsSinceStart < 0 {
		return 1
	}
	u.requestsSinceStart++
	cold := math.Exp(-float64(u.requestsSinceStart) / 100)
	return 1 + cold*float64(u.running)
}

func (s *simulation) finishService(a *attempt, ticket admission.Ticket, pauseAtStart, startedAt time.Duration) {
	u := s.upstreams[a.upstreamIndex]
	if late := u.totalPause - pauseAtStart; late > 0 {
		pauseAtStart = u.totalPause
		s.schedule(late, func() { s.finishService(a, ticket, pauseAtStart, startedAt) })
		return
	}
	u.running--
	result, own := balance.ResultSuccess, admission.ResultSuccess
	if u.failing {
		result, own = balance.ResultError, admission.ResultError
	}
	outcome := admission.Outcome{Result: own, ServiceTime: s.now - startedAt}
	s.handleAdmissionEvents(a.upstreamIndex, u.machine.Release(s.clock(), ticket, outcome))
	s.sendResponse(a, balance.Outcome{Result: result})
}

func (s *simulation) sendResponse(a *attempt, outcome balance.Outcome) {
	report := s.upstreams[a.upstreamIndex].machine.Report()
	back := s.oneWay(a)
	s.schedule(back, func() { s.receiveResponse(a, outcome) })
	s.schedule(back+s.scenario.reportDelay, func() { s.receiveReport(a, report) })
}

func (s *simulation) receiveReport(a *attempt, report *wire.LoadReport) {
	e := s.entries[a.Entry]
	c := &e.candidates[a.upstreamIndex]
	c.Report = balance.FromWire(report)
	e.reportedAt[a.upstreamIndex] = s.now
	if c.State == balance.StateWarm || c.State == balance.StateCold {
		c.State = balance.StateFromWire(report.State)
	}
}

func (s *simulation) receiveResponse(a *attempt, outcome balance.Outcome) {
	e := s.entries[a.Entry]
	c := &e.candidates[a.upstreamIndex]
	c.InFlight--
	a.pending--
	outcome.Latency = s.now - a.sentAt
	e.picker.Observe(s.clock(), c.ID, outcome)
	switch {
	case a.done:
	case outcome.Result == balance.ResultSuccess:
		a.done = true
		e.retryPolicy.ObserveLatency(s.now - a.Arrival)
		s.latencies = append(s.latencies, s.now-a.Arrival)
	case a.pending > 0:
	case outcome.Result == balance.ResultError:
		s.failed++
	default:
		s.retry(a, c.ID)
	}
}

func (s *simulation) retry(a *attempt, id string) {
	failure := retry.Failure{NotRun: true, Resendable: true, Attempts: a.attempts, Remaining: a.Arrival + requestTimeout - s.now}
	if s.entries[a.Entry].retryPolicy.Decide(s.clock(), failure) != retry.VerdictRetry {
		s.refused++
		return
	}
	if a.tried == nil {
		a.tried = map[string]bool{}
	}
	a.tried[id] = true
	s.send(a.request)
}

func (s *simulation) latencyQuantileMs(q float64) float64 {
	if len(s.latencies) == 0 {
		return 0
	}
	return s.latencies[int(q*float64(len(s.latencies)-1))].Seconds() * 1000
}
