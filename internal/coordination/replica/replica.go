// Package replica implements a control member of the replicated log: it drives the
// consensus core, its storage and its connections to the other members, and offers
// proposals and linearizable reads to the services of the member.
package replica

import (
	"context"

	"github.com/pkg/errors"
)

var (
	// ErrNotLeader reports that no leader accepted the request. A proposed command has
	// not taken effect and never will.
	ErrNotLeader = errors.New("replica: no leader")
	// ErrOutcomeUnknown reports that the outcome is unknown: the command may or may not
	// take effect.
	ErrOutcomeUnknown = errors.New("replica: outcome of the proposal is unknown")
	// ErrStopped reports that this member has stopped.
	ErrStopped = errors.New("replica: member stopped")
)

// StateMachine is the replicated state machine. It is deterministic: time enters only
// as a field of a command. Apply, Snapshot and Restore are never called concurrently.
type StateMachine interface {
	// Apply applies a committed command and returns its result.
	Apply(index uint64, command []byte) (result []byte)
	// Snapshot returns the complete state, encoded for Restore.
	Snapshot() ([]byte, error)
	// Restore replaces the complete state with that of a snapshot.
	Restore(snapshot []byte) error
}

// Proposer is the interface of the replicated log to the services of a control member.
type Proposer interface {
	// Propose returns the result and the log index of the command once it is durable on a
	// quorum and applied on this member. A follower forwards the command to the leader.
	// Propose returns ErrNotLeader, ErrOutcomeUnknown, ErrStopped, ErrCommandTooLarge or an
	// error of ctx; after an error of ctx the outcome is unknown.
	Propose(ctx context.Context, command []byte) (result []byte, index uint64, err error)
	// ReadIndex makes a following read of this member's state linearizable: it returns once
	// every command that was committed before the call is applied on this member. A
	// quorum confirms that the leader, which provides the index, still leads.
	ReadIndex(ctx context.Context) (index uint64, err error)
	// Status returns this member's view of the cluster.
	Status() Status
}

// Status is a member's view of the cluster.
type Status struct {
	// ID is the ID of this member.
	ID uint64 `json:"id"`
	// Leader is the ID of the leader, 0 when none is known.
	Leader  uint64   `json:"leader"`
	Term    uint64   `json:"term"`
	Commit  uint64   `json:"commit"`
	Applied uint64   `json:"applied"`
	Members []Member `json:"members"`
	// QuorumContact is true while this member leads with a quorum or hears from such a leader.
	QuorumContact bool `json:"quorum_contact"`
	// LogGeneration is 1 plus the number of corrupt logs that this member has replaced.
	LogGeneration int `json:"log_generation,omitempty"`
	// SilentVoters is the number of voters that do not respond; only the leader knows it.
	SilentVoters int `json:"silent_voters,omitempty"`
}

// VoterCount returns the number of voters.
func (s Status) VoterCount() int {
	voters := 0
	for _, m := range s.Members {
		if !m.Learner {
			voters++
		}
	}
	return voters
}

// Member is a voter or learner of the cluster.
type Member struct {
	ID      uint64 `json:"id"`
	Address string `json:"address"`
	Learner bool   `json:"learner,omitempty"`
}
