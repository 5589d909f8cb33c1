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

// meanService and sigma give a lognormal service time with a p99 of 20 ms.
const (
	meanService = 5 * time.Millisecond
	sigma       = 0.7
	sameZone    = 100 * time.Microsecond // one way
	deadline    = time.Second
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
	machine     *admission.Machine
	queued      map[admission.Ticket]*request
	pausedUntil time.Duration
	paused      time.Duration // total
	slow        float64
	failing     bool
	path        time.Duration // added one way
	warmth      int           // requests run since the last start; -1 when warm
	running     int
	hits        int
}

// entry is a fake entry node with its own picker and view.
type entry struct {
	zone       string
	picker     balance.Picker
	retries    *retry.Policy
	candidates []balance.Candidate
	reportedAt []time.Duration
}

// request is one call; Service and At are what a trace records.
type request struct {
	At      time.Duration `json:"at_ns"`
	Entry   int           `json:"entry"`
	Service time.Duration `json:"service_ns"`

	sent    time.Duration
	attempt int
	tried   map[string]bool
}

type sim struct {
	sc        scenario
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

func newSim(sc scenario, makePicker func(zone string, r *rand.Rand) balance.Picker, seed uint64) *sim {
	s := &sim{sc: sc, random: rand.New(rand.NewPCG(seed, 1))}
	for range sc.zones {
		m := admission.NewMachine(sc.admission)
		u := &upstream{machine: m, queued: map[admission.Ticket]*request{}, slow: 1, warmth: -1}
		s.upstreams = append(s.upstreams, u)
		warm(m, sc.slots)
	}
	for i := range sc.entries {
		zone := sc.zoneNames[i%len(sc.zoneNames)]
		e := &entry{zone: zone, retries: retry.New(s.clock(), retry.Config{})}
		e.picker = makePicker(zone, rand.New(rand.NewPCG(seed, uint64(i)+2)))
		e.reportedAt = make([]time.Duration, len(sc.zones))
		for k, z := range sc.zones {
			c := balance.Candidate{ID: string(rune('a' + k)), Zone: z, Slots: sc.slots}
			e.candidates = append(e.candidates, c)
		}
		s.entries = append(s.entries, e)
	}
	return s
}

// warm takes a machine through its cold start before the run.
func warm(m *admission.Machine, slots int) {
	at := epoch.Add(-time.Hour)
	m.Start(at, "first", slots)
	for range 1000 * slots {
		at = at.Add(meanService)
		ticket, _, _ := m.Offer(at, admission.Request{})
		m.Release(at, ticket, admission.Outcome{ServiceTime: meanService})
	}
}

var epoch = time.Unix(1_000_000, 0)

func (s *sim) clock() time.Time { return epoch.Add(s.now) }

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now + d, seq: s.seq, run: run})
}

func (s *sim) run(requests []request) {
	s.sc.faults(s)
	for i := range requests {
		r := &requests[i]
		s.after(r.At, func() { s.entries[r.Entry].retries.FirstAttempt(s.clock()); s.send(r) })
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	slices.Sort(s.latencies)
}

// generate draws Poisson arrivals at a share of the capacity of all slots.
func (s *sim) generate() []request {
	rate := s.sc.load * float64(len(s.sc.zones)*s.sc.slots) / meanService.Seconds()
	var requests []request
	for at := 0.0; at < s.sc.length.Seconds(); at += s.random.ExpFloat64() / rate {
		service := meanService.Seconds() * math.Exp(sigma*s.random.NormFloat64()-sigma*sigma/2)
		requests = append(requests, request{
			At: seconds(at), Entry: s.random.IntN(len(s.entries)), Service: seconds(service),
		})
	}
	return requests
}

func seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }

func (s *sim) send(r *request) {
	e := s.entries[r.Entry]
	for i := range e.candidates {
		e.candidates[i].ReportAge = s.now - e.reportedAt[i]
	}
	c, ok := e.picker.Pick(s.clock(), "svc", e.candidates, r.tried)
	if !ok {
		s.refused++
		return
	}
	s.attempts++
	r.attempt++
	r.sent = s.now
	i := int(c.ID[0] - 'a')
	e.candidates[i].InFlight++
	s.after(s.oneWay(e, i), func() { s.arrive(r, i) })
}

func (s *sim) oneWay(e *entry, i int) time.Duration {
	if e.zone == s.sc.zones[i] {
		return sameZone + s.upstreams[i].path
	}
	return s.sc.crossZone + s.upstreams[i].path
}

