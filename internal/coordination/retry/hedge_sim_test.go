package retry_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chicorylever/chicorylever/internal/coordination/balance"
	"github.com/chicorylever/chicorylever/internal/coordination/budget"
	"github.com/chicorylever/chicorylever/internal/coordination/retry"
)

const (
	simUpstreams   = 39
	simPlaces      = 4
	simServiceTime = 50 * time.Millisecond
	simOneWay      = 500 * time.Microsecond
	simObjective   = 300 * time.Millisecond
	simDeadline    = 2 * time.Second
	simMaxQueue    = 2 * simPlaces
	// simNoticeDelay is the time after which quotes show that an upstream became slow.
	simNoticeDelay = 50 * time.Millisecond
	simDuration    = 20 * time.Second
)

type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type simEvents []simEvent

func (h simEvents) Len() int { return len(h) }
func (h simEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h simEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// hedgeLoad is a load of the simulation. before selects the decision of earlier versions:
// after the p95, unless the upstream has responded since.
type hedgeLoad struct {
	load     float64 // share of all places
	share    float64 // hedge share
	lost     float64 // share of the responses that are lost
	slowdown func(upstream int, at time.Duration, phase float64) float64
	before   bool
}

type simRequest struct {
	at, service time.Duration
	entry       int
	done        bool
}

type simAttempt struct {
	*simRequest
	upstream int
	sentAt   time.Duration
	isHedge  bool
	lost     bool
}

type simUpstream struct {
	running       int
	queue         []*simAttempt
	phase         float64
	lastResponses map[int]time.Duration // by entry
}

// hedgeSim runs a load in virtual time. The nodes choose the best of four quotes.
type hedgeSim struct {
	hedgeLoad
	random    *rand.Rand
	now       time.Duration
	events    simEvents
	seq       int
	upstreams []*simUpstream
	policies  []*retry.Policy
	latencies []time.Duration
	requests  int
	hedges    int
	won       int
	notRun    int // losers that were cancelled before they ran
	wasted    time.Duration
}

func runHedgeLoad(load hedgeLoad, seed uint64) *hedgeSim {
	s := &hedgeSim{hedgeLoad: load, random: rand.New(rand.NewPCG(seed, 9))}
	limit := budget.Limit{Ratio: 0.2, Slack: 2*simUpstreams + 36, Window: 10 * time.Second}
	for range simUpstreams {
		s.upstreams = append(s.upstreams, &simUpstream{phase: s.random.Float64(), lastResponses: map[int]time.Duration{}})
		policy := retry.New(start, retry.Config{ClusterLimit: limit, Nodes: simUpstreams})
		policy.SetShares(0.2, load.share)
		s.policies = append(s.policies, policy)
	}
	rate := load.load * simUpstreams * simPlaces / simServiceTime.Seconds()
	for at := 0.0; at < simDuration.Seconds(); at += s.random.ExpFloat64() / rate {
		service := simServiceTime.Seconds() * math.Exp(0.5*s.random.NormFloat64()-0.125)
		r := &simRequest{at: seconds(at), service: seconds(service), entry: s.random.IntN(simUpstreams)}
		s.schedule(r.at, func() { s.arrive(r) })
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	slices.Sort(s.latencies)
	return s
}

func seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }

func (s *hedgeSim) clock() time.Time { return start.Add(s.now) }

func (s *hedgeSim) schedule(at time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{at, s.seq, run})
}

func (s *hedgeSim) quote(i int) *balance.Quote {
	u := s.upstreams[i]
	q := &balance.Quote{Open: true, Running: u.running, Queued: len(u.queue), Limit: simPlaces, ServiceTime: simServiceTime}
	q.Slowdown = s.slowdown(i, s.now-simNoticeDelay, u.phase)
	if u.running >= simPlaces {
		q.QueueWait = simServiceTime * time.Duration(len(u.queue)+1) / simPlaces
	}
	return q
}

func (s *hedgeSim) choose(excluded int) (best int, quote *balance.Quote, quotes []*balance.Quote) {
	var sample []int
	for len(sample) < 4 {
		if i := s.random.IntN(simUpstreams); i != excluded && !slices.Contains(sample, i) {
			sample, quotes = append(sample, i), append(quotes, s.quote(i))
		}
	}
	b := balance.Best(quotes, simServiceTime)
	return sample[b], quotes[b], quotes
}

