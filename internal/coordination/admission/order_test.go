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

// warmMachine returns one of 5 slots, of which 4 are used by requests of callers.
func warmMachine(now time.Time) *admission.Machine {
	m := admission.NewMachine(admission.Config{})
	m.Start(now, "1", 5)
	m.SetWarmup(now, 8.2, now)
	return m
}

// fill admits requests until the next one would wait.
func fill(t *testing.T, m *admission.Machine, now time.Time) []admission.Ticket {
	var tickets []admission.Ticket
	for range 4 {
		ticket, verdict, _ := m.Offer(now, admission.Request{})
		assert.Equal(t, verdict, admission.Admitted)
		tickets = append(tickets, ticket)
	}
	return tickets
}

// TestNestedUsesReservedPlaces guards against refusing or delaying a call of a running
// request while the upstream has a slot, and against more requests than slots.
func TestNestedUsesReservedPlaces(t *testing.T) {
	now := time.Unix(1000, 0)
	m := warmMachine(now)
	fill(t, m, now)
	nested := admission.Request{Urgency: overload.Nested, Deadline: now.Add(time.Second)}
	_, verdict, _ := m.Offer(now, admission.Request{Objective: now.Add(time.Second)})
	assert.Equal(t, verdict, admission.Queued)
	_, verdict, _ = m.Offer(now, nested)
	assert.Equal(t, verdict, admission.Admitted)
	_, verdict, _ = m.Offer(now, nested)
	assert.Equal(t, verdict, admission.Queued, "all slots are taken")
}

// TestOrderOfWaiting guards against work that is wasted or late while work that can still
// be in time waits: nested requests first, late ones last, higher ranks before lower.
func TestOrderOfWaiting(t *testing.T) {
	now := time.Unix(1000, 0)
	rapid.Check(t, func(rt *rapid.T) {
		m := warmMachine(now)
		running := fill(t, m, now)
		objective := now.Add(10 * time.Second)
		type waiting struct {
			urgency overload.Urgency
			rank    int
		}
		waits := map[admission.Ticket]waiting{}
		for range rapid.IntRange(2, 8).Draw(rt, "requests") {
			w := waiting{
				urgency: rapid.SampledFrom([]overload.Urgency{overload.InTime, overload.Late}).Draw(rt, "urgency"),
				rank:    rapid.IntRange(0, 2).Draw(rt, "rank"),
			}
			request := admission.Request{Urgency: w.urgency, Rank: w.rank, Attempt: 1000}
			if w.urgency == overload.InTime {
				request.Objective = objective
			}
			ticket, verdict, _ := m.Offer(now, request)
			if verdict == admission.Queued {
				waits[ticket] = w
			}
		}
		var last *waiting
		for _, ticket := range running {
			for _, event := range m.Release(now, ticket, admission.Outcome{Result: admission.ResultCancelled}) {
				w := waits[event.Ticket]
				assert.Assert(rt, event.Admitted)
				if last != nil {
					assert.Assert(rt, !w.urgency.Precedes(last.urgency))
					assert.Assert(rt, w.urgency != last.urgency || w.rank >= last.rank)
				}
				last = &w
			}
		}
	})
}

// TestSlowSpell guards against starting long work on a VM that is slow for a moment, which
// would keep its place for several times as long; against holding short work, which is
// done before the spell ends; and against an upstream that stays slow and gets nothing.
func TestSlowSpell(t *testing.T) {
	now := time.Unix(1000, 0)
	long := admission.Request{Work: admission.Work{Own: 160 * time.Millisecond}, Objective: now.Add(10 * time.Second)}
	short := admission.Request{Work: admission.Work{Own: 40 * time.Millisecond}}
	m := warmMachine(now)
	m.SetSlowdown(now, 4)
	waiting, verdict, _ := m.Offer(now, long)
	assert.Equal(t, verdict, admission.Queued)
	_, verdict, _ = m.Offer(now, admission.Request{Urgency: overload.Nested, Work: short.Work})
	assert.Equal(t, verdict, admission.Admitted, "a nested call goes before the one that waits")
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
	assert.Assert(t, events[0].Admitted, "a lasting slowdown is the usual speed")
}

