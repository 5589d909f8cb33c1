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

// Service times are lognormal with the mean meanServiceTime and, because of
// serviceTimeSigma, a p99 of 20 ms.
const (
	meanServiceTime  = 5 * time.Millisecond
	serviceTimeSigma = 0.7
	sameZoneDelay    = 100 * time.Microsecond // one way
	requestTimeout   = time.Second
)

// event is a callback at a virtual time. Events of the same time run in the order of seq.
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

// upstream is a simulated instance behind the real admission machine.
type upstream struct {
	machine            *admission.Machine
	queued             map[admission.Ticket]*attempt
	pausedUntil        time.Duration
	totalPause         time.Duration // sum of all pauses so far
	slowdown           float64
	failing            bool
	extraDelay         time.Duration // network delay in each direction, added to the usual one
	requestsSinceStart int           // requests started since the last cold start, -1 when warm
	running            int
	served             int // requests started since the last change of the zone
}

// entry is a simulated entry node with its own picker and its own view of the instances.
type entry struct {
	zone        string
	picker      balance.Picker
	retryPolicy *retry.Policy
	candidates  []balance.Candidate
	reportedAt  []time.Duration // arrival of the last load report of each candidate
}

// request is one request of a caller. A trace records Arrival, Entry and ServiceTime.
type request struct {
	Arrival     time.Duration
	Entry       int // index of the entry node
	ServiceTime time.Duration

	attempts int
	pending  int // attempts in flight
	done     bool
	tried    map[string]bool
}

// simulation runs the requests of a scenario in virtual time.
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

// completeColdStart sends requests to an admission machine until its cold start is over.
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

func (s *simulation) schedule(delay time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now + delay, seq: s.seq, run: run})
}

func (s *simulation) run(requests []request) {
	s.scenario.injectFaults(s)
	for i := range requests {
		r := &requests[i]
		s.schedule(r.Arrival, func() { s.entries[r.Entry].retryPolicy.RecordFirstAttempt(s.clock()); s.send(r) })
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	slices.Sort(s.latencies)
}

// generateRequests draws Poisson arrivals at the load of the scenario, which is a share of
// the capacity of all slots.
func (s *simulation) generateRequests() []request {
	rate := s.scenario.load * float64(len(s.scenario.instanceZones)*s.scenario.slots) / meanServiceTime.Seconds()
	var requests []request
	for at := 0.0; at < s.scenario.duration.Seconds(); at += s.random.ExpFloat64() / rate {
		serviceTime := meanServiceTime.Seconds() * math.Exp(serviceTimeSigma*s.random.NormFloat64()-serviceTimeSigma*serviceTimeSigma/2)
		requests = append(requests, request{
			Arrival: seconds(at), Entry: s.random.IntN(len(s.entries)), ServiceTime: seconds(serviceTime),
		})
	}
	return requests
}

func seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }

// attempt is one attempt of a request at one upstream.
type attempt struct {
	*request
	upstreamIndex int
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
	if delay, known := s.entries[r.Entry].retryPolicy.HedgeDelay(retry.Primary{}); known && s.scenario.hedged && r.attempts == 1 {
		s.schedule(delay, func() { s.hedge(r, c.ID, delay) })
	}
}

// hedge sends a second attempt if the first instance has not responded to any request since
// the first attempt and the retry policy allows the hedge.
func (s *simulation) hedge(r *request, firstInstanceID string, waited time.Duration) {
	policy, _ := s.entries[r.Entry].picker.(*balance.Policy)
	if r.done || r.attempts > 1 || policy.HasRespondedSince(firstInstanceID, s.clock().Add(-waited)) {
		return
	}
	r.tried = map[string]bool{firstInstanceID: true}
	c, ok := s.pick(r)
	if !ok {
		return
	}
	if s.entries[r.Entry].retryPolicy.TakeHedge(s.clock(), retry.Hedge{Repeatable: true, Waited: waited, Target: &c}) != retry.HedgeSend {
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

// oneWay returns the network delay between the entry node and the upstream of an attempt.
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

// handleAdmissionEvents starts the queued attempts that the machine has admitted and sends a
// refusal for those that it has refused.
func (s *simulation) handleAdmissionEvents(upstreamIndex int, events []admission.Event) {
	u := s.upstreams[upstreamIndex]
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
	duration := seconds(a.ServiceTime.Seconds() * u.slowdown * u.coldSlowdown())
	if u.failing {
		duration = 500 * time.Microsecond
	}
	duration += max(0, u.pausedUntil-s.now)
	totalPauseAtStart, startedAt := u.totalPause, s.now
	s.schedule(duration, func() { s.finishService(a, ticket, totalPauseAtStart, startedAt) })
}

// coldSlowdown is the slowdown of a cold upstream, which grows with its concurrency and
// decays with the number of requests since its start.
func (u *upstream) coldSlowdown() float64 {
	if u.requestsSinceStart < 0 {
		return 1
	}
	u.requestsSinceStart++
	coldness := math.Exp(-float64(u.requestsSinceStart) / 100)
	return 1 + coldness*float64(u.running)
}

// finishService ends an attempt at its upstream, or delays the end by the pauses that began
// after totalPauseAtStart was read.
func (s *simulation) finishService(a *attempt, ticket admission.Ticket, totalPauseAtStart, startedAt time.Duration) {
	u := s.upstreams[a.upstreamIndex]
	if newPause := u.totalPause - totalPauseAtStart; newPause > 0 {
		totalPauseAtStart = u.totalPause
		s.schedule(newPause, func() { s.finishService(a, ticket, totalPauseAtStart, startedAt) })
		return
	}
	u.running--
	result, admissionResult := balance.ResultSuccess, admission.ResultSuccess
	if u.failing {
		result, admissionResult = balance.ResultError, admission.ResultError
	}
	outcome := admission.Outcome{Result: admissionResult, ServiceTime: s.now - startedAt}
	s.handleAdmissionEvents(a.upstreamIndex, u.machine.Release(s.clock(), ticket, outcome))
	s.sendResponse(a, balance.Outcome{Result: result})
}

func (s *simulation) sendResponse(a *attempt, outcome balance.Outcome) {
	report := s.upstreams[a.upstreamIndex].machine.Report()
	delay := s.oneWay(a)
	s.schedule(delay, func() { s.receiveResponse(a, outcome) })
	s.schedule(delay+s.scenario.reportDelay, func() { s.receiveReport(a, report) })
}

func (s *simulation) receiveReport(a *attempt, report *wire.LoadReport) {
	e := s.entries[a.Entry]
	c := &e.candidates[a.upstreamIndex]
	c.Report = balance.LoadReportFromWire(report)
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

func (s *simulation) retry(a *attempt, instanceID string) {
	failure := retry.Failure{NotRun: true, Resendable: true, Attempts: a.attempts, Remaining: a.Arrival + requestTimeout - s.now}
	if s.entries[a.Entry].retryPolicy.Decide(s.clock(), failure) != retry.VerdictRetry {
		s.refused++
		return
	}
	if a.tried == nil {
		a.tried = map[string]bool{}
	}
	a.tried[instanceID] = true
	s.send(a.request)
}

func (s *simulation) latencyQuantileMs(q float64) float64 {
	if len(s.latencies) == 0 {
		return 0
	}
	return s.latencies[int(q*float64(len(s.latencies)-1))].Seconds() * 1000
}