func (s *hedgeSim) arrive(r *simRequest) {
	s.requests++
	policy := s.policies[r.entry]
	policy.RecordFirstAttempt(s.clock())
	i, quote, _ := s.choose(-1)
	s.schedule(r.at+simDeadline, func() { s.finish(r) })
	s.send(&simAttempt{simRequest: r, upstream: i, sentAt: s.now, lost: s.random.Float64() < s.lost})
	primary := retry.Primary{Asked: true, Quote: quote}
	if s.before {
		primary = retry.Primary{}
	}
	if delay, ok := policy.HedgeDelay(primary); ok {
		s.schedule(s.now+delay, func() { s.checkHedge(r, i, primary) })
	}
}

func (s *hedgeSim) checkHedge(r *simRequest, first int, primary retry.Primary) {
	last, known := s.upstreams[first].lastResponses[r.entry]
	responded := known && last > r.at
	if r.done || s.before && responded {
		return
	}
	if !s.before {
		primary = primary.AfterSending(true, s.quote(first), responded)
	}
	delay, ok := s.policies[r.entry].HedgeDelay(primary)
	if at := r.at + delay; ok && at > s.now {
		s.schedule(at, func() { s.checkHedge(r, first, primary) })
		return
	}
	i, quote, quotes := s.choose(first)
	h := retry.Hedge{Repeatable: true, Waited: s.now - r.at, Primary: primary, Quotes: quotes, TargetQuote: quote}
	if s.before {
		h.Target = &balance.Candidate{Report: balance.LoadReport{InFlight: quote.Running, Queued: quote.Queued, Limit: quote.Limit}}
		h.Quotes, h.TargetQuote = nil, nil
	}
	if ok && s.policies[r.entry].TakeHedge(s.clock(), h) == retry.HedgeSend {
		s.hedges++
		s.send(&simAttempt{simRequest: r, upstream: i, sentAt: s.now, isHedge: true})
	}
}

func (s *hedgeSim) send(a *simAttempt) {
	s.schedule(s.now+simOneWay, func() {
		u := s.upstreams[a.upstream]
		switch {
		case u.running < simPlaces:
			s.startService(a)
		case len(u.queue) < simMaxQueue:
			u.queue = append(u.queue, a)
		case !a.isHedge:
			s.refuse(a.simRequest)
		}
	})
}

func (s *hedgeSim) startService(a *simAttempt) {
	u := s.upstreams[a.upstream]
	u.running++
	duration := seconds(a.service.Seconds() * s.slowdown(a.upstream, s.now, u.phase))
	s.schedule(s.now+duration, func() { s.endService(a, duration) })
}

// endService ends an attempt and starts the next one that has not been cancelled meanwhile.
func (s *hedgeSim) endService(a *simAttempt, duration time.Duration) {
	u := s.upstreams[a.upstream]
	u.running--
	for len(u.queue) > 0 && u.running < simPlaces {
		next := u.queue[0]
		u.queue = u.queue[1:]
		if next.done {
			s.notRun++
			continue
		}
		s.startService(next)
	}
	if a.lost {
		return
	}
	s.schedule(s.now+simOneWay, func() {
		u.lastResponses[a.entry] = s.now
		if a.done {
			s.wasted += duration
			return
		}
		if a.isHedge {
			s.won++
		}
		s.policies[a.entry].ObserveLatency(s.now - a.sentAt)
		s.finish(a.simRequest)
	})
}

// refuse ends a request that its upstream has refused. It counts as late.
func (s *hedgeSim) refuse(r *simRequest) {
	if !r.done {
		r.done = true
		s.latencies = append(s.latencies, simDeadline)
	}
}

func (s *hedgeSim) finish(r *simRequest) {
	if !r.done {
		r.done = true
		s.latencies = append(s.latencies, s.now-r.at)
	}
}

func (s *hedgeSim) quantileMs(q float64) float64 {
	return s.latencies[int(q*float64(len(s.latencies)-1))].Seconds() * 1000
}

// lateShare is the share of the requests that took longer than simObjective.
func (s *hedgeSim) lateShare() float64 {
	inTime, _ := slices.BinarySearch(s.latencies, simObjective+1)
	return 1 - float64(inTime)/float64(len(s.latencies))
}
