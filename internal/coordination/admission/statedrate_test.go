package admission_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chicorylever/chicorylever/internal/coordination/admission"
	"github.com/chicorylever/chicorylever/internal/coordination/overload"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// newLimitedMachine returns a machine whose upstream has many slots and states a rate.
func newLimitedMachine(now time.Time, perSecond float64) *admission.Machine {
	m := admission.NewMachine(admission.Config{})
	m.Start(now, "1", 64)
	m.SetWarmup(now, 1000, now)
	m.SetStatedRate(now, perSecond)
	return m
}

// TestStatedRateBound guards against an upstream in need that gets more requests in some 4 s
// than one and a half times the rate that it states allows, plus 5: at pauses and bursts of the
// callers, at changes of the rate, and when the node beside it restarts and learns the rate
// anew.
func TestStatedRateBound(t *testing.T) {
	const window = 4 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		lowest := rapid.Float64Range(0, 20).Draw(t, "rate per second")
		highest := lowest
		now := time.Unix(1000, 0)
		m := newLimitedMachine(now, lowest)
		restartAt := rapid.IntRange(0, 8000).Draw(t, "restart at ms")
		pauseAt, pauseMs := rapid.IntRange(0, 8000).Draw(t, "pause at ms"), rapid.IntRange(0, 3000).Draw(t, "pause ms")
		changeAt, change := rapid.IntRange(0, 8000).Draw(t, "change at ms"), rapid.Float64Range(0, 20).Draw(t, "other rate")
		var sent []time.Time
		for ms := range 8000 {
			now = now.Add(time.Millisecond)
			switch ms {
			case restartAt:
				m = newLimitedMachine(now, lowest)
			case changeAt:
				m.SetStatedRate(now, change)
				highest, lowest = max(highest, change), change
			}
			if ms >= pauseAt && ms < pauseAt+pauseMs {
				continue
			}
			ticket, verdict, _ := m.Offer(now, admission.Request{Deadline: now.Add(time.Microsecond)})
			if verdict != admission.Admitted {
				continue
			}
			sent = append(sent, now)
			m.Release(now, ticket, admission.Outcome{ServiceTime: time.Millisecond})
		}
		for i := range sent {
			count := 0
			for k := i; k < len(sent) && sent[k].Sub(sent[i]) < window; k++ {
				count++
			}
			assert.Assert(t, float64(count) <= 1.5*highest*window.Seconds()+5, "%d requests in 4 s", count)
		}
	})
}

// TestStatedRateIsUsed guards against an upstream that gets far fewer requests than it states
// it accepts while callers ask for it, and against a bound that outlives the need.
func TestStatedRateIsUsed(t *testing.T) {
	const perSecond = 10.0
	now := time.Unix(1000, 0)
	m := newLimitedMachine(now, perSecond)
	send := func(ms int) (sent int) {
		for range ms {
			now = now.Add(time.Millisecond)
			if ticket, verdict, _ := m.Offer(now, admission.Request{Deadline: now.Add(time.Microsecond)}); verdict == admission.Admitted {
				sent++
				m.Release(now, ticket, admission.Outcome{ServiceTime: time.Millisecond})
			}
		}
		return sent
	}
	sent := send(4000)
	assert.Assert(t, float64(sent) >= 4*perSecond-1, "%d requests in 4 s", sent)
	m.ClearStatedRate(now)
	assert.Equal(t, send(1000), 1000)
	m.SetStatedRate(now, 0)
	assert.Assert(t, send(1000) <= 1, "the upstream states that it takes nothing")
	assert.Equal(t, m.Wait(now, admission.Request{}), time.Hour)
	m.Start(now, "2", 64)
	assert.Equal(t, send(1000), 1000, "the rate was stated by an earlier start")
}

// TestStatedRateRefusesAtOnce guards against requests that wait although the stated rate cannot
// serve them before their objective, both when they arrive and when the rate is stated while
// they wait.
func TestStatedRateRefusesAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	m := newLimitedMachine(now, 2)
	request := admission.Request{
		Objective: now.Add(1200 * time.Millisecond), Deadline: now.Add(3 * time.Second),
		Work: admission.Work{OwnTime: 100 * time.Millisecond},
	}
	offer := func() (admission.Verdict, wire.RefusalReason) {
		_, verdict, reason := m.Offer(now, request)
		return verdict, reason
	}
	verdict, _ := offer()
	assert.Equal(t, verdict, admission.Admitted)
	for range 2 { // served after 0.5 and 1 s
		verdict, _ = offer()
		assert.Equal(t, verdict, admission.Queued)
	}
	verdict, reason := offer()
	assert.Equal(t, verdict, admission.Refused)
	assert.Equal(t, reason, wire.RefusalReason_REFUSAL_RATE_LIMITED)
	events := m.SetStatedRate(now, 0.9)
	assert.Equal(t, len(events), 2, "at this rate both would wait beyond their objective")
	for _, event := range events {
		assert.Equal(t, event.Reason, wire.RefusalReason_REFUSAL_RATE_LIMITED)
	}
}

// TestStatedRateServesByPriority guards against an overload pattern in which the few requests
// that an upstream in need takes are spent on calls of less urgent requests, because a nested
// call goes before a caller of higher priority.
func TestStatedRateServesByPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := admission.NewGate(admission.Config{}, time.Now)
		g.Start("1", 64)
		g.SetWarmup(1000, time.Now())
		g.SetStatedRate(10)
		started := make(chan string, 3)
		acquire := func(name string, urgency overload.Urgency, priority int) {
			go func() {
				objective := time.Now().Add(time.Second)
				_, err := g.Acquire(context.Background(), admission.Request{
					Urgency: urgency, Priority: priority, Objective: objective, Deadline: objective, Work: admission.Work{OwnTime: time.Millisecond},
				})
				assert.Check(t, err)
				started <- name
			}()
			synctest.Wait()
		}
		acquire("first", overload.InTime, 1)
		assert.Equal(t, <-started, "first")
		acquire("nested, less urgent", overload.Nested, 2)
		acquire("caller", overload.InTime, 1)
		acquire("nested", overload.Nested, 1)
		assert.Equal(t, <-started, "nested")
		assert.Equal(t, <-started, "caller")
		assert.Equal(t, <-started, "nested, less urgent")
	})
}

// TestRaisedRateStartsQueued guards against queued requests that wait for a timer which was set
// for a lower rate than the upstream states by now.
func TestRaisedRateStartsQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := admission.NewGate(admission.Config{}, time.Now)
		g.Start("1", 64)
		g.SetWarmup(1000, time.Now())
		g.SetStatedRate(0.5)
		waited := make(chan time.Duration, 3)
		for range 3 {
			go func() {
				startedAt := time.Now()
				objective := startedAt.Add(10 * time.Second)
				_, err := g.Acquire(context.Background(), admission.Request{
					Objective: objective, Deadline: objective, Work: admission.Work{OwnTime: time.Millisecond},
				})
				assert.Check(t, err)
				waited <- time.Since(startedAt)
			}()
			synctest.Wait()
		}
		assert.Equal(t, <-waited, time.Duration(0))
		g.SetStatedRate(10)
		assert.Assert(t, <-waited < 120*time.Millisecond)
		assert.Assert(t, <-waited < 220*time.Millisecond)
	})
}
