package document

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func startRollout(t assert.TestingT, m *Machine, start RolloutStart) Result {
	command, err := EncodeRolloutStart(start)
	assert.NilError(t, err)
	return apply(t, m, command)
}

func advanceRollout(t assert.TestingT, m *Machine, advance RolloutAdvance) Result {
	command, err := EncodeRolloutAdvance(advance)
	assert.NilError(t, err)
	return apply(t, m, command)
}

var draftsRollout = RolloutStart{Team: "red", Service: "drafts", TargetVersion: "v2", DurationMs: 5000}

// newRolloutMachine returns a machine with a document whose policy ends a rollout as failed or
// completed once the evidence of node "rolled_back" or "completed" arrives.
func newRolloutMachine(t assert.TestingT) *Machine {
	m := NewMachine()
	m.SetRolloutPolicy(func(r Rollout, p RolloutProgress) (Rollout, RolloutProgress) {
		for _, entry := range p.Totals {
			r.State, r.Phase = RolloutState(entry.NodeID), ""
		}
		r.TargetVersion, r.StartedRevision = "forged", 9
		return r, p
	})
	apply(t, m, bootstrapCommand(t))
	return m
}

// TestRejectedStarts guards against a start request that changes anything although it is invalid,
// not permitted or in conflict with a running rollout, and against an error without its field.
func TestRejectedStarts(t *testing.T) {
	cases := []struct {
		change  func(s *RolloutStart)
		outcome Outcome
		field   string
	}{
		{func(s *RolloutStart) { s.Service = "none" }, Invalid, "service"},
		{func(s *RolloutStart) { s.TargetVersion = "" }, Invalid, "target_version"},
		{func(s *RolloutStart) { s.TargetVersion = strings.Repeat("v", 257) }, Invalid, "target_version"},
		{func(s *RolloutStart) { s.DurationMs = 0 }, Invalid, "duration_ms"},
		{func(s *RolloutStart) { s.DurationMs = MaxRolloutDurationMs + 1 }, Invalid, "duration_ms"},
		{func(s *RolloutStart) { s.Team = "blue" }, Forbidden, ""},
		{func(s *RolloutStart) { s.Team = "none" }, Forbidden, ""},
		{func(s *RolloutStart) { s.TargetVersion = "v3" }, Conflict, ""},
		{func(s *RolloutStart) { s.DurationMs++ }, Conflict, ""},
	}
	for _, c := range cases {
		m := newRolloutMachine(t)
		assert.Equal(t, startRollout(t, m, draftsRollout).Outcome, Accepted)
		before := m.View()
		start := draftsRollout
		c.change(&start)
		result := startRollout(t, m, start)
		assert.Equal(t, result.Outcome, c.outcome, "%+v", start)
		assert.Equal(t, result.Field, c.field)
		assert.Assert(t, m.View() == before)
	}
}

// TestRepeatedStart guards against a repeat that starts the rollout again, while it is running and
// after it has ended, and against an ended rollout that prevents the next one.
func TestRepeatedStart(t *testing.T) {
	for _, state := range []RolloutState{RolloutRunning, RolloutCompleted, RolloutRolledBack} {
		m := newRolloutMachine(t)
		first := startRollout(t, m, draftsRollout)
		assert.Equal(t, first.Revision, uint64(2))
		advance := RolloutAdvance{Service: "drafts", StartedRevision: 2, Evidence: []RolloutEvidence{{NodeID: string(state)}}}
		assert.Equal(t, advanceRollout(t, m, advance).Outcome, Accepted)
		m = restoredFromSnapshot(t, m)
		before := m.View()
		repeat := draftsRollout
		repeat.Team, repeat.AtMs = "ops", 99
		assert.Equal(t, startRollout(t, m, repeat).Outcome, Accepted)
		assert.Assert(t, m.View() == before, state)
		r := before.Document.Rollouts["drafts"]
		assert.Equal(t, r.State, state)
		assert.Equal(t, r.TargetVersion, "v2", "a policy changed the identity of the rollout")
		assert.Equal(t, r.StartedRevision, uint64(2))
		if state == RolloutRunning {
			continue
		}
		assert.Equal(t, advanceRollout(t, m, advance).Outcome, Conflict)
		repeat.TargetVersion = "v1"
		assert.Equal(t, startRollout(t, m, repeat).Outcome, Accepted)
		assert.Equal(t, m.View().Document.Rollouts["drafts"].State, RolloutRunning)
		assert.Equal(t, advanceRollout(t, m, advance).Outcome, Conflict, "an advance of the earlier rollout")
	}
}

