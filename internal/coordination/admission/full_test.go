package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/coordination/admission"
)

// The simulated upstream resets each request beyond what it has room for. For some seconds,
// work that did not come through the node takes all of this room but fullRoom.
const (
	fullRequestsPerSecond = 40.0
	fullWork              = 100 * time.Millisecond
	fullStart, fullEnd    = 2 * time.Second, 8 * time.Second
	fullLength            = 15 * time.Second
)

// simulateFull returns the number of requests that the upstream resets and the number that it
// serves after it has had all of its room again for some seconds.
func simulateFull(fullRoom int, reset admission.Result) (resets, servedAtEnd int) {
	random := rand.New(rand.NewPCG(1, 5))
	start := time.Unix(1000, 0)
	m := admission.NewMachine(admission.Config{})
	m.Start(start, "1", burstSlots)
	m.SetWarmup(start, burstWarmupPerSecond, start)
	ends := map[admission.Ticket]time.Time{}
	begin := func(now time.Time, ticket admission.Ticket) {
		room := burstSlots
		if at := now.Sub(start); at >= fullStart && at < fullEnd {
			room = fullRoom
		}
		if len(ends) < room {
			ends[ticket] = now.Add(fullWork)
			return
		}
		resets++
		m.Release(now, ticket, admission.Outcome{Result: reset, ServiceTime: time.Millisecond})
	}
	for now := start; now.Sub(start) < fullLength; now = now.Add(time.Millisecond) {
		for ticket, end := range ends {
			if now.Before(end) {
				continue
			}
			delete(ends, ticket)
			m.Release(now, ticket, admission.Outcome{ServiceTime: fullWork})
			if now.Sub(start) > fullEnd+5*time.Second {
				servedAtEnd++
			}
		}
		if random.Float64() > fullRequestsPerSecond/1000 {
			continue
		}
		request := admission.Request{Deadline: now.Add(time.Microsecond)}
		if ticket, verdict, _ := m.Offer(now, request); verdict == admission.Admitted {
			begin(now, ticket)
		}
	}
	return resets, servedAtEnd
}

// TestFullUpstreamGetsFewer guards against sending on to an upstream that resets connections
// because it is full, each of which fails a request that may have run; and against a bound
// that outlives the reason for it.
func TestFullUpstreamGetsFewer(t *testing.T) {
	for _, room := range []int{0, 1, 3} {
		unheeded, usual := simulateFull(room, admission.ResultError)
		resets, served := simulateFull(room, admission.ResultReset)
		t.Logf("room for %d: %d resets, %d when they are not heeded; %d and %d served at the end", room, resets, unheeded, served, usual)
		assert.Check(t, resets*4 < unheeded, "%d resets, %d when they are not heeded", resets, unheeded)
		assert.Check(t, float64(served) >= 0.95*float64(usual), "%d served at the end, %d", served, usual)
	}
}

// TestFullUpstreamIsTriedAgain guards against queued requests that no event starts after the
// pause of an upstream that is full and has no request of this node.
func TestFullUpstreamIsTriedAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	m := warmMachine(now)
	for range 2 {
		ticket, verdict, _ := m.Offer(now, admission.Request{})
		assert.Equal(t, verdict, admission.Admitted, "a single reset has many causes")
		m.Release(now, ticket, admission.Outcome{Result: admission.ResultReset, ServiceTime: time.Millisecond})
	}
	_, verdict, _ := m.Offer(now, admission.Request{Objective: now.Add(time.Second)})
	assert.Equal(t, verdict, admission.Queued)
	at, startsByTimer := m.NextStart(now)
	assert.Assert(t, startsByTimer && at.After(now))
	events := m.Expire(at)
	assert.Equal(t, len(events), 1)
	assert.Assert(t, events[0].Admitted)
}
