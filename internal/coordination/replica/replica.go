// Package replica drives the consensus core, its storage and its peers, and
// offers proposals and confirmed reads to the services of a control member.
package replica

import (
	"context"

	"github.com/pkg/errors"
)

var (
	// ErrNotLeader reports that there is no leader to take the proposal. The
	// command has not taken effect and never will.
	ErrNotLeader = errors.New("replica: no leader")
	// ErrUnknown reports that the command may or may not take effect.
	ErrUnknown = errors.New("replica: outcome of the proposal is unknown")
	// ErrStopped reports that the member has stopped.
	ErrStopped = errors.New("replica: member stopped")
)

// StateMachine is the replicated state. It is deterministic: time enters only as
// a field of a command. Apply, Snapshot and Restore are never called concurrently.
type StateMachine interface {
	// Apply carries out a committed command and returns its result.
	Apply(index uint64, command []byte) (result []byte)
	// Snapshot returns the whole state in a form that Restore accepts.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(snapshot []byte) error
}

// Proposer is what the services of a control member use.
type Proposer interface {
	// Propose returns the result of the command once it is durable on a quorum and
	// applied on this member. On a follower it is forwarded to the leader. It
	// returns ErrNotLeader, ErrUnknown, ErrStopped or an error of ctx; after an
	// error of ctx the outcome is unknown.
	Propose(ctx context.Context, command []byte) (result []byte, index uint64, err error)
	// Confirm returns once everything accepted before the call is applied on this
	// member, confirmed by a quorum.
	Confirm(ctx context.Context) (index uint64, err error)
	// Status returns the member's view of the cluster.
	Status() Status
}

// Status is a member's view of the cluster.
type Status struct {
	// ID of this member.
	ID uint64 `json:"id"`
	// Leader is 0 when there is none.
	Leader  uint64   `json:"leader"`
	Term    uint64   `json:"term"`
	Commit  uint64   `json:"commit"`
	Applied uint64   `json:"applied"`
	Members []Member `json:"members"`
	// QuorumContact is set while this member leads with a quorum or hears from such a leader.
	QuorumContact bool `json:"quorum_contact"`
}

// Member is a voter or learner of the cluster.
type Member struct {
	ID      uint64 `json:"id"`
	Address string `json:"address"`
	Learner bool   `json:"learner,omitempty"`
}
