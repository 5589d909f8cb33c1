package rollout

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chicorylever/chicorylever/internal/state/document"
)

const machineDocument = `{"teams":{"ops":{"token_sha256":[],"admin":true}},"services":{"s":{"owner":"ops","timeout_ms":100}},"limits":{}}`

type delayedAdvance struct {
	started uint64
	command []byte
}

// history plays start requests and advances against a machine and records what was acknowledged.
type history struct {
	*rapid.T
	machine *document.Machine
	// ended holds the state that each rollout was first seen to end in, by started revision.
	ended map[uint64]document.RolloutState
	// delayed holds advances of members that may arrive at any later time.
	delayed   []delayedAdvance
	elapsedMs int64
	// failing lets some responses of both versions fail.
	failing bool
	totals  map[string]document.RolloutCounts
}

func newMachine(t assert.TestingT) *document.Machine {
	machine := document.NewMachine()
	machine.SetRolloutPolicy(Advance)
	command, err := document.EncodeBootstrap([]byte(machineDocument), time.Unix(0, 0))
	assert.NilError(t, err)
	machine.Apply(1, command)
	return machine
}

func (h *history) rollout() document.Rollout { return h.machine.View().Document.Rollouts["s"] }

func (h *history) apply(command []byte) document.Result {
	result, err := document.DecodeResult(h.machine.Apply(1, command))
	assert.NilError(h, err)
	return result
}

// start sends a start request, also repeats of earlier ones, and checks the answer.
func (h *history) start() {
	before := h.rollout()
	start := document.RolloutStart{Team: "ops", Service: "s", Terms: document.RolloutTerms{SharePermille: 100, Slack: 50},
		TargetVersion: rapid.SampledFrom([]string{"v1", "v2"}).Draw(h.T, "version"),
		DurationMs:    rapid.SampledFrom([]int64{5000, 9000}).Draw(h.T, "duration")}
	command, err := document.EncodeRolloutStart(start)
	assert.NilError(h, err)
	result := h.apply(command)
	isRepeat := before.TargetVersion == start.TargetVersion && before.DurationMs == start.DurationMs
	switch {
	case isRepeat:
		assert.Equal(h, result.Outcome, document.Accepted)
		assert.Equal(h, h.rollout(), before, "a repeat changed the rollout")
	case before.State == document.RolloutRunning:
		assert.Equal(h, result.Outcome, document.Conflict)
		assert.Equal(h, h.rollout(), before)
	default:
		assert.Equal(h, result.Outcome, document.Accepted)
		assert.Equal(h, h.rollout().State, document.RolloutRunning)
		h.elapsedMs, h.totals = 0, map[string]document.RolloutCounts{}
	}
}

// advance proposes an advance with the current totals. A member may be delayed.
func (h *history) advance() {
	h.elapsedMs += rapid.Int64Range(0, 1500).Draw(h.T, "time")
	r := h.rollout()
	progress, _ := h.machine.RolloutProgress("s")
	advance := document.RolloutAdvance{Service: "s", StartedRevision: r.StartedRevision}
	for _, version := range []string{"v1", "v2", ""} {
		counts := h.totals[version]
		counts.Succeeded += rapid.Uint64Range(0, 60).Draw(h.T, "succeeded")
		if h.failing {
			counts.Failed += rapid.SampledFrom([]uint64{0, 0, 0, 0, 0, 1, 12}).Draw(h.T, "failed")
		}
		h.totals[version] = counts
		advance.Evidence = append(advance.Evidence, document.RolloutEvidence{NodeID: "n" + version, Version: version, Route: "r", RolloutCounts: counts})
	}
	if rapid.Bool().Draw(h.T, "leads") {
		advance.ElapsedMs = h.elapsedMs
		advance.Facts = &document.RolloutFacts{StepRevision: progress.StepRevision, Nodes: 2, OtherInstances: 1,
			TargetInstances: rapid.SampledFrom([]int{1, 1, 1, 0}).Draw(h.T, "instances"), Lagging: rapid.SampledFrom([]int{0, 0, 1}).Draw(h.T, "lagging")}
	}
	command, err := document.EncodeRolloutAdvance(advance)
	assert.NilError(h, err)
	if rapid.IntRange(0, 3).Draw(h.T, "delay") == 0 {
		h.delayed = append(h.delayed, delayedAdvance{r.StartedRevision, command})
		return
	}
	h.apply(command)
}

