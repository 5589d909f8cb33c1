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

// maintainMembers runs on each tick. On the leader it proposes the next change of
// planMemberChange.
func (l *loop) maintainMembers() {
	s := l.core.Status()
	l.stopUnusedPeers()
	l.expireStoppingMembers()
	if s.Role != raft.Leader {
		l.silentVoters = 0
		return
	}
	members := l.memberStates(s.Configuration)
	l.logSilentVoters(members)
	change, ok := planMemberChange(members, l.r.options.TargetVoters)
	if !ok {
		return
	}
	_, err := l.core.ProposeChange(change)
	if err == nil {
		_ = level.Info(l.r.logger).Log("msg", "proposed a change of the members", "change", change.Kind.String(), "member", change.ID,
			"voters", s.Configuration.VoterCount(), "silent_voters", l.silentVoters, "target_voters", l.r.options.TargetVoters)
	}
	// On an error, such as an earlier change that is not committed yet, the next tick tries again.
}

func (l *loop) memberStates(configuration raft.Configuration) []memberState {
	states := make([]memberState, 0, len(configuration.Members))
	for _, m := range configuration.Members {
		_, stopping := l.stoppingMembers[m.ID]
		states = append(states, memberState{
			Member:      m,
			silentTicks: l.core.SilentTicks(m.ID),
			caughtUp:    m.Learner && l.core.CaughtUp(m.ID),
			stopping:    stopping,
		})
	}
	return states
}

// logSilentVoters logs each change of the number of silent voters, with the number of
// further losses after which the cluster still has a quorum.
func (l *loop) logSilentVoters(members []memberState) {
	voters, silent := countVoters(members)
	if silent == l.silentVoters {
		return
	}
	l.silentVoters = silent
	_ = level.Warn(l.r.logger).Log("msg", "number of silent voters changed", "voters", voters, "silent_voters", silent,
		"tolerated_losses", toleratedLosses(voters, silent))
}

// markStopping records that a member has announced its stop.
func (l *loop) markStopping(id uint64) { l.stoppingMembers[id] = stoppingNoticeTicks }

func (l *loop) expireStoppingMembers() {
	for id := range l.stoppingMembers {
		l.stoppingMembers[id]--
		if l.stoppingMembers[id] <= 0 {
			delete(l.stoppingMembers, id)
		}
	}
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
