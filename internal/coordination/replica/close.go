package replica

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chicorylever/chicorylever/internal/coordination/raft"
)

// Status implements Proposer.
func (r *Replica) Status() Status {
	return *r.status.Load()
}

// ID returns this member's random ID.
func (r *Replica) ID() uint64 {
	return r.id
}

// Close stops the member. A leader first finishes the pending proposals and transfers
// its leadership; each of these steps takes at most 1 s. Close returns an error if the
// log in the data directory cannot be closed.
func (r *Replica) Close() error {
	r.closing.Store(true)
	r.closeOnce.Do(func() {
		wasLeader := r.Status().Leader == r.id
		r.transferLeadership()
		r.announceStop()
		r.waitForForwards(wasLeader)
		r.closeErr = r.shutDown()
	})
	return r.closeErr
}

// shutDown stops all goroutines without a graceful stop and closes the log.
func (r *Replica) shutDown() error {
	r.cancel()
	r.goroutines.Wait()
	return r.store.Close()
}

// waitForForwards waits until all forwarded requests have a response, for at most
// drainTimeout, because the caller of Close closes their streams once it has returned. With
// untilQuiet it also waits until none has arrived for forwardQuietPeriod: members that have not
// learned of the new leader yet still send requests here, and would have to take a closed stream
// for an unknown outcome.
func (r *Replica) waitForForwards(untilQuiet bool) {
	startedAt := time.Now()
	for time.Since(startedAt) < drainTimeout {
		lastForward := time.Unix(0, max(startedAt.UnixNano(), r.lastForward.Load()))
		isQuiet := !untilQuiet || time.Since(lastForward) >= forwardQuietPeriod
		if isQuiet && r.pendingForwards.Load() == 0 {
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// transferLeadership refuses further proposals, waits for the pending ones, then transfers the
// leadership to the best successor, each for at most drainTimeout. Without the refusal, a
// request that had passed the check for a stop before could still be appended, and its outcome
// would be unknown once the leadership is lost. It does nothing on a follower.
func (r *Replica) transferLeadership() {
	if r.Status().Leader != r.id {
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, 2*drainTimeout)
	defer cancel()
	r.pollInLoop(ctx, func(l *loop) bool {
		l.refusesProposals = true
		return len(l.pendingProposals) == 0
	})
	r.pollInLoop(ctx, func(l *loop) bool {
		status := l.core.Status()
		if status.Role != raft.Leader {
			return true
		}
		if status.Transferring {
			return false
		}
		successor := l.core.BestSuccessor()
		return successor != 0 && l.core.TransferLeader(successor) != nil
	})
}

// announceStop tells the leader that this member stops, so that a learner that has caught
// up takes its place at once. Without a learner nobody could, and nothing is sent: the
// stop is then a restart, in which the member stays a voter.
func (r *Replica) announceStop() {
	members := r.Status().Members
	if !slices.ContainsFunc(members, func(m Member) bool { return m.Learner && m.ID != r.id }) {
		return
	}
	// After a transfer of leadership the successor is not known at once.
	r.pollInLoop(r.ctx, func(l *loop) bool { return l.core.Status().Leader != 0 })
	leader, ok := r.leader()
	if !ok || leader.ID == r.id {
		return
	}
	if _, err := r.exchangeIdentity(leader.Address, payloadStopNotice); err != nil {
		_ = level.Warn(r.logger).Log("msg", "failed to announce the stop to the leader", "leader", leader.ID, "err", err)
	}
}

// pollInLoop evaluates the condition in the event loop until it is true, for at most
// drainTimeout.
func (r *Replica) pollInLoop(ctx context.Context, condition func(*loop) bool) {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	for ctx.Err() == nil {
		satisfied := false
		if !r.runInLoop(ctx, func() { satisfied = condition(r.loop) }) || satisfied {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(drainPollInterval):
		}
	}
}