// check compares the state with what was acknowledged.
func (h *history) check() {
	r := h.rollout()
	if r.StartedRevision == 0 {
		return
	}
	if state, ok := h.ended[r.StartedRevision]; ok {
		assert.Equal(h, r.State, state, "the state of rollout %d went back", r.StartedRevision)
	} else if r.State != document.RolloutRunning {
		h.ended[r.StartedRevision] = r.State
		assert.Assert(h, r.Reason != "")
	}
	for started := range h.ended {
		assert.Assert(h, started <= r.StartedRevision, "an earlier rollout is back")
	}
	assert.Equal(h, r.Phase == "", r.State != document.RolloutRunning)
	if r.State == document.RolloutRolledBack {
		assert.Equal(h, r.SharePermille, 0)
	}
}

// restart replaces the machine by one that was restored from its snapshot, as on a member that
// joins or restarts, and checks that both agree about the next command.
func (h *history) restart() {
	data, err := h.machine.Snapshot()
	assert.NilError(h, err)
	restored := newMachine(h)
	assert.NilError(h, restored.Restore(data))
	command, err := document.EncodeRolloutAdvance(document.RolloutAdvance{Service: "s", StartedRevision: h.rollout().StartedRevision, ElapsedMs: h.elapsedMs})
	assert.NilError(h, err)
	assert.Equal(h, string(restored.Apply(1, command)), string(h.machine.Apply(1, command)))
	before, after := h.rollout(), restored.View().Document.Rollouts["s"]
	assert.Equal(h, after, before)
	h.machine = restored
}

// TestNoRolloutStateGoesBack guards against an order of start requests, repeats, advances that
// arrive late, changes of the leader and snapshots that leaves two states acknowledged for one
// rollout, revives an ended one, or makes two members disagree.
func TestNoRolloutStateGoesBack(t *testing.T) {
	states := map[document.RolloutState]int{}
	rapid.Check(t, func(t *rapid.T) {
		h := &history{T: t, machine: newMachine(t), ended: map[uint64]document.RolloutState{}, totals: map[string]document.RolloutCounts{}}
		h.failing = rapid.Bool().Draw(t, "failing")
		h.start()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch action := rapid.IntRange(0, 11).Draw(t, "action"); {
			case action == 0:
				h.start()
			case action == 1:
				h.restart()
			case action == 2 && len(h.delayed) > 0:
				i := rapid.IntRange(0, len(h.delayed)-1).Draw(t, "late")
				late, before := h.delayed[i], h.rollout()
				applies := before.State == document.RolloutRunning && before.StartedRevision == late.started
				assert.Equal(t, h.apply(late.command).Outcome == document.Accepted, applies)
			default:
				h.advance()
			}
			h.check()
		}
		for _, state := range h.ended {
			states[state]++
		}
	})
	assert.Assert(t, states[document.RolloutCompleted] > 0 && states[document.RolloutRolledBack] > 0, fmt.Sprint(states))
}

// TestTargetCrashes guards against a rollout whose target version is gone and that is completed, or
// runs for ever: it is extended once and then rolled back.
func TestTargetCrashes(t *testing.T) {
	h := &history{machine: newMachine(t)}
	command, err := document.EncodeRolloutStart(document.RolloutStart{Team: "ops", Service: "s", TargetVersion: "v2", DurationMs: 5000, Terms: document.RolloutTerms{SharePermille: 100, Slack: 50}})
	assert.NilError(t, err)
	h.machine.Apply(1, command)
	for elapsed := int64(0); elapsed <= 10_000; elapsed += 500 {
		facts := &document.RolloutFacts{Nodes: 1, OtherInstances: 1}
		if elapsed < 4000 {
			facts.TargetInstances = 1
		}
		advance := document.RolloutAdvance{Service: "s", StartedRevision: 2, ElapsedMs: elapsed, Facts: facts, Evidence: []document.RolloutEvidence{
			{NodeID: "a", Version: "v2", RolloutCounts: document.RolloutCounts{Succeeded: uint64(min(elapsed, 4000) / 50)}}, //nolint:gosec // not negative
			{NodeID: "b", RolloutCounts: document.RolloutCounts{Succeeded: uint64(elapsed / 10)}},                           //nolint:gosec // not negative
		}}
		command, err := document.EncodeRolloutAdvance(advance)
		assert.NilError(t, err)
		h.machine.Apply(1, command)
		if elapsed >= 4000 {
			assert.Equal(t, h.rollout().SharePermille, 0)
		}
		assert.Equal(t, h.rollout().State == document.RolloutRunning, elapsed < 10_000)
	}
	assert.Equal(t, h.rollout().State, document.RolloutRolledBack)
	assert.Equal(t, h.rollout().Reason[:19], "too little evidence")
	progress, _ := h.machine.RolloutProgress("s")
	target, other := progress.Sum("v2")
	assert.DeepEqual(t, []uint64{target[""].Succeeded, other[""].Succeeded}, []uint64{80, 1000})
	assert.Equal(t, len(progress.Totals), 2, "evidence of an ended rollout by node")
}
