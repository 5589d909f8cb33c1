package replica

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/raft"
)

// ErrAddressInUse reports an attempt to add a member with the address of this leader.
var ErrAddressInUse = errors.New("replica: address belongs to the leader")

// AddMember adds a learner, which is promoted to voter once it has caught up. Only the
// leader can add one. AddMember returns once the change is committed, or returns
// ErrNotLeader, ErrOutcomeUnknown, ErrStopped, ErrAddressInUse, an error of ctx, or an error
// of package raft if the change is not possible now.
func (r *Replica) AddMember(ctx context.Context, id uint64, address string) error {
	return r.changeMembers(ctx, raft.Change{Kind: raft.AddLearner, ID: id, Address: address})
}

// RemoveMember removes a voter or learner. Only the leader can remove one; errors are
// those of AddMember. A leader that is asked to remove itself transfers its leadership
// and returns ErrNotLeader; the caller then repeats the call on the new leader.
func (r *Replica) RemoveMember(ctx context.Context, id uint64) error {
	if id == r.id {
		r.runInLoop(ctx, func() {
			// Without a successor this member keeps the leadership, which the caller sees in Status.
			_ = r.loop.core.TransferLeader(r.loop.core.BestSuccessor())
		})
		return ErrNotLeader
	}
	return r.changeMembers(ctx, raft.Change{Kind: raft.Remove, ID: id})
}

func (r *Replica) changeMembers(ctx context.Context, change raft.Change) error {
	if change.Kind == raft.AddLearner && change.Address == r.options.Address {
		return ErrAddressInUse
	}
	for {
		o := r.proposeLocally(ctx, &proposal{change: &change})
		if !errors.Is(o.err, raft.ErrChangePending) {
			return o.err
		}
		// Nothing was appended. Either the earlier change is committed soon, or the leader
		// steps down.
		select {
		case <-ctx.Done():
			return o.err
		case <-time.After(leaderPollInterval):
		}
	}
}

// maintainMembers runs on each tick. On the leader it promotes a learner that has
// caught up. If the learner has the address of an older member, the older member has
// lost its data. It is removed first, so that no member that cannot respond adds to the
// number of voters. The learner really owns the address, because otherwise it could not
// have caught up.
func (l *loop) maintainMembers() {
	s := l.core.Status()
	l.stopUnusedPeers()
	if s.Role != raft.Leader {
		return
	}
	for _, m := range s.Configuration.Members {
		if m.Learner && l.core.CaughtUp(m.ID) {
			l.promoteOrReplace(s.Configuration, m)
			return
		}
	}
}

// promoteOrReplace proposes to promote the learner or, if an older member has its
// address, to remove the older member.
func (l *loop) promoteOrReplace(configuration raft.Configuration, learner raft.Member) {
	change := raft.Change{Kind: raft.Promote, ID: learner.ID}
	for _, m := range configuration.Members {
		if m.ID == learner.ID || m.Address != learner.Address {
			continue
		}
		if l.core.IsActive(m.ID) {
			// The older member responded within the shortest election timeout; wait until it
			// is inactive.
			return
		}
		change = raft.Change{Kind: raft.Remove, ID: m.ID}
	}
	_, err := l.core.ProposeChange(change)
	if err == nil {
		_ = level.Info(l.r.logger).Log("msg", "proposed promotion of a learner or removal of the member that it replaces", "member", change.ID, "learner", learner.ID)
	}
	// On an error, such as an earlier change that is not committed yet, the next tick tries again.
}

// runInLoop runs f in the event loop, which owns the core. It returns false if the
// member stopped, or ctx ended before the loop accepted f.
func (r *Replica) runInLoop(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	call := func() {
		f()
		close(done)
	}
	select {
	case r.loopCalls <- call:
	case <-ctx.Done():
		return false
	case <-r.ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-r.ctx.Done():
		return false
	}
}
