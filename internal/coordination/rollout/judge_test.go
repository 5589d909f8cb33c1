package rollout

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/state/document"
)

// fast and slow are histograms of n response times around 24 ms and 96 ms.
func fast(n uint64) []uint64 { return []uint64{0, 0, 0, 0, 0, n} }
func slow(n uint64) []uint64 { return []uint64{0, 0, 0, 0, 0, 0, 0, n} }

func counts(failed uint64, histograms ...[]uint64) document.RolloutCounts {
	c := document.RolloutCounts{Failed: failed}
	for _, histogram := range histograms {
		other := document.RolloutCounts{Latency: histogram}
		for _, n := range histogram {
			other.Succeeded += n
		}
		c.Add(&other)
	}
	return c
}

// mix returns the window of all routes together.
func mix(routes ...Window) Window {
	all := Window{SpanMs: routes[0].SpanMs, Routes: routes}
	for i := range routes {
		all.Target.Add(&routes[i].Target)
		all.Other.Add(&routes[i].Other)
	}
	return all
}

// TestJudge guards against a verdict without evidence and against a bad version that is not
// recognized, by the pattern of the version.
func TestJudge(t *testing.T) {
	window := func(target, other document.RolloutCounts, spanMs int64) Window {
		return Window{Target: target, Other: other, SpanMs: spanMs}
	}
	good := window(counts(0, fast(300)), counts(5, fast(4000)), 30_000)
	cases := []struct {
		name   string
		series Series
		bad    bool
	}{
		{"good", Series{Whole: good}, false},
		{"bad at once", Series{Whole: window(counts(9, fast(20)), counts(2, fast(400)), 2000)}, true},
		{"bad later", Series{Whole: window(counts(12, fast(900)), counts(3, fast(9000)), 60_000), Recent: []Window{
			window(counts(12, fast(18)), counts(0, fast(300)), 2000),
		}}, true},
		{"slow at once", Series{Whole: window(counts(0, slow(20)), counts(0, fast(300)), 3000)}, true},
		{"slow later", Series{Whole: window(counts(0, fast(900), slow(30)), counts(0, fast(9000)), 60_000), Recent: []Window{
			window(counts(0, fast(5), slow(30)), counts(0, fast(300)), 3000),
		}}, true},
		{"a part is slow", Series{Whole: window(counts(0, fast(60), slow(40)), counts(0, fast(1500)), 10_000)}, true},
		{"noise on both sides", Series{Whole: window(counts(0, fast(58), slow(22)), counts(0, fast(750), slow(250)), 10_000)}, false},
		{"a burst of noise at one instance", Series{TargetNodes: 1, Whole: window(counts(0, fast(12), slow(12)), counts(0, fast(750), slow(250)), 600)}, false},
		{"failures on both sides", Series{Whole: window(counts(20, fast(80)), counts(250, fast(750)), 10_000)}, false},
		{"failures on both sides at once", Series{Whole: window(counts(10, fast(400)), counts(120, fast(4000)), 60_000), Recent: []Window{
			window(counts(10, fast(10)), counts(120, fast(150)), 1000),
		}}, false},
		{"too few responses", Series{Whole: window(counts(7), counts(0, fast(400)), 2000)}, false},
		{"nothing to compare with", Series{Whole: window(counts(30), counts(0, fast(19)), 2000)}, false},
		{"one VM lost", Series{TargetNodes: 3, Whole: window(counts(15, fast(100)), counts(0, fast(400)), 2000)}, false},
		{"failures at all nodes", Series{TargetNodes: 3, SpreadFailures: 9, Whole: window(counts(15, fast(100)), counts(0, fast(400)), 2000)}, true},
		{"more requests on a slow route", Series{
			Whole: mix(window(counts(0, fast(10)), counts(0, fast(900)), 9000), window(counts(0, slow(90)), counts(0, slow(90)), 9000)),
		}, false},
		{"a part is slow on each route", Series{
			Whole: mix(window(counts(0, fast(35), slow(25)), counts(0, fast(900)), 9000), window(counts(0, fast(35), slow(25)), counts(0, fast(900)), 9000)),
		}, true},
	}
	for _, c := range cases {
		if c.series.TargetNodes == 0 {
			c.series.TargetNodes = 3
			c.series.SpreadFailures = c.series.Whole.Target.Failed / 2
		}
		if c.name == "one VM lost" {
			c.series.SpreadFailures = 0
		}
		c.series.OtherNodes = 17
		reason := Judge([]Series{{Name: "calm", Whole: good, TargetNodes: 3, OtherNodes: 17}, c.series}, Suspicion)
		assert.Equal(t, reason != "", c.bad, "%s: %s", c.name, reason)
	}
}

