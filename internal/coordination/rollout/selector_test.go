package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chicorylever/chicorylever/internal/state/document"
)

// TestExposureOfShare guards against a bad version that gets more than 0.1 of the requests plus
// 50, summed over 91 entry nodes that draw independently. Up to a fifth of the requests are
// retried, 5 % are hedged, and all that the target version gets fail.
func TestExposureOfShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const entries, hedgedShare = 91, 0.05
		r := &document.Rollout{TargetVersion: "2", State: document.RolloutRunning, SharePermille: 60}
		seed := rapid.Uint64().Draw(t, "seed")
		requests := rapid.IntRange(1, 20000).Draw(t, "requests")
		retriedShare := rapid.Float64Range(0, 0.2).Draw(t, "retried")
		randoms := make([]*rand.Rand, entries)
		for i := range randoms {
			randoms[i] = rand.New(rand.NewPCG(seed, uint64(i)))
		}
		toTarget := 0
		count := func(v Versions) {
			if v == TargetVersion {
				toTarget++
			}
		}
		for range requests {
			random := randoms[randoms[0].IntN(entries)]
			first := Choose(r, random, time.Second)
			count(first)
			if random.Float64() < hedgedShare {
				hedged, ok := ChooseHedge(r, time.Second)
				assert.Assert(t, ok)
				count(hedged)
			}
			if first == TargetVersion || random.Float64() < retriedShare {
				count(ChooseRepeat(r, time.Second, VersionSet{}))
			}
		}
		// The bound of docs/requirements.md, section 1.1. The smallest margin, at 1,250 requests,
		// is 11 standard deviations.
		assert.Assert(t, float64(toTarget) <= 0.1*float64(requests)+50, "%d of %d", toTarget, requests)
	})
}

// TestVersionsByState guards against requests to the target version without contact to control
// or after a rollback, and to others after the completion; also as a retry, a hedged request or
// for lack of instances.
func TestVersionsByState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &document.Rollout{
			TargetVersion: "2",
			State:         rapid.SampledFrom([]document.RolloutState{document.RolloutRunning, document.RolloutCompleted, document.RolloutRolledBack}).Draw(t, "state"),
			SharePermille: rapid.IntRange(0, 1000).Draw(t, "share"),
		}
		age := time.Duration(rapid.IntRange(0, 5000).Draw(t, "age")) * time.Millisecond
		version := rapid.SampledFrom([]string{"", "1", "2"}).Draw(t, "version")
		first := Choose(r, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), age)
		repeat := ChooseRepeat(r, age, VersionSet{})
		hedge, isHedged := ChooseHedge(r, age)
		for _, chosen := range []Versions{first, repeat, hedge} {
			assert.Assert(t, !Excludes(r, version) || !Admits(r, chosen, version))
			fallback, ok := Fallback(r, chosen)
			assert.Equal(t, ok, r.State == document.RolloutRunning)
			assert.Assert(t, !ok || fallback != chosen, "a request is refused for lack of instances of a version")
		}
		if r.State == document.RolloutRunning {
			assert.Assert(t, !isHedged || hedge == OtherVersions)
			assert.Assert(t, age <= MaxContactAge || first == OtherVersions && repeat == OtherVersions)
			assert.Assert(t, age > MaxContactAge || r.SharePermille < 1000 || first == TargetVersion && repeat == TargetVersion)
			assert.Assert(t, r.SharePermille > 0 || first == OtherVersions)
			// An entry node with an old revision learns of the end from refusals.
			assert.Equal(t, ChooseRepeat(r, age, VersionSet{Other: true}), TargetVersion)
			assert.Equal(t, ChooseRepeat(r, age, VersionSet{Target: true}), OtherVersions)
		}
	})
}

// TestTally guards against a response time in a wrong bucket, against counts of an earlier
// rollout, and against a report that grows with each route or software version.
func TestTally(t *testing.T) {
	tally := &Tally{}
	for _, ms := range []int{0, 1, 3, 4, 7, 86_400_000} {
		tally.Record("s", 5, "2", "r", false, time.Duration(ms)*time.Millisecond)
	}
	tally.Record("s", 5, "2", "r", true, 0)
	tally.Record("s", 4, "2", "r", true, 0)
	report := tally.Report("s", 5)
	assert.Equal(t, len(report), 1)
	assert.Equal(t, report[0].GetSucceeded(), uint64(6))
	assert.Equal(t, report[0].GetFailed(), uint64(1))
	assert.DeepEqual(t, report[0].GetLatencyCounts()[:4], []uint64{1, 1, 1, 2})

	tally.Record("s", 6, "2", "r", false, 0)
	assert.Equal(t, len(tally.Report("s", 5)), 0)
	assert.Equal(t, tally.Report("s", 6)[0].GetSucceeded(), uint64(1))
	for i := range 1000 {
		tally.Record("s", 6, string(rune('a'+i%2)), "route"+string(rune(i)), true, 0)
		tally.Record("s", 6, string(rune(1000+i)), "r", true, 0)
	}
	assert.Assert(t, len(tally.Report("s", 6)) <= 2*maxTallies)
}
