// Package raft is a deterministic Raft core, as described in Ongaro's thesis:
// elections with pre-vote, check-quorum and leader stickiness, log replication,
// reads confirmed by a quorum, learners, membership changes of one server at a
// time, snapshots for lagging members and leadership transfer.
//
// The core has no clock, no I/O and no goroutines. The caller feeds ticks,
// messages and proposals, takes a Ready, makes its hard state, snapshot and
// entries durable, calls Persisted and then sends Ready.Messages. Committed
// entries are taken with NextApply.
package raft

import "github.com/pkg/errors"

var (
	// ErrNotLeader reports that this member does not take proposals now. Nothing was appended.
	ErrNotLeader = errors.New("raft: not the leader")
	// ErrChangePending reports that an earlier membership change, or the first
	// entry of the leader's own term, is not committed yet.
	ErrChangePending = errors.New("raft: an earlier change is not committed yet")
	// ErrNotCaughtUp reports a learner that lags too far behind to become a voter.
	ErrNotCaughtUp = errors.New("raft: learner is not caught up")
	// ErrNoQuorum reports a membership change whose voters do not answer in sufficient number.
	ErrNoQuorum = errors.New("raft: no quorum of the new configuration answers")
	// ErrInvalidChange reports a membership change that does not fit the configuration.
	ErrInvalidChange = errors.New("raft: invalid membership change")
	// ErrMalformed reports bytes that are no valid encoding.
	ErrMalformed = errors.New("raft: malformed encoding")
	// ErrState reports a restored state that contradicts itself.
	ErrState = errors.New("raft: inconsistent restored state")
)
