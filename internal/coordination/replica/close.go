package replica

import (
	"context"
	"time"

	"github.com/chicorylever/chicorylever/internal/coordination/raft"
)

// Status implements Proposer.
func (r *Replica) Status() Status {
	return *r.status.Load()
}

// ID returns the member's random ID.
func (r *Replica) ID() uint64 {
	return r.id
}

// Close stops the member. A leader first finishes the proposals under way and hands
// its leadership over; each takes at most one second. It returns an error when the
// folder cannot be released.
func (r *Replica) Close() error {
	r.closing.Store(true)
	r.closeOnce.Do(func() {
		r.transferLeadership()
		r.waitForForwards()
		r.closeErr = r.shutDown()
	})
	return r.closeErr
}

// shutDown stops all goroutines at once.
func (r *Replica) shutDown() error {
	r.cancel()
	r.goroutines.Wait()
	return r.store.Close()
}

// waitForForwards waits until forwarded requests are answered, for at most
// drainTimeout: the caller closes their streams once Close has returned.
func (r *Replica) waitForForwards() {
	deadline := time.Now().Add(drainTimeout)
	for r.pendingForwards.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
}

func (r *Replica) transferLeadership() {
	if r.Status().Leader != r.id {
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, 2*drainTimeout)
	defer cancel()
	r.pollInLoop(ctx, func(l *loop) bool { return len(l.pendingProposals) == 0 && len(r.proposals) == 0 })
	transferStarted := false
	r.pollInLoop(ctx, func(l *loop) bool {
		if l.core.Status().Role != raft.Leader {
			return true
		}
		if !transferStarted {
			successor := l.core.BestSuccessor()
			transferStarted = successor != 0
			return l.core.TransferLeader(successor) != nil
		}
		return false
	})
}

// pollInLoop calls condition in the loop until it holds, for at most drainTimeout.
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
