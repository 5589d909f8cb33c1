package admission_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/coordination/admission"
	"github.com/chicorylever/chicorylever/internal/coordination/overload"
)

// TestColdUpstreamServesInOrder guards against a cold upstream whose limited rate is spent in
// order of arrival: nested requests must go first. Queued requests must start as soon as the
// rate allows, without any other event.
func TestColdUpstreamServesInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perSecond = 8.0
		// 95 % of the factor is used, which gives one request per 100 ms.
		g := admission.NewGate(admission.Config{ColdTolerance: admission.ColdTolerance{Factor: 1.25 / 0.95, Slack: 6}}, time.Now)
		g.Start("1", 64)
		g.SetWarmup(perSecond, time.Now().Add(time.Hour))
		acquire := func(urgency overload.Urgency) (<-chan time.Duration, time.Time) {
			calledAt, waits := time.Now(), make(chan time.Duration, 1)
			go func() {
				_, err := g.Acquire(context.Background(), admission.Request{
					Urgency: urgency, Work: admission.Work{OwnTime: time.Millisecond},
					Objective: calledAt.Add(500 * time.Millisecond), Deadline: calledAt.Add(500 * time.Millisecond),
				})
				if err == nil {
					waits <- time.Since(calledAt)
				}
				close(waits)
			}()
			synctest.Wait()
			return waits, calledAt
		}
		first, _ := acquire(overload.InTime)
		assert.Equal(t, <-first, time.Duration(0))
		caller, _ := acquire(overload.InTime)
		nested, _ := acquire(overload.Nested)
		wait := <-nested
		assert.Assert(t, wait > 90*time.Millisecond && wait < 120*time.Millisecond, "%v", wait)
		wait = <-caller
		assert.Assert(t, wait > 190*time.Millisecond && wait < 220*time.Millisecond, "%v", wait)
		var attempts []<-chan time.Duration
		for range 10 {
			waits, _ := acquire(overload.InTime)
			attempts = append(attempts, waits)
		}
		served := 0
		for _, waits := range attempts {
			if _, ok := <-waits; ok {
				served++
			}
		}
		assert.Assert(t, served >= 4 && served <= 6, "%d of 10 requests started within half a second", served)
	})
}

// TestNoTimerWithoutCapacity guards against a start timer that fires repeatedly while the
// rate of a cold upstream allows a request, but all slots are taken or the request is
// delayed until the end of a transient slowdown.
func TestNoTimerWithoutCapacity(t *testing.T) {
	now := time.Unix(1000, 0)
	m := admission.NewMachine(admission.Config{})
	m.Start(now, "1", 1)
	m.SetWarmup(now, 8, now.Add(time.Hour))
	request := admission.Request{Work: admission.Work{OwnTime: 160 * time.Millisecond}, Objective: now.Add(10 * time.Second)}
	running, verdict, _ := m.Offer(now, request)
	assert.Equal(t, verdict, admission.Admitted)
	now = now.Add(time.Second)
	_, verdict, _ = m.Offer(now, request)
	assert.Equal(t, verdict, admission.Queued)
	_, startsByTimer := m.NextStart(now)
	assert.Assert(t, !startsByTimer, "the only slot is taken")
	m.SetSlowdown(now, 4)
	assert.Equal(t, len(m.Release(now, running, admission.Outcome{Result: admission.ResultCancelled})), 0)
	_, startsByTimer = m.NextStart(now)
	assert.Assert(t, !startsByTimer, "the request is delayed by a transient slowdown")
	assert.Equal(t, len(m.SetSlowdown(now, 1)), 1)
}

// TestColdIsNoTransientSlowdown guards against taking the usual slowdown of a cold upstream
// for a transient one, so that long requests wait while slots and rate are available. A
// transient slowdown beyond the usual one must still delay them.
func TestColdIsNoTransientSlowdown(t *testing.T) {
	now := time.Unix(1000, 0)
	m := admission.NewMachine(admission.Config{})
	m.Start(now, "1", 9)
	m.SetWarmup(now, 16, now.Add(time.Hour))
	request := admission.Request{Work: admission.Work{OwnTime: 400 * time.Millisecond}, Objective: now.Add(10 * time.Second)}
	m.SetSlowdown(now, 2)
	_, verdict, _ := m.Offer(now, request)
	assert.Equal(t, verdict, admission.Admitted)
	now = now.Add(time.Second)
	m.SetSlowdown(now, 8)
	_, verdict, _ = m.Offer(now, request)
	assert.Equal(t, verdict, admission.Queued)
	assert.Equal(t, len(m.SetSlowdown(now, 2)), 1)
}
