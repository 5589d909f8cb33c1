package balance_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chicorylever/chicorylever/internal/coordination/balance"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// TestPick guards against choosing instances that are leaving, in a zone that is out,
// already tried or excluded by a recent refusal; against choosing none while one is
// available; and against ejecting more than the allowed share.
func TestPick(t *testing.T) {
	states := []balance.State{
		balance.StateWarm, balance.StateWarm, balance.StateWarm, balance.StateCold,
		balance.StateLeaving, balance.StateZoneOut, balance.StateEjected,
	}
	rapid.Check(t, func(t *rapid.T) {
		p := balance.New(balance.Config{Zone: "a"}, rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed"))))
		n := rapid.IntRange(1, 8).Draw(t, "instances")
		candidates := make([]balance.Candidate, n)
		excludedUntil := map[string]time.Time{}
		now := epoch
		for i := range candidates {
			candidates[i] = balance.Candidate{ID: fmt.Sprint(i), Zone: string(rune('a' + i%3)), Slots: 6}
		}
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			changed := &candidates[rapid.IntRange(0, n-1).Draw(t, "changed")]
			changed.State = rapid.SampledFrom(states).Draw(t, "state")
			changed.InFlight = rapid.IntRange(0, 10).Draw(t, "inflight")
			tried := map[string]bool{fmt.Sprint(rapid.IntRange(0, 2*n).Draw(t, "tried")): true}
			allowed := map[string]bool{}
			for _, c := range candidates {
				available := c.State != balance.StateLeaving && c.State != balance.StateZoneOut
				allowed[c.ID] = available && !tried[c.ID] && !now.Before(excludedUntil[c.ID])
			}
			c, ok := p.Pick(now, "svc", candidates, tried)
			assert.Equal(t, ok, anyTrue(allowed), "an instance must be chosen if and only if one is available")
			if !ok {
				continue
			}
			assert.Assert(t, allowed[c.ID], "%s may not be chosen", c.ID)
			outcome := balance.Outcome{Result: balance.Result(rapid.IntRange(0, 4).Draw(t, "result")), Latency: time.Millisecond}
			if outcome.Result == balance.ResultRefused {
				outcome.Reason = wire.RefusalReason_REFUSAL_LEAVING
				excludedUntil[c.ID] = now.Add(500 * time.Millisecond)
			}
			p.Observe(now, c.ID, outcome)
			ejected := 0
			for _, c := range candidates {
				if p.Ejected(now, c.ID) {
					ejected++
				}
			}
			assert.Assert(t, ejected <= max(1, n*34/100) && ejected < n, "%d of %d ejected", ejected, n)
		}
	})
}

func anyTrue(set map[string]bool) bool {
	for _, value := range set {
		if value {
			return true
		}
	}
	return false
}

// trace holds the recorded requests of a simulation and the requirements that the policy
// must meet with them. ArrivalUs, EntryIndex and ServiceTimeUs hold one element for each
// request.
type trace struct {
	ArrivalUs     []int64       `json:"at_us"`
	EntryIndex    []int         `json:"entry"`
	ServiceTimeUs []int64       `json:"service_us"`
	Required      []requirement `json:"required"`
}

func (t *trace) record(requests []request) {
	t.ArrivalUs, t.EntryIndex, t.ServiceTimeUs = nil, nil, nil
	for _, r := range requests {
		t.ArrivalUs = append(t.ArrivalUs, r.Arrival.Microseconds())
		t.EntryIndex = append(t.EntryIndex, r.Entry)
		t.ServiceTimeUs = append(t.ServiceTimeUs, r.ServiceTime.Microseconds())
	}
}

func (t *trace) requests() []request {
	var requests []request
	for i := range t.ArrivalUs {
		arrival, serviceTime := time.Duration(t.ArrivalUs[i]), time.Duration(t.ServiceTimeUs[i])
		requests = append(requests, request{Arrival: arrival * time.Microsecond, Entry: t.EntryIndex[i], ServiceTime: serviceTime * time.Microsecond})
	}
	return requests
}