func (s *sim) arrive(r *request, i int) {
	u := s.upstreams[i]
	req := admission.Request{Attempt: r.attempt, Deadline: epoch.Add(r.At + deadline)}
	ticket, verdict, reason := u.machine.Offer(s.clock(), req)
	switch verdict {
	case admission.Admitted:
		s.serve(r, i, ticket)
	case admission.Queued:
		u.queued[ticket] = r
		expiry, _ := u.machine.Expiry(ticket)
		s.after(expiry.Sub(s.clock()), func() { s.deliver(i, u.machine.Expire(s.clock())) })
	case admission.Refused:
		s.respond(r, i, balance.Outcome{Result: balance.ResultRefused, Reason: reason})
	}
}

func (s *sim) deliver(i int, events []admission.Event) {
	u := s.upstreams[i]
	for _, e := range slices.Clone(events) {
		r := u.queued[e.Ticket]
		delete(u.queued, e.Ticket)
		if e.Admitted {
			s.serve(r, i, e.Ticket)
		} else {
			s.respond(r, i, balance.Outcome{Result: balance.ResultRefused, Reason: e.Reason})
		}
	}
}

func (s *sim) serve(r *request, i int, ticket admission.Ticket) {
	u := s.upstreams[i]
	u.running++
	u.hits++
	length := seconds(r.Service.Seconds() * u.slow * u.coldFactor())
	if u.failing {
		length = 500 * time.Microsecond
	}
	length += max(0, u.pausedUntil-s.now)
	s.after(length, func() { s.finish(r, i, ticket, u.paused, s.now-length) })
}

// coldFactor makes a cold upstream slow, and worse under concurrent load.
func (u *upstream) coldFactor() float64 {
	if u.warmth < 0 {
		return 1
	}
	u.warmth++
	cold := math.Exp(-float64(u.warmth) / 100)
	return 1 + cold*float64(u.running)
}

func (s *sim) finish(r *request, i int, ticket admission.Ticket, paused, start time.Duration) {
	u := s.upstreams[i]
	if late := u.paused - paused; late > 0 {
		paused = u.paused
		s.after(late, func() { s.finish(r, i, ticket, paused, start) })
		return
	}
	u.running--
	result, own := balance.ResultSuccess, admission.ResultSuccess
	if u.failing {
		result, own = balance.ResultError, admission.ResultError
	}
	outcome := admission.Outcome{Result: own, ServiceTime: s.now - start}
	s.deliver(i, u.machine.Release(s.clock(), ticket, outcome))
	s.respond(r, i, balance.Outcome{Result: result})
}

func (s *sim) respond(r *request, i int, outcome balance.Outcome) {
	e := s.entries[r.Entry]
	report := s.upstreams[i].machine.Report()
	back := s.oneWay(e, i)
	s.after(back, func() { s.received(r, i, outcome) })
	s.after(back+s.sc.stale, func() { s.reported(e, i, report) })
}

func (s *sim) reported(e *entry, i int, report *wire.LoadReport) {
	c := &e.candidates[i]
	c.Report = balance.FromWire(report)
	e.reportedAt[i] = s.now
	if c.State == balance.StateWarm || c.State == balance.StateCold {
		c.State = balance.StateFromWire(report.State)
	}
}

func (s *sim) received(r *request, i int, outcome balance.Outcome) {
	e := s.entries[r.Entry]
	c := &e.candidates[i]
	c.InFlight--
	outcome.Latency = s.now - r.sent
	e.picker.Observe(s.clock(), c.ID, outcome)
	switch outcome.Result {
	case balance.ResultSuccess:
		e.retries.ObserveLatency(s.now - r.At)
		s.latencies = append(s.latencies, s.now-r.At)
	case balance.ResultError:
		s.failed++
	default:
		s.retry(r, c.ID)
	}
}

func (s *sim) retry(r *request, id string) {
	failure := retry.Failure{NotRun: true, Resendable: true, Attempts: r.attempt, Remaining: r.At + deadline - s.now}
	if s.entries[r.Entry].retries.Decide(s.clock(), failure) != retry.VerdictRetry {
		s.refused++
		return
	}
	if r.tried == nil {
		r.tried = map[string]bool{}
	}
	r.tried[id] = true
	s.send(r)
}

func (s *sim) quantile(q float64) float64 {
	if len(s.latencies) == 0 {
		return 0
	}
	return s.latencies[int(q*float64(len(s.latencies)-1))].Seconds() * 1000
}
