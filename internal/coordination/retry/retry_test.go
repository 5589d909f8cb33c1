package retry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chicorylever/chicorylever/internal/coordination/balance"
	"github.com/chicorylever/chicorylever/internal/coordination/retry"
)

var start = time.Unix(1000, 0)

// TestBudget guards against more retries in any time window than the share of its first
// attempts, the minimum rate and the tokens saved before it allow.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		minPerSecond := rapid.Float64Range(0, 5).Draw(t, "minPerSecond")
		const maxSaved = 10
		now, b := start, retry.NewBudget(start, share, minPerSecond)
		type point struct {
			at    time.Time
			bound float64 // tokens added by the share and the minimum rate since the start
			taken int
		}
		points := []point{{at: start}}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			last := points[len(points)-1]
			gap := time.Duration(rapid.IntRange(0, 50).Draw(t, "gap")) * time.Millisecond
			now = now.Add(gap)
			next := point{at: now, bound: last.bound + minPerSecond*gap.Seconds(), taken: last.taken}
			if rapid.Bool().Draw(t, "first") {
				b.Earn(now)
				next.bound += share
			} else if b.Take(now) {
				next.taken++
			}
			points = append(points, next)
		}
		for i := range points {
			for k := i; k < len(points); k++ {
				taken := float64(points[k].taken - points[i].taken)
				assert.Assert(t, taken <= maxSaved+minPerSecond+points[k].bound-points[i].bound+1e-6)
			}
		}
	})
}

// TestDecide guards against retrying a request that may have run and must not run twice,
// and against retries without a buffered body, remaining time or remaining attempts.
func TestDecide(t *testing.T) {
	retryable := retry.Failure{NotRun: true, Resendable: true, Attempts: 1, Remaining: time.Second}
	with := func(modify func(f *retry.Failure)) retry.Failure {
		f := retryable
		modify(&f)
		return f
	}
	for name, c := range map[string]struct {
		failure retry.Failure
		want    retry.Verdict
	}{
		"not run":                  {retryable, retry.VerdictRetry},
		"may have run":             {with(func(f *retry.Failure) { f.NotRun = false }), retry.VerdictNotRepeatable},
		"may have run, repeatable": {with(func(f *retry.Failure) { f.NotRun = false; f.Repeatable = true }), retry.VerdictRetry},
		"body not buffered":        {with(func(f *retry.Failure) { f.Resendable = false }), retry.VerdictNotResendable},
		"retried by callee":        {with(func(f *retry.Failure) { f.Retried = true }), retry.VerdictRetriedByCallee},
		"third attempt failed":     {with(func(f *retry.Failure) { f.Attempts = 3 }), retry.VerdictMaxAttempts},
		"no time for the attempt":  {with(func(f *retry.Failure) { f.Remaining = 0 }), retry.VerdictDeadlineTooClose},
	} {
		assert.Equal(t, retry.New(start, retry.Config{}).Decide(start, c.failure), c.want, name)
	}
}

// callChain calls a service that always fails through a chain of hops, each with its
// policy. It returns the number of calls of the failing service and whether the callers
// must not retry.
func callChain(hops []*retry.Policy, now time.Time) (int, bool) {
	if len(hops) == 0 {
		return 1, false
	}
	hops[0].RecordFirstAttempt(now)
	totalCalls := 0
	for attempt := 1; ; attempt++ {
		calls, calleeRetried := callChain(hops[1:], now)
		totalCalls += calls
		f := retry.Failure{Repeatable: true, Resendable: true, Retried: calleeRetried, Attempts: attempt, Remaining: time.Second}
		if v := hops[0].Decide(now, f); v != retry.VerdictRetry {
			return totalCalls, v.StopsCallerRetries(attempt)
		}
	}
}

// TestRetriesDoNotMultiply guards against retries that multiply along a chain of 7 hops
// when each hop retries the failures of the next one.
func TestRetriesDoNotMultiply(t *testing.T) {
	var hops []*retry.Policy
	for range 7 {
		hops = append(hops, retry.New(start, retry.Config{}))
	}
	const requests = 10000
	calls := 0
	for i := range requests {
		n, _ := callChain(hops, start.Add(time.Duration(i)*time.Millisecond))
		calls += n
	}
	assert.Assert(t, calls <= requests*13/10, "%d calls for %d requests", calls, requests)
}

// TestHedge guards against hedges to cold, leaving or full upstreams, of requests that
// must not run twice, before the hedge delay, and beyond the budget.
func TestHedge(t *testing.T) {
	p := retry.New(start, retry.Config{HedgeShare: 0.1})
	const requests = 1000
	for i := range requests {
		p.RecordFirstAttempt(start)
		p.ObserveLatency(time.Duration(1+i%100) * time.Millisecond)
	}
	delay, known := p.HedgeDelay(retry.Primary{})
	assert.Assert(t, known && delay > 85*time.Millisecond && delay < 105*time.Millisecond, "hedge delay %v", delay)
	warm := balance.Candidate{Slots: 4, Report: balance.LoadReport{Limit: 4, InFlight: 3}}
	full, cold, leaving := warm, warm, warm
	full.Report.Queued = 1
	cold.State = balance.StateCold
	leaving.State = balance.StateLeaving
	allowed := func(repeatable bool, waited time.Duration, target *balance.Candidate) bool {
		return p.TakeHedge(start, retry.Hedge{Repeatable: repeatable, Waited: waited, Target: target}) == retry.HedgeSend
	}
	assert.Assert(t, !allowed(true, delay, &full))
	assert.Assert(t, !allowed(true, delay, &cold))
	assert.Assert(t, !allowed(true, delay, &leaving))
	assert.Assert(t, !allowed(false, delay, &warm))
	assert.Assert(t, !allowed(true, delay-1, &warm))
	hedges := 0
	for range requests {
		p.RecordFirstAttempt(start)
		if allowed(true, delay, &warm) {
			hedges++
		}
	}
	assert.Assert(t, hedges >= 50 && hedges <= 10+requests/10, "%d hedges", hedges)
}
