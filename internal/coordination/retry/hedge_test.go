package retry_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/coordination/balance"
	"github.com/chicorylever/chicorylever/internal/coordination/budget"
	"github.com/chicorylever/chicorylever/internal/coordination/retry"
)

// bursts returns a slowdown by factor for share of each period.
func bursts(factor, share float64, period time.Duration, affects func(upstream int) bool) func(int, time.Duration, float64) float64 {
	return func(upstream int, at time.Duration, phase float64) float64 {
		position := at.Seconds()/period.Seconds() + phase
		if affects(upstream) && position-float64(int(position)) < share {
			return factor
		}
		return 1
	}
}

func everyUpstream(int) bool { return true }

func noUpstream(int) bool { return false }

func hedgeLoads() map[string]hedgeLoad {
	usual := bursts(1, 0, time.Second, noUpstream)
	return map[string]hedgeLoad{
		"one slow upstream of 39":                  {load: 0.5, share: 0.05, slowdown: bursts(10, 0.3, time.Second, func(i int) bool { return i == 0 })},
		"noise 4 times for a quarter of the time":  {load: 0.4, share: 0.05, slowdown: bursts(4, 0.25, 1200*time.Millisecond, everyUpstream)},
		"lost response":                            {load: 0.5, share: 0.05, lost: 0.005, slowdown: usual},
		"overload":                                 {load: 1.3, share: 0.05, slowdown: usual},
		"limit 0":                                  {load: 0.4, share: 0, slowdown: bursts(4, 0.25, 1200*time.Millisecond, everyUpstream)},
		"overload with noise at 1.1 of the places": {load: 1.1, share: 0.05, slowdown: bursts(4, 0.25, 1200*time.Millisecond, everyUpstream)},
	}
}

// BenchmarkHedge prints the table of docs/policy.md.
func BenchmarkHedge(b *testing.B) {
	for name, load := range hedgeLoads() {
		for seed := range uint64(3) {
			for _, mode := range []string{"off", "before", "now"} {
				l := load
				l.before = mode == "before"
				if mode == "off" {
					l.share = 0
				}
				s := runHedgeLoad(l, seed+1)
				fmt.Printf("| %s | %d | %s | %.0f | %.0f | %.0f | %.2f | %.2f | %d | %d | %.1f |\n", name, seed+1, mode, s.quantileMs(0.5), s.quantileMs(0.99),
					s.quantileMs(0.999), 100*s.lateShare(), 100*float64(s.hedges)/float64(s.requests), s.won, s.notRun, s.wasted.Seconds())
			}
		}
	}
}

// TestHedgeUnderLoad guards, under each load, against hedges beyond the share of the
// operators, against hedges of no use where they should help, and against hedges in overload
// or with the limit 0.
func TestHedgeUnderLoad(t *testing.T) {
	const overloadShare = 0.001 // what may be sent before the queues have formed
	for name, load := range hedgeLoads() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			hedged := runHedgeLoad(load, 1)
			allowed := load.share * float64(hedged.requests)
			if load.load > 1 {
				allowed = overloadShare * float64(hedged.requests)
			}
			assert.Assert(t, float64(hedged.hedges) <= allowed, "%d hedges of %d requests", hedged.hedges, hedged.requests)
			if load.load > 1 || load.share == 0 {
				return
			}
			unhedged := load
			unhedged.share = 0
			assert.Assert(t, hedged.lateShare() < runHedgeLoad(unhedged, 1).lateShare())
			before := load
			before.before = true
			assert.Assert(t, hedged.lateShare() < runHedgeLoad(before, 1).lateShare())
		})
	}
}

// TestHedgeNeedsBothLimits guards against a hedge that only the hedge share or only the retry
// limit over all nodes allows.
func TestHedgeNeedsBothLimits(t *testing.T) {
	for _, c := range []struct {
		name     string
		share    float64
		ratio    float64
		mayRetry bool
		want     retry.HedgeVerdict
	}{
		{"both allow it", 1, 1, false, retry.HedgeSend},
		{"hedge share used up", 0.001, 1, true, retry.HedgeNoBudget},
		{"retry limit used up", 1, 0.0001, false, retry.HedgeNoBudget},
		{"hedging off", 0, 1, true, retry.HedgeTooEarly},
	} {
		p := retry.New(start, retry.Config{ClusterLimit: budget.Limit{Ratio: c.ratio, Window: time.Second}, Nodes: 1})
		p.SetShares(1, c.share)
		for range 100 {
			p.RecordFirstAttempt(start)
			p.ObserveLatency(10 * time.Millisecond)
		}
		warm := balance.Candidate{Slots: 4}
		verdict := p.TakeHedge(start, retry.Hedge{Repeatable: true, Waited: time.Second, Target: &warm})
		assert.Equal(t, verdict, c.want, c.name)
		retried := p.Decide(start, retry.Failure{NotRun: true, Resendable: true, Attempts: 1, Remaining: time.Second}) == retry.VerdictRetry
		assert.Equal(t, retried, c.mayRetry, c.name)
	}
}

// TestHedgeTarget guards against a hedge to an upstream whose quote says that it is cold, slow,
// full or closed, and against hedges while the quoted upstreams are short of places.
func TestHedgeTarget(t *testing.T) {
	free := balance.Quote{Open: true, Running: 1, Limit: 4, Slowdown: 1}
	with := func(change func(q *balance.Quote)) balance.Quote {
		q := free
		change(&q)
		return q
	}
	busy := with(func(q *balance.Quote) { q.Running, q.Queued = 4, 2 })
	for name, c := range map[string]struct {
		target balance.Quote
		others []*balance.Quote
		want   retry.HedgeVerdict
	}{
		"free":              {free, []*balance.Quote{&free, nil}, retry.HedgeSend},
		"cold":              {with(func(q *balance.Quote) { q.Cold = true }), nil, retry.HedgeTargetBusy},
		"slow":              {with(func(q *balance.Quote) { q.Slowdown = 4 }), nil, retry.HedgeTargetBusy},
		"full":              {with(func(q *balance.Quote) { q.Running = 4 }), nil, retry.HedgeTargetBusy},
		"rate limit":        {with(func(q *balance.Quote) { q.QueueWait = time.Millisecond }), nil, retry.HedgeTargetBusy},
		"closed":            {with(func(q *balance.Quote) { q.Open = false }), nil, retry.HedgeTargetBusy},
		"short of places":   {free, []*balance.Quote{&free, &busy, &busy, &busy}, retry.HedgeNoRoom},
		"one other is busy": {free, []*balance.Quote{&free, &free, &free, &busy}, retry.HedgeSend},
	} {
		p := retry.New(start, retry.Config{HedgeShare: 1})
		for range 100 {
			p.RecordFirstAttempt(start)
			p.ObserveLatency(10 * time.Millisecond)
		}
		h := retry.Hedge{Repeatable: true, Waited: time.Second, Target: &balance.Candidate{}, TargetQuote: &c.target, Quotes: c.others}
		assert.Equal(t, p.TakeHedge(start, h), c.want, name)
	}
}