// requirement bounds the outcome of the recorded requests under one variant's faults.
type requirement struct {
	Variant string `json:"variant"`
	// MaxP99Ms bounds the p99 latency of answered requests in milliseconds.
	MaxP99Ms float64 `json:"max_p99_ms"`
	// MaxRefused and MaxFailed bound the numbers of refused and failed requests.
	MaxRefused int `json:"max_refused"`
	MaxFailed  int `json:"max_failed"`
	// MinServedAfterReturn is the least number of requests that zone c serves after its last
	// change of state.
	MinServedAfterReturn int `json:"min_returned"`
}

const traceFile = "testdata/kingfisher.json"

// TestReplay guards against a policy that overloads the remaining instances when a zone is
// taken out, sends too few or too many requests to instances that return, or prefers an
// instance that is slow or fails fast. RECORD=1 rewrites the recorded requests and keeps the
// requirements.
func TestReplay(t *testing.T) {
	var recorded trace
	data, err := os.ReadFile(traceFile)
	assert.NilError(t, err)
	assert.NilError(t, json.Unmarshal(data, &recorded))
	base := kingfisherScenario()
	base.load, base.duration = 0.5, 1500*time.Millisecond
	if os.Getenv("RECORD") != "" {
		recorded.record(newSimulation(base, newPolicy, 1).generateRequests())
		data, err = json.Marshal(recorded)
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(traceFile, data, 0o600))
	}
	for _, want := range recorded.Required {
		for _, v := range variants() {
			if v.name != want.Variant {
				continue
			}
			sc := base
			sc.injectFaults, sc.reportDelay = v.injectFaults, v.reportDelay
			s := newSimulation(sc, newPolicy, 1)
			s.run(recorded.requests())
			assert.Equal(t, len(s.latencies)+s.refused+s.failed, len(recorded.ArrivalUs), want.Variant)
			assert.Check(t, s.latencyQuantileMs(0.99) <= want.MaxP99Ms, "%s: p99 %.1f ms", want.Variant, s.latencyQuantileMs(0.99))
			assert.Check(t, s.refused <= want.MaxRefused, "%s: %d requests refused", want.Variant, s.refused)
			assert.Check(t, s.upstreams[2].served >= want.MinServedAfterReturn, "%s: %d requests served in zone c", want.Variant, s.upstreams[2].served)
			assert.Check(t, s.failed <= want.MaxFailed, "%s: %d requests failed", want.Variant, s.failed)
		}
	}
}

// BenchmarkPick measures one Pick and one Observe.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{3, 30, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := balance.New(balance.Config{Zone: "a"}, rand.New(rand.NewPCG(1, 1)))
			candidates := make([]balance.Candidate, n)
			for i := range candidates {
				report := balance.LoadReport{InFlight: i % 6, Limit: 6, ServiceTime: meanServiceTime}
				candidates[i] = balance.Candidate{ID: fmt.Sprint(i), Zone: string(rune('a' + i%3)), Slots: 6, Report: report}
			}
			now := epoch
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				c, _ := p.Pick(now, "svc", candidates, nil)
				p.Observe(now, c.ID, balance.Outcome{Latency: meanServiceTime})
			}
		})
	}
}

// TestPickAfterZoneReturns guards against an instance that stays excluded after its zone is
// back in service. This happened when the instance's node had refused by a configuration
// revision that reached the entry node later.
func TestPickAfterZoneReturns(t *testing.T) {
	p := balance.New(balance.Config{Zone: "a"}, rand.New(rand.NewPCG(1, 1)))
	candidates := []balance.Candidate{{ID: "i", Zone: "a", Slots: 6, Revision: 1}}
	_, ok := p.Pick(epoch, "svc", candidates, nil)
	assert.Assert(t, ok)
	p.Observe(epoch, "i", balance.Outcome{Result: balance.ResultRefused, Reason: wire.RefusalReason_REFUSAL_ZONE_OUT, Revision: 2})
	_, ok = p.Pick(epoch, "svc", candidates, nil)
	assert.Assert(t, !ok, "the instance must be excluded while the entry node lacks the revision that took the zone out")
	candidates[0].Revision, candidates[0].State = 2, balance.StateZoneOut
	_, ok = p.Pick(epoch, "svc", candidates, nil)
	assert.Assert(t, !ok)
	candidates[0].Revision, candidates[0].State = 3, balance.StateCold
	_, ok = p.Pick(epoch, "svc", candidates, nil)
	assert.Assert(t, ok, "the instance must be chosen when its zone is back in service")
}
