package admission_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chicorylever/chicorylever/internal/coordination/admission"
	"github.com/chicorylever/chicorylever/internal/coordination/overload"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// warmMachine returns a machine with 5 slots, of which requests may use 4.
func warmMachine(now time.Time) *admission.Machine {
	m := admission.NewMachine(admission.Config{})
	m.Start(now, "1", 5)
	m.SetWarmup(now, 8.2, now)
	return m
}

// fillSlots admits 4 requests, so that the next one is queued.
func fillSlots(t *testing.T, m *admission.Machine, now time.Time) []admission.Ticket {
	var tickets []admission.Ticket
	for range 4 {
		ticket, verdict, _ := m.Offer(now, admission.Request{})
		assert.Equal(t, verdict, admission.Admitted)
		tickets = append(tickets, ticket)
	}
	return tickets
}

// TestNestedKeepsToLimit guards against nested requests beyond the limit, which slow the upstream
// down for as long as an overload lasts, and against a nested request that waits behind callers
// of the same priority.
func TestNestedKeepsToLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	m := warmMachine(now)
	running := fillSlots(t, m, now)
	caller, verdict, _ := m.Offer(now, admission.Request{Objective: now.Add(time.Second)})
	assert.Equal(t, verdict, admission.Queued)
	nested, verdict, _ := m.Offer(now, admission.Request{Urgency: overload.Nested, Deadline: now.Add(time.Second)})
	assert.Equal(t, verdict, admission.Queued)
	for i, want := range []admission.Ticket{nested, caller} {
		events := m.Release(now, running[i], admission.Outcome{Result: admission.ResultCancelled})
		assert.Equal(t, len(events), 1)
		assert.Assert(t, events[0].Ticket == want && events[0].Admitted)
		assert.Equal(t, int(m.Report().GetInFlight()), 4)
	}
}

// TestQueueOrder guards against serving late requests before requests that can still meet
// their objective, and against serving a higher priority value before a lower one among
// requests of the same urgency.
func TestQueueOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	rapid.Check(t, func(rt *rapid.T) {
		m := warmMachine(now)
		running := fillSlots(t, m, now)
		objective := now.Add(10 * time.Second)
		type queuedRequest struct {
			urgency  overload.Urgency
			priority int
		}
		queued := map[admission.Ticket]queuedRequest{}
		for range rapid.IntRange(2, 8).Draw(rt, "requests") {
			w := queuedRequest{
				urgency:  rapid.SampledFrom([]overload.Urgency{overload.InTime, overload.Late}).Draw(rt, "urgency"),
				priority: rapid.IntRange(0, 2).Draw(rt, "priority"),
			}
			request := admission.Request{Urgency: w.urgency, Priority: w.priority, Attempt: 1000}
			if w.urgency == overload.InTime {
				request.Objective = objective
			}
			ticket, verdict, _ := m.Offer(now, request)
			if verdict == admission.Queued {
				queued[ticket] = w
			}
		}
		var last *queuedRequest
		for _, ticket := range running {
			for _, event := range m.Release(now, ticket, admission.Outcome{Result: admission.ResultCancelled}) {
				w := queued[event.Ticket]
				assert.Assert(rt, event.Admitted)
				if last != nil {
					assert.Assert(rt, !w.urgency.Precedes(last.urgency))
					assert.Assert(rt, w.urgency != last.urgency || w.priority >= last.priority)
				}
				last = &w
			}
		}
	})
}

// TestTransientSlowdown guards against starting long requests on a VM during a transient
// slowdown, in which they would occupy their slots for several times as long; against
// delaying short requests, which end before the slowdown does; and against an upstream that
// stays slow and gets no requests.
func TestTransientSlowdown(t *testing.T) {
	now := time.Unix(1000, 0)
	long := admission.Request{Work: admission.Work{OwnTime: 160 * time.Millisecond}, Objective: now.Add(10 * time.Second)}
	short := admission.Request{Work: admission.Work{OwnTime: 40 * time.Millisecond}}
	m := warmMachine(now)
	m.SetSlowdown(now, 4)
	waiting, verdict, _ := m.Offer(now, long)
	assert.Equal(t, verdict, admission.Queued)
	_, verdict, _ = m.Offer(now, admission.Request{Urgency: overload.Nested, Work: short.Work})
	assert.Equal(t, verdict, admission.Admitted, "a nested request goes before the queued one")
	now = now.Add(300 * time.Millisecond)
	events := m.SetSlowdown(now, 1)
	assert.Equal(t, len(events), 1)
	assert.Assert(t, events[0].Ticket == waiting && events[0].Admitted)

	m.SetSlowdown(now, 4)
	_, verdict, _ = m.Offer(now, short)
	assert.Equal(t, verdict, admission.Admitted)
	_, verdict, _ = m.Offer(now, long)
	assert.Equal(t, verdict, admission.Queued)
	now = now.Add(2 * time.Second)
	events = m.SetSlowdown(now, 4)
	assert.Equal(t, len(events), 1)
	assert.Assert(t, events[0].Admitted, "a lasting slowdown counts as the usual speed")
}

// TestLateRequestIsRefusedAtOnce guards against queueing a request that cannot meet its
// objective behind others until the objective has passed.
func TestLateRequestIsRefusedAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	m := warmMachine(now)
	fillSlots(t, m, now)
	late := admission.Request{Work: admission.Work{OwnTime: 300 * time.Millisecond}, Objective: now.Add(290 * time.Millisecond)}
	for range 20 {
		_, verdict, reason := m.Offer(now, late)
		if verdict == admission.Refused {
			assert.Equal(t, reason, wire.RefusalReason_REFUSAL_QUEUE_FULL)
			return
		}
	}
	t.Fatal("no request was refused")
}

