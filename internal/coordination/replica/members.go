package replica

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/raft"
)

// ErrAddressInUse reports a member whose address belongs to this leader.
var ErrAddressInUse = errors.New("replica: address belongs to the leader")

// AddMember adds a learner, which is promoted to voter once it has caught up. Only
// the leader does. It returns once the change is committed, or ErrNotLeader,
// ErrUnknown, or an error of package raft for a change that is not possible now.
func (r *Replica) AddMember(ctx context.Context, id uint64, address string) error {
	return r.changeMembers(ctx, raft.Change{Kind: raft.AddLearner, ID: id, Address: address})
}

// RemoveMember removes a voter or learner. Only the leader does; errors are as for
// AddMember. A leader asked to remove itself hands over and returns ErrNotLeader; the
// call is then repeated on its successor.
func (r *Replica) RemoveMember(ctx context.Context, id uint64) error {
	if id == r.id {
		r.runInLoop(ctx, func() {
			// Without a successor the leader stays, and the caller sees it in Status.
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
		// Nothing was appended; an earlier change is committed soon or the leader steps down.
		select {
		case <-ctx.Done():
			return o.err
		case <-time.After(leaderPollInterval):
		}
	}
}

// maintainMembers runs on each tick. On the leader it promotes a learner that has
// caught up. If the learner has the address of an older member, that one lost its
// data: it is removed first, so that the number of voters never rises for a member
// that can't answer. A learner catches up only if the address is really its own.
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

func (l *loop) promoteOrReplace(configuration raft.Configuration, learner raft.Member) {
	change := raft.Change{Kind: raft.Promote, ID: learner.ID}
	for _, m := range configuration.Members {
		if m.ID == learner.ID || m.Address != learner.Address {
			continue
		}
		if l.core.IsActive(m.ID) {
			// It answered a moment ago; wait until it is silent.
			return
		}
		change = raft.Change{Kind: raft.Remove, ID: m.ID}
	}
	_, err := l.core.ProposeChange(change)
	if err == nil {
		_ = level.Info(l.r.logger).Log("msg", "member admitted or replaced", "member", change.ID, "learner", learner.ID)
	}
	// Otherwise an earlier change is not committed yet; the next tick tries again.
}

// runInLoop runs the function in the goroutine that owns the core; false when the
// member stopped or ctx ended before.
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