// TestLateRequestIsRefusedAtOnce guards against holding a request that can't be answered
// within its objective behind others until that has passed.
func TestLateRequestIsRefusedAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	m := warmMachine(now)
	fill(t, m, now)
	hopeless := admission.Request{Work: admission.Work{Own: 300 * time.Millisecond}, Objective: now.Add(290 * time.Millisecond)}
	for range 20 {
		_, verdict, reason := m.Offer(now, hopeless)
		if verdict == admission.Refused {
			assert.Equal(t, reason, wire.RefusalReason_REFUSAL_QUEUE_FULL)
			return
		}
	}
	t.Fatal("no request was refused")
}

// TestEarliestStartFirst guards against short requests with a near objective that wait
// behind long ones of the same rank, which have time.
func TestEarliestStartFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	m := warmMachine(now)
	running := fill(t, m, now)
	patient := admission.Request{Work: admission.Work{Own: 190 * time.Millisecond}, Objective: now.Add(time.Second)}
	near := admission.Request{Work: admission.Work{Own: 64 * time.Millisecond}, Objective: now.Add(200 * time.Millisecond)}
	first, verdict, _ := m.Offer(now, patient)
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

// TestNestedRanksWithItsParent guards against calls of less urgent requests that take all
// that a cold upstream bears from more urgent callers, and against a call that waits behind
// one that could not use its place.
func TestNestedRanksWithItsParent(t *testing.T) {
	now := time.Unix(1000, 0)
	m := warmMachine(now)
	running := fill(t, m, now)
	urgent := admission.Request{Rank: 1, Objective: now.Add(time.Second)}
	nested := admission.Request{Rank: 2, Urgency: overload.Nested, Deadline: now.Add(time.Second)}
	caller, verdict, _ := m.Offer(now, urgent)
	assert.Equal(t, verdict, admission.Queued)
	_, verdict, _ = m.Offer(now, nested)
	assert.Equal(t, verdict, admission.Admitted, "the caller may not use the last place")
	waiting, verdict, _ := m.Offer(now, nested)
	assert.Equal(t, verdict, admission.Queued)
	release := func(i int) admission.Ticket {
		events := m.Release(now, running[i], admission.Outcome{Result: admission.ResultCancelled})
		assert.Equal(t, len(events), 1)
		return events[0].Ticket
	}
	assert.Equal(t, release(0), waiting, "five run, the caller may be one of four")
	events := m.Release(now, running[1], admission.Outcome{Result: admission.ResultCancelled})
	assert.Equal(t, len(events), 0)
	assert.Equal(t, release(2), caller)
}

// TestOverdueNestedWaitsBehind guards against an overload of nested calls in which each
// waits as long as the one before, so that all of the requests that made them are late:
// one whose parent can't be in time any more takes what the others leave.
func TestOverdueNestedWaitsBehind(t *testing.T) {
	now := time.Unix(1000, 0)
	m := warmMachine(now)
	running := fill(t, m, now)
	const work = 100 * time.Millisecond
	nested := func(objective time.Duration) admission.Request {
		return admission.Request{Urgency: overload.Nested, Work: admission.Work{Own: work}, Objective: now.Add(objective), Deadline: now.Add(10 * time.Second)}
	}
	_, verdict, _ := m.Offer(now, nested(time.Second))
	assert.Equal(t, verdict, admission.Admitted, "the last place")
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
	now = now.Add(3 * work) // the near one has become overdue while it waited
	assert.Equal(t, release(0), far)
	assert.Equal(t, release(1), overdue)
	assert.Equal(t, release(2), near)
}

// TestMarginBeforeDeadline guards against a request that waits until just its mean work is
// left before its deadline: half of those would run and end too late.
func TestMarginBeforeDeadline(t *testing.T) {
	now := time.Unix(1000, 0)
	m := warmMachine(now)
	fill(t, m, now)
	const work = 100 * time.Millisecond
	nested := admission.Request{Urgency: overload.Nested, Work: admission.Work{Own: work}, Deadline: now.Add(5 * work)}
	_, verdict, _ := m.Offer(now, nested)
	assert.Equal(t, verdict, admission.Admitted, "the last place")
	waiting, verdict, _ := m.Offer(now, nested)
	assert.Equal(t, verdict, admission.Queued)
	expiry, _ := m.Expiry(waiting)
	assert.Equal(t, expiry, now.Add(5*work-work*6/5))
}