// TestEarliestStartFirst guards against queueing short requests with a near objective behind
// long requests of the same priority that can start later.
func TestEarliestStartFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	m := warmMachine(now)
	running := fillSlots(t, m, now)
	distant := admission.Request{Work: admission.Work{OwnTime: 190 * time.Millisecond}, Objective: now.Add(time.Second)}
	near := admission.Request{Work: admission.Work{OwnTime: 64 * time.Millisecond}, Objective: now.Add(200 * time.Millisecond)}
	first, verdict, _ := m.Offer(now, distant)
	assert.Equal(t, verdict, admission.Queued)
	second, verdict, _ := m.Offer(now, near)
	assert.Equal(t, verdict, admission.Queued)
	third, verdict, _ := m.Offer(now, near)
	assert.Equal(t, verdict, admission.Queued)
	for i, want := range []admission.Ticket{second, third, first} {
		events := m.Release(now, running[i], admission.Outcome{Result: admission.ResultCancelled})
		assert.Equal(t, len(events), 1)
		assert.Equal(t, events[0].Ticket, want)
	}
}

// TestNestedShare guards against nested requests of low priority that take the slots of callers
// with a higher priority, and against nested requests that fail, with the work of their parents,
// because such callers take all slots.
func TestNestedShare(t *testing.T) {
	now := time.Unix(1000, 0)
	m := warmMachine(now)
	running := fillSlots(t, m, now)
	highPriority := admission.Request{Priority: 1, Objective: now.Add(time.Second)}
	nested := admission.Request{Priority: 2, Urgency: overload.Nested, Deadline: now.Add(time.Second)}
	var queued []admission.Ticket
	for _, request := range []admission.Request{highPriority, nested, nested, nested} {
		ticket, verdict, _ := m.Offer(now, request)
		assert.Equal(t, verdict, admission.Queued)
		queued = append(queued, ticket)
	}
	caller, inShare, beyondShare := queued[0], queued[1:3], queued[3]
	for i, want := range []admission.Ticket{inShare[0], inShare[1], caller, beyondShare} {
		events := m.Release(now, running[i], admission.Outcome{Result: admission.ResultCancelled})
		assert.Equal(t, len(events), 1)
		assert.Equal(t, events[0].Ticket, want)
	}
}

// TestColdHasNoNestedShare guards against nested requests of low priority that take the rate of
// a cold upstream from callers of higher priority.
func TestColdHasNoNestedShare(t *testing.T) {
	now := time.Unix(1000, 0)
	m := admission.NewMachine(admission.Config{})
	m.Start(now, "1", 5)
	m.SetWarmup(now, 8.2, now.Add(10*time.Second))
	var caller admission.Ticket
	verdict := admission.Admitted
	for verdict == admission.Admitted {
		caller, verdict, _ = m.Offer(now, admission.Request{Objective: now.Add(time.Second)})
		m.Release(now, caller, admission.Outcome{Result: admission.ResultCancelled})
	}
	assert.Equal(t, verdict, admission.Queued)
	_, verdict, _ = m.Offer(now, admission.Request{Priority: 2, Urgency: overload.Nested, Deadline: now.Add(time.Second)})
	assert.Equal(t, verdict, admission.Queued)
	next, found := m.NextStart(now)
	assert.Assert(t, found)
	events := m.Expire(next)
	assert.Equal(t, len(events), 1)
	assert.Assert(t, events[0].Ticket == caller && events[0].Admitted, "the nested request went before the caller")
}

// TestOverdueNestedGoesLast guards against an overload of nested requests in which each waits
// as long as the one before, so that all of their parents are late. A nested request whose
// parent can no longer meet its objective must get only the capacity that others leave.
func TestOverdueNestedGoesLast(t *testing.T) {
	now := time.Unix(1000, 0)
	m := warmMachine(now)
	running := fillSlots(t, m, now)
	const work = 100 * time.Millisecond
	nested := func(objective time.Duration) admission.Request {
		return admission.Request{Urgency: overload.Nested, Work: admission.Work{OwnTime: work}, Objective: now.Add(objective), Deadline: now.Add(10 * time.Second)}
	}
	overdue, verdict, _ := m.Offer(now, nested(work/2))
	assert.Equal(t, verdict, admission.Queued)
	near, verdict, _ := m.Offer(now, nested(3*work))
	assert.Equal(t, verdict, admission.Queued)
	far, verdict, _ := m.Offer(now, nested(time.Second))
	assert.Equal(t, verdict, admission.Queued)
	release := func(i int) admission.Ticket {
		events := m.Release(now, running[i], admission.Outcome{Result: admission.ResultCancelled})
		assert.Equal(t, len(events), 1)
		assert.Assert(t, events[0].Admitted)
		return events[0].Ticket
	}
	now = now.Add(3 * work) // the request with the near objective became overdue in the queue
	assert.Equal(t, release(0), far)
	assert.Equal(t, release(1), overdue)
	assert.Equal(t, release(2), near)
}

// TestMarginBeforeDeadline guards against a request that stays queued until only its mean
// service time is left before its deadline: half of such requests would run and end too
// late.
func TestMarginBeforeDeadline(t *testing.T) {
	now := time.Unix(1000, 0)
	m := warmMachine(now)
	fillSlots(t, m, now)
	const work = 100 * time.Millisecond
	nested := admission.Request{Urgency: overload.Nested, Work: admission.Work{OwnTime: work}, Deadline: now.Add(5 * work)}
	waiting, verdict, _ := m.Offer(now, nested)
	assert.Equal(t, verdict, admission.Queued)
	expiry, _ := m.Expiry(waiting)
	assert.Equal(t, expiry, now.Add(5*work-work*6/5))
}
