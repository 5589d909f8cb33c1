package replica

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/raft"
)

// outcome is the result or error that ends a proposal or a read.
type outcome struct {
	index  uint64
	result []byte
	err    error
}

// proposal is a command, or a membership change if change is not nil.
type proposal struct {
	command []byte
	change  *raft.Change
	done    chan outcome
}

func (p *proposal) finish(o outcome) {
	p.done <- o
}

// readRequest is a linearizable read that waits for the index confirmed by a quorum.
type readRequest struct {
	done chan outcome
}

func (r *readRequest) finish(o outcome) {
	r.done <- o
}

// Propose implements Proposer. It sends a proposal to a leader only once: if the
// response is lost, it returns ErrOutcomeUnknown.
func (r *Replica) Propose(ctx context.Context, command []byte) ([]byte, uint64, error) {
	if len(command) > MaxCommandBytes {
		return nil, 0, ErrCommandTooLarge
	}
	o := r.withLeader(ctx, func(leader Member) outcome {
		if leader.ID == r.id {
			return r.proposeLocally(ctx, &proposal{command: command})
		}
		return r.forward(ctx, leader.Address, command, false)
	})
	if o.err != nil {
		return nil, 0, o.err
	}
	if err := r.appliedIndex.wait(ctx, r.ctx, o.index); err != nil {
		return nil, 0, unknownIfStopped(err)
	}
	return o.result, o.index, nil
}

// ReadIndex implements Proposer.
func (r *Replica) ReadIndex(ctx context.Context) (uint64, error) {
	o := r.withLeader(ctx, func(leader Member) outcome {
		if leader.ID == r.id {
			return r.readIndexLocally(ctx)
		}
		response := r.forward(ctx, leader.Address, nil, true)
		if errors.Is(response.err, ErrOutcomeUnknown) {
			// A read has no effect and can be repeated.
			response.err = ErrNotLeader
		}
		return response
	})
	if o.err != nil {
		return 0, o.err
	}
	return o.index, r.appliedIndex.wait(ctx, r.ctx, o.index)
}

// withLeader calls attempt with the current leader until it returns anything but
// ErrNotLeader, which means that no proposal or read was started, or until
// leaderWaitTimeout has passed.
func (r *Replica) withLeader(ctx context.Context, attempt func(Member) outcome) outcome {
	deadline := time.Now().Add(leaderWaitTimeout)
	for {
		if r.ctx.Err() != nil {
			return outcome{err: ErrStopped}
		}
		if leader, ok := r.leader(); ok {
			o := attempt(leader)
			if !errors.Is(o.err, ErrNotLeader) {
				return o
			}
		}
		if time.Now().After(deadline) {
			return outcome{err: ErrNotLeader}
		}
		select {
		case <-ctx.Done():
			return outcome{err: ErrNotLeader}
		case <-r.ctx.Done():
			return outcome{err: ErrStopped}
		case <-time.After(leaderPollInterval):
		}
	}
}

// leader returns the current leader if it is known, except this member itself while it
// is closing.
func (r *Replica) leader() (Member, bool) {
	s := r.Status()
	if r.closing.Load() && s.Leader == r.id {
		return Member{}, false
	}
	for _, m := range s.Members {
		if m.ID == s.Leader {
			return m, true
		}
	}
	return Member{}, false
}

// proposeLocally makes a proposal to this member's core. The outcome is ErrNotLeader if
// this member does not lead.
func (r *Replica) proposeLocally(ctx context.Context, p *proposal) outcome {
	p.done = make(chan outcome, 1)
	select {
	case r.proposals <- p:
	case <-ctx.Done():
		return outcome{err: ErrNotLeader}
	case <-r.ctx.Done():
		return outcome{err: ErrStopped}
	}
	return r.awaitOutcome(ctx, p.done, ErrOutcomeUnknown)
}

// readIndexLocally requests a read index from this member's core, which a quorum has to
// confirm. The outcome is ErrNotLeader if this member does not lead.
func (r *Replica) readIndexLocally(ctx context.Context) outcome {
	request := &readRequest{done: make(chan outcome, 1)}
	select {
	case r.reads <- request:
	case <-ctx.Done():
		return outcome{err: ctx.Err()}
	case <-r.ctx.Done():
		return outcome{err: ErrStopped}
	}
	return r.awaitOutcome(ctx, request.done, ErrStopped)
}

// awaitOutcome waits for the outcome. It returns stoppedErr if the member stops first.
func (r *Replica) awaitOutcome(ctx context.Context, done chan outcome, stoppedErr error) outcome {
	select {
	case o := <-done:
		return o
	case <-ctx.Done():
		return outcome{err: ctx.Err()}
	case <-r.ctx.Done():
		return outcome{err: stoppedErr}
	}
}

func unknownIfStopped(err error) error {
	if errors.Is(err, ErrStopped) {
		return ErrOutcomeUnknown
	}
	return err
}

// proposeBatch appends the proposal and those queued after it to the log.
func (l *loop) proposeBatch(first *proposal) {
	batch := []*proposal{first}
	for len(batch) < maxBatchItems && len(batch)+len(l.pendingProposals) < maxPendingRequests {
		select {
		case p := <-l.r.proposals:
			batch = append(batch, p)
			continue
		default:
		}
		break
	}
	for _, p := range batch {
		l.proposeOne(p)
	}
}

func (l *loop) proposeOne(p *proposal) {
	// pendingProposals may hold proposals of one term only.
	l.failPendingIfLeadershipLost()
	index, err := l.appendProposal(p)
	if err != nil {
		p.finish(outcome{err: wrapCoreError(err)})
		return
	}
	l.pendingTerm = l.core.Status().Term
	l.pendingProposals[index] = p
	l.pendingCommandBytes += len(p.command)
}

func (l *loop) appendProposal(p *proposal) (uint64, error) {
	if l.refusesProposals {
		return 0, raft.ErrNotLeader
	}
	if p.change != nil {
		return l.core.ProposeChange(*p.change)
	}
	index, _, err := l.core.Propose([][]byte{p.command})
	return index, err
}

func wrapCoreError(err error) error {
	if errors.Is(err, raft.ErrNotLeader) {
		return ErrNotLeader
	}
	return errors.WithMessage(err, "replica: change members")
}

func (l *loop) startRead(request *readRequest) {
	l.lastReadID++
	if err := l.core.ReadIndex(l.lastReadID); err != nil {
		request.finish(outcome{err: wrapCoreError(err)})
		return
	}
	l.pendingReads[l.lastReadID] = request
}

func (l *loop) finishReads(results []raft.ReadResult) {
	for _, result := range results {
		request := l.pendingReads[result.ID]
		delete(l.pendingReads, result.ID)
		if request == nil {
			continue
		}
		if result.Failed {
			request.finish(outcome{err: ErrNotLeader})
			continue
		}
		request.finish(outcome{index: result.Index})
	}
}
