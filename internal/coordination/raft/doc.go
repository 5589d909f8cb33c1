// Package raft is a deterministic Raft core, as described in Ongaro's thesis:
// elections with pre-vote, check-quorum and leader stickiness, log replication,
// reads confirmed by a quorum, learners, membership changes of one server at a
// time, snapshots for lagging members and leadership transfer.
//
// The core has no clock, no I/O and no goroutines. The caller passes in ticks,
// messages and proposals, takes the next Ready, makes its snapshot, hard state and
// entries durable, calls Persisted and then sends Ready.Messages. NextApply returns
// the committed entries that the state machine has to apply.
package raft

import "github.com/pkg/errors"

var (
	// ErrNotLeader reports that this member is not the leader, or is a leader that
	// accepts no proposals during a leadership transfer. Nothing was appended.
	ErrNotLeader = errors.New("raft: not the leader")
	// ErrChangePending reports that an earlier membership change, or the first
	// entry of the leader's own term, is not committed yet.
	ErrChangePending = errors.New("raft: an earlier change is not committed yet")
	// ErrNotCaughtUp reports a learner whose log is too far behind for it to become a voter.
	ErrNotCaughtUp = errors.New("raft: learner is not caught up")
	// ErrNoQuorum reports a membership change after which the voters that have
	// responded within the election timeout would not be a quorum.
	ErrNoQuorum = errors.New("raft: no quorum of the new configuration answers")
	// ErrInvalidChange reports a membership change that the current configuration does not allow.
	ErrInvalidChange = errors.New("raft: invalid membership change")
	// ErrMalformed reports bytes that are not a valid encoding.
	ErrMalformed = errors.New("raft: malformed encoding")
	// ErrState reports a restored state whose parts are inconsistent.
	ErrState = errors.New("raft: inconsistent restored state")
)
