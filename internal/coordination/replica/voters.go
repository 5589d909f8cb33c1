package replica

import "github.com/chicorylever/chicorylever/internal/coordination/raft"

const (
	// defaultTargetVoters lets a cluster lose two members and keep a quorum.
	defaultTargetVoters = 5
	// voterSilenceTicks is the time, 1.5 s, after which a voter that does not respond may be
	// replaced by a learner. A voter whose process restarts is back before it.
	voterSilenceTicks = 30
	// learnerSilenceTicks is the time, 30 s, after which a learner that does not respond is
	// removed. It asks to join again when it returns.
	learnerSilenceTicks = 600
	// stoppingNoticeTicks is the time, 3 s, for which a stopping voter counts as silent after
	// its notice. It is then either gone, and silent by itself, or has started again.
	stoppingNoticeTicks = 60
)

// memberState is what the leader knows of a member when it decides on changes.
type memberState struct {
	raft.Member
	// silentTicks is the time since the member's last response.
	silentTicks uint64
	// caughtUp is set for a learner that may be promoted.
	caughtUp bool
	// stopping is set for a member that has announced its stop.
	stopping bool
}

func (m memberState) isSilentVoter() bool {
	return !m.Learner && (m.stopping || m.silentTicks >= voterSilenceTicks)
}

// planMemberChange returns the next change that brings the cluster to targetVoters voters
// that respond, or false if none is due.
//
// A learner that has caught up replaces the voter that has been silent longest: the voter is
// removed and the learner promoted. The removal comes first, so that the quorum never grows
// by a voter that cannot respond. Silence alone never takes the cluster below targetVoters:
// without a learner that has caught up a silent voter stays, since a cluster that has been cut
// in two must not commit on fewer members than before. A learner that no voter has to make
// room for stays a learner, ready to replace one.
func planMemberChange(members []memberState, targetVoters int) (raft.Change, bool) {
	voters, _ := countVoters(members)
	silent, hasSilent := longestSilentVoter(members)
	if hasSilent && voters > targetVoters {
		return raft.Change{Kind: raft.Remove, ID: silent.ID}, true
	}
	for _, m := range members {
		if !m.caughtUp {
			continue
		}
		predecessor, hasPredecessor := findPredecessor(members, m)
		switch {
		case hasPredecessor && predecessor.silentTicks < electionTimeoutTicks:
			// The older member at this address still responds; wait until it is silent.
		case hasPredecessor:
			return raft.Change{Kind: raft.Remove, ID: predecessor.ID}, true
		case hasSilent && isOdd(voters):
			// With an odd number of voters a further one would raise the quorum. The removal makes
			// the number even, so that the next change is the promotion.
			return raft.Change{Kind: raft.Remove, ID: silent.ID}, true
		case voters < targetVoters:
			return raft.Change{Kind: raft.Promote, ID: m.ID}, true
		}
	}
	return silentLearnerRemoval(members)
}

// findPredecessor returns the older member that has the learner's address. It has lost its
// data: the learner owns the address, because otherwise it could not have caught up.
func findPredecessor(members []memberState, learner memberState) (memberState, bool) {
	for _, m := range members {
		if m.ID != learner.ID && m.Address == learner.Address {
			return m, true
		}
	}
	return memberState{}, false
}

func longestSilentVoter(members []memberState) (longest memberState, ok bool) {
	for _, m := range members {
		if !m.isSilentVoter() {
			continue
		}
		if !ok || m.silentTicks > longest.silentTicks {
			longest, ok = m, true
		}
	}
	return longest, ok
}

func silentLearnerRemoval(members []memberState) (raft.Change, bool) {
	for _, m := range members {
		if m.Learner && m.silentTicks >= learnerSilenceTicks {
			return raft.Change{Kind: raft.Remove, ID: m.ID}, true
		}
	}
	return raft.Change{}, false
}

func countVoters(members []memberState) (voters, silent int) {
	for _, m := range members {
		if m.Learner {
			continue
		}
		voters++
		if m.isSilentVoter() {
			silent++
		}
	}
	return voters, silent
}

// toleratedLosses returns how many more voters may be lost while a quorum responds. It is
// negative without a quorum.
func toleratedLosses(voters, silent int) int {
	quorum := voters/2 + 1
	return voters - silent - quorum
}

func isOdd(n int) bool { return n%2 == 1 }