// TestPlan guards against a share before the target version is warm, a step without evidence, a
// full share that comes too late for the deadline, and a canary share that leaves a service with
// few requests without evidence.
func TestPlan(t *testing.T) {
	terms := document.RolloutTerms{SharePermille: 100, Slack: 50}
	canary := Step{document.RolloutCanary, 60}
	promoting := func(share int) Step { return Step{document.RolloutPromoting, share} }
	cases := []struct {
		name string
		in   PlanInput
		want Step
	}{
		{"cold", PlanInput{ElapsedMs: 9000}, Step{document.RolloutCanary, 0}},
		{"first requests", PlanInput{TargetReady: true, ElapsedMs: 1000}, canary},
		{"few requests", PlanInput{TargetReady: true, ElapsedMs: 10_000, OtherResponses: 100}, Step{document.RolloutCanary, 196}},
		{"ample evidence", PlanInput{TargetReady: true, ElapsedMs: 9000, TargetResponses: 200, OtherResponses: 3000}, Step{document.RolloutCanary, 45}},
		{"first step", PlanInput{TargetReady: true, ElapsedMs: 27_700, TargetResponses: 20, OtherResponses: 20}, promoting(300)},
		{"second step", PlanInput{TargetReady: true, ElapsedMs: 28_100, Current: promoting(300), StepMs: 27_700, TargetResponses: 20, OtherResponses: 20}, promoting(600)},
		{"last step", PlanInput{TargetReady: true, ElapsedMs: 28_500, Current: promoting(600), StepMs: 28_100, TargetResponses: 20, OtherResponses: 20}, promoting(1000)},
		{"too little evidence", PlanInput{TargetReady: true, ElapsedMs: 28_500, Current: canary, TargetResponses: 19, OtherResponses: 4000}, canary},
		{"nothing to compare with", PlanInput{TargetReady: true, ElapsedMs: 28_500, Current: canary, TargetResponses: 900, OtherResponses: 19}, Step{document.RolloutCanary, 45}},
		{"no other instance", PlanInput{TargetReady: true, OtherGone: true, ElapsedMs: 28_500, Current: canary, TargetResponses: 900}, promoting(1000)},
		{"too late for the deadline", PlanInput{TargetReady: true, ElapsedMs: 29_500, Current: canary, TargetResponses: 20, OtherResponses: 20}, promoting(300)},
		{"extension", PlanInput{TargetReady: true, ElapsedMs: 40_000, Current: promoting(300), StepMs: 39_700, TargetResponses: 20, OtherResponses: 20}, promoting(300)},
		{"next step of the extension", PlanInput{TargetReady: true, ElapsedMs: 40_100, Current: promoting(600), StepMs: 39_300, TargetResponses: 20, OtherResponses: 20}, promoting(1000)},
		{"target crashed", PlanInput{ElapsedMs: 28_900, Current: promoting(1000), TargetResponses: 400, OtherResponses: 4000}, Step{document.RolloutCanary, 0}},
	}
	for _, c := range cases {
		c.in.DurationMs, c.in.Terms = 30_000, terms
		assert.Equal(t, Plan(c.in), c.want, c.name)
	}
}