// TestEvidenceIsNotDistributed guards against a revision for evidence or elapsed time alone, which
// each node would receive, against evidence that counts twice or goes back, and against a snapshot
// without it.
func TestEvidenceIsNotDistributed(t *testing.T) {
	m := NewMachine()
	apply(t, m, bootstrapCommand(t))
	startRollout(t, m, draftsRollout)
	before := m.View()
	evidence := func(succeeded, failed uint64, latency ...uint64) RolloutAdvance {
		return RolloutAdvance{Service: "drafts", StartedRevision: 2, ElapsedMs: int64(succeeded), Evidence: []RolloutEvidence{
			{NodeID: "n1", Version: "v2", Route: "r", RolloutCounts: RolloutCounts{succeeded, failed, latency}},
			{NodeID: "n0", Route: "r", RolloutCounts: RolloutCounts{Succeeded: 3}},
		}}
	}
	for _, advance := range []RolloutAdvance{evidence(5, 2, 1, 4), evidence(9, 2, 1, 4, 4), evidence(5, 2, 1, 4)} {
		assert.Equal(t, advanceRollout(t, m, advance).Outcome, Accepted)
		assert.Assert(t, m.View() == before)
		m = restoredFromSnapshot(t, m)
		before = m.View()
	}
	data, err := json.Marshal(before.Document)
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(data), "n1"), "%s", data)
	progress, ok := m.RolloutProgress("drafts")
	assert.Assert(t, ok)
	assert.Equal(t, progress.ElapsedMs, int64(9))
	target, other := progress.Sum("v2")
	assert.DeepEqual(t, *target["r"], RolloutCounts{9, 2, []uint64{1, 4, 4}})
	assert.DeepEqual(t, *other["r"], RolloutCounts{Succeeded: 3})
}

// TestOperatorsCannotEditRollouts guards against an edit, batch or bootstrap that makes, changes or
// removes a rollout, and against one that outlives its service.
func TestOperatorsCannotEditRollouts(t *testing.T) {
	m := newRolloutMachine(t)
	startRollout(t, m, draftsRollout)
	before := m.View()
	body := []byte(`{"owner":"red","target_version":"v2","duration_ms":5,"state":"completed"}`)
	for _, edit := range []Edit{
		{EditID: "a", Team: "ops", Section: "rollouts/drafts", Base: 2, Body: body},
		{EditID: "b", Team: "red", Section: "rollouts/drafts", Base: 2, Remove: true},
		{EditID: "c", Team: "ops", Section: "rollouts/archive", Body: body},
	} {
		assert.Equal(t, applyEdit(t, m, edit).Outcome, Forbidden)
	}
	command, err := EncodeBatch(Batch{Team: "ops", Items: []Item{{Section: "rollouts/drafts", Version: 9, Body: body}}})
	assert.NilError(t, err)
	assert.Equal(t, apply(t, m, command).Outcome, Invalid)
	assert.Assert(t, m.View() == before)
	_, err = Parse([]byte(`{"rollouts":{"drafts":{"state":"completed"}}}`))
	assert.ErrorIs(t, err, ErrInvalid)

	assert.Equal(t, applyEdit(t, m, Edit{EditID: "d", Team: "red", Section: "services/drafts", Base: 1, Remove: true}).Outcome, Accepted)
	assert.Equal(t, len(m.View().Document.Rollouts), 0)
	_, ok := m.RolloutProgress("drafts")
	assert.Assert(t, !ok)
}
