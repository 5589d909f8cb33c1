package admission_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/coordination/admission"
	"github.com/chicorylever/chicorylever/internal/coordination/overload"
)

// The simulated load is a priority inversion by nested calls: one upstream serves urgent
// requests of callers, and nested calls of less urgent requests that run elsewhere. Each
// alone fits, together they are more than the upstream can serve.
const (
	inversionSlots            = 12
	inversionUrgentPerSecond  = 37.0
	inversionUrgentWork       = 63 * time.Millisecond
	inversionUrgentObjective  = 200 * time.Millisecond
	inversionUrgentDeadline   = 1200 * time.Millisecond
	inversionParentsPerSecond = 154.0
	inversionNestedShare      = 0.7 // share of the parents that make nested calls
	inversionNestedCalls      = 2   // of such a parent, one after the other
	inversionNestedWork       = 22 * time.Millisecond
	inversionNestedDeadline   = 250 * time.Millisecond
	inversionLength           = 20 * time.Second
	// inversionMaxDeficit is by how much the share of the urgent requests that are served in
	// time may stay below that of the less urgent ones: 5 in 100.
	inversionMaxDeficit = 0.05
	// inversionSlowShare is the share of the time in which the VM runs at a quarter of its speed.
	inversionSlowShare = 0.25
)

type inversionCall struct {
	urgent    bool
	remaining int // nested calls of the parent that follow this one
	deadline  time.Time
	objective time.Time
	work      time.Duration
}

type inversionSimulation struct {
	random   *rand.Rand
	now      time.Time
	events   burstEvents
	machine  *admission.Machine
	slowdown float64
	queued   map[admission.Ticket]*inversionCall

	urgent, urgentInTime   int
	parents, parentsServed int
}

func (s *inversionSimulation) after(delay time.Duration, run func()) {
	heap.Push(&s.events, burstEvent{s.now.Add(delay), run})
}

func simulateInversion(seed uint64) *inversionSimulation {
	start := time.Unix(1000, 0)
	s := &inversionSimulation{
		random: rand.New(rand.NewPCG(seed, 7)), now: start, slowdown: 1,
		machine: admission.NewMachine(admission.Config{}), queued: map[admission.Ticket]*inversionCall{},
	}
	s.machine.Start(s.now, "1", inversionSlots)
	s.machine.SetWarmup(s.now, 30, s.now)
	s.changeSpeed()
	s.arrivals(inversionUrgentPerSecond, func() {
		s.urgent++
		s.offer(&inversionCall{
			urgent: true, work: s.workAround(inversionUrgentWork),
			objective: s.now.Add(inversionUrgentObjective), deadline: s.now.Add(inversionUrgentDeadline),
		})
	})
	s.arrivals(inversionParentsPerSecond*inversionNestedShare, func() {
		s.parents++
		s.offerNested(inversionNestedCalls - 1)
	})
	for len(s.events) > 0 {
		event := heap.Pop(&s.events).(burstEvent)
		if event.at.Sub(start) > inversionLength {
			break
		}
		s.now = event.at
		event.run()
	}
	return s
}

// arrivals calls arrive at random times with the given mean rate.
func (s *inversionSimulation) arrivals(perSecond float64, arrive func()) {
	for at := time.Duration(0); at < inversionLength; {
		at += time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second))
		s.after(at, arrive)
	}
}

func (s *inversionSimulation) workAround(mean time.Duration) time.Duration {
	return time.Duration((0.5 + s.random.Float64()) * float64(mean))
}

func (s *inversionSimulation) changeSpeed() {
	s.slowdown = 1
	if s.random.Float64() < inversionSlowShare {
		s.slowdown = burstSlowdown
	}
	s.handleEvents(s.machine.SetSlowdown(s.now, s.slowdown))
	s.after(burstSpeedInterval, s.changeSpeed)
}

func (s *inversionSimulation) offerNested(remaining int) {
	s.offer(&inversionCall{
		remaining: remaining, work: s.workAround(inversionNestedWork),
		objective: s.now.Add(inversionNestedDeadline), deadline: s.now.Add(inversionNestedDeadline),
	})
}

func (s *inversionSimulation) offer(call *inversionCall) {
	request := admission.Request{Deadline: call.deadline, Objective: call.objective, Attempt: 1}
	request.Work = admission.Work{OwnTime: inversionUrgentWork}
	if !call.urgent {
		request.Urgency, request.Priority = overload.Nested, 2
		request.Work = admission.Work{OwnTime: inversionNestedWork}
	}
	ticket, verdict, _ := s.machine.Offer(s.now, request)
	switch verdict {
	case admission.Admitted:
		s.start(ticket, call)
	case admission.Queued:
		s.queued[ticket] = call
		expiry, _ := s.machine.Expiry(ticket)
		s.after(expiry.Sub(s.now), func() { s.handleEvents(s.machine.Expire(s.now)) })
	}
}

func (s *inversionSimulation) handleEvents(events []admission.Event) {
	for _, event := range append([]admission.Event(nil), events...) {
		call := s.queued[event.Ticket]
		delete(s.queued, event.Ticket)
		if event.Admitted {
			s.start(event.Ticket, call)
		}
	}
}

func (s *inversionSimulation) start(ticket admission.Ticket, call *inversionCall) {
	work := time.Duration(s.slowdown * float64(call.work))
	if float64(s.machine.Report().GetInFlight()) > burstHighUtilization*inversionSlots {
		work = time.Duration(burstHighUtilizationSlowdown * float64(work))
	}
	s.after(work, func() {
		s.finish(call)
		s.handleEvents(s.machine.Release(s.now, ticket, admission.Outcome{ServiceTime: work}))
	})
}

func (s *inversionSimulation) finish(call *inversionCall) {
	switch {
	case call.urgent && !s.now.After(call.objective):
		s.urgentInTime++
	case call.urgent || s.now.After(call.deadline):
	case call.remaining == 0:
		s.parentsServed++
	default:
		s.offerNested(call.remaining - 1)
	}
}

// TestNestedPriorityInversion guards against nested calls of less urgent requests that take
// the places of urgent callers. While they could use the slots that are kept free for speed,
// the number of running requests stayed at the limit of all others, which never started.
func TestNestedPriorityInversion(t *testing.T) {
	const seeds = 8
	for seed := range uint64(seeds) {
		s := simulateInversion(seed)
		urgentInTime := float64(s.urgentInTime) / float64(s.urgent)
		parentsServed := float64(s.parentsServed) / float64(s.parents)
		t.Logf("seed %d: urgent in time %.2f, parents served %.2f", seed, urgentInTime, parentsServed)
		assert.Assert(t, urgentInTime >= parentsServed-inversionMaxDeficit, "%.2f of the urgent requests, %.2f of the less urgent ones", urgentInTime, parentsServed)
	}
}
