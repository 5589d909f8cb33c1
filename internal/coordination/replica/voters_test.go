package replica

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chicorylever/chicorylever/internal/coordination/raft"
)

func voter(id uint64) memberState {
	return memberState{Member: raft.Member{ID: id, Address: fmt.Sprintf("10.0.0.%d:1", id)}}
}

func silentVoter(id uint64, ticks uint64) memberState {
	m := voter(id)
	m.silentTicks = ticks
	return m
}

func caughtUpLearner(id uint64) memberState {
	m := voter(id)
	m.Learner, m.caughtUp = true, true
	return m
}

// TestPlanMemberChange guards against replaced members that stay voters and raise the
// quorum until it cannot be reached, and against a cluster that shrinks because members
// are cut off.
func TestPlanMemberChange(t *testing.T) {
	stopping := voter(5)
	stopping.stopping = true
	behind := caughtUpLearner(6)
	behind.caughtUp = false
	wiped := caughtUpLearner(6)
	wiped.Address = voter(5).Address
	lostLearner := behind
	lostLearner.silentTicks = learnerSilenceTicks
	const long = 10 * voterSilenceTicks
	none := raft.Change{}
	remove := func(id uint64) raft.Change { return raft.Change{Kind: raft.Remove, ID: id} }
	promote := func(id uint64) raft.Change { return raft.Change{Kind: raft.Promote, ID: id} }
	for _, c := range []struct {
		name    string
		members []memberState
		target  int
		want    raft.Change
	}{
		{"two of five cut off, nobody to replace them", []memberState{voter(1), voter(2), voter(3), silentVoter(4, long), silentVoter(5, long)}, 5, none},
		{"successor at a new address", []memberState{voter(1), voter(2), voter(3), voter(4), silentVoter(5, long), caughtUpLearner(6)}, 5, remove(5)},
		{"successor takes the place", []memberState{voter(1), voter(2), voter(3), voter(4), caughtUpLearner(6)}, 5, promote(6)},
		{"longest silent one first", []memberState{voter(1), voter(2), voter(3), silentVoter(4, long), silentVoter(5, long-1), caughtUpLearner(6)}, 5, remove(4)},
		{"one successor for one of two", []memberState{voter(1), voter(2), voter(3), silentVoter(5, long), caughtUpLearner(6)}, 5, promote(6)},
		{"successor that is not caught up", []memberState{voter(1), voter(2), voter(3), voter(4), silentVoter(5, long), behind}, 5, none},
		{"restart is shorter than the silence", []memberState{voter(1), voter(2), voter(3), voter(4), silentVoter(5, voterSilenceTicks-1), caughtUpLearner(6)}, 5, none},
		{"planned: the new one waits", []memberState{voter(1), voter(2), voter(3), voter(4), voter(5), caughtUpLearner(6)}, 5, none},
		{"planned: the old one stops", []memberState{voter(1), voter(2), voter(3), voter(4), stopping, caughtUpLearner(6)}, 5, remove(5)},
		{"restart without a successor", []memberState{voter(1), voter(2), voter(3), voter(4), stopping}, 5, none},
		{"lost disk, old identity still responds", []memberState{voter(1), voter(2), voter(3), voter(4), voter(5), wiped}, 5, none},
		{"lost disk", []memberState{voter(1), voter(2), voter(3), voter(4), silentVoter(5, electionTimeoutTicks), wiped}, 5, remove(5)},
		{"growing cluster", []memberState{voter(1), voter(2), voter(3), caughtUpLearner(6)}, 5, promote(6)},
		{"cluster of three with a larger target", []memberState{voter(1), voter(2), silentVoter(3, long), caughtUpLearner(6)}, 5, remove(3)},
		{"six voters of an earlier version", []memberState{voter(1), voter(2), voter(3), voter(4), voter(5), silentVoter(6, long)}, 5, remove(6)},
		{"seven voters of an earlier version", []memberState{voter(1), voter(2), voter(3), voter(4), voter(5), silentVoter(6, long), silentVoter(7, long)}, 5, remove(6)},
		{"learner that never came back", []memberState{voter(1), voter(2), voter(3), voter(4), voter(5), lostLearner}, 5, remove(6)},
	} {
		change, ok := planMemberChange(c.members, c.target)
		assert.Equal(t, change, c.want, c.name)
		assert.Equal(t, ok, c.want != none, c.name)
	}
}

// TestMemberChangesConverge plays the planned changes for random members and losses. It
// guards against a quorum that grows by members that do not respond, and against a cluster
// that commits on fewer members than responding ones and learners allow.
func TestMemberChangesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		target := 2*rapid.IntRange(1, 3).Draw(t, "losses") + 1
		members := []memberState{voter(1)} // the leader, which always responds
		for id := range uint64(rapid.IntRange(2, 9).Draw(t, "others")) {
			m := voter(id + 2)
			m.Learner = rapid.Bool().Draw(t, "learner")
			if rapid.Bool().Draw(t, "silent") {
				m.silentTicks = voterSilenceTicks
			}
			m.caughtUp = m.Learner && m.silentTicks == 0
			members = append(members, m)
		}
		votersBefore, silentBefore := countVoters(members)
		standbys := 0
		for _, m := range members {
			if m.caughtUp {
				standbys++
			}
		}
		for range 40 {
			change, ok := planMemberChange(members, target)
			if !ok {
				break
			}
			members = applyChange(t, members, change)
		}
		voters, silent := countVoters(members)
		responding := min(votersBefore-silentBefore+standbys, target)
		assert.Assert(t, voters-silent >= responding, "%d voters respond, %d members could", voters-silent, responding)
		assert.Assert(t, voters >= min(votersBefore, target), "%d of %d voters are left, target %d", voters, votersBefore, target)
		assert.Assert(t, silent == 0 || voters <= target, "silent voters above the target")
		assert.Assert(t, toleratedLosses(voters, silent) >= toleratedLosses(votersBefore, silentBefore), "the cluster bears fewer losses than before")
	})
}

func applyChange(t *rapid.T, members []memberState, change raft.Change) []memberState {
	var next []memberState
	for _, m := range members {
		if m.ID != change.ID {
			next = append(next, m)
			continue
		}
		if change.Kind == raft.Promote {
			assert.Assert(t, m.caughtUp)
			m.Learner, m.caughtUp = false, false
			next = append(next, m)
			continue
		}
		assert.Assert(t, m.silentTicks > 0, "member %d responds and was removed", m.ID)
	}
	return next
}

// TestToleratedLosses guards against a log line that promises a loss too many.
func TestToleratedLosses(t *testing.T) {
	for _, c := range []struct{ voters, silent, want int }{{5, 0, 2}, {5, 2, 0}, {5, 3, -1}, {6, 1, 1}, {3, 0, 1}, {1, 0, 0}} {
		assert.Equal(t, toleratedLosses(c.voters, c.silent), c.want)
	}
}
