package replica

import (
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/raft"
)

// applyRequest is a batch for the state machine or, if snapshotMeta is set, a request
// to take a snapshot.
type applyRequest struct {
	raft.Apply
	snapshotMeta *raft.SnapshotMeta
}

// applyResult is the result of an applyRequest.
type applyResult struct {
	// index is the last log index that the state of the state machine includes.
	index   uint64
	entries []raft.Entry
	results [][]byte
	// tookSnapshot is true if the request was to take a snapshot.
	tookSnapshot bool
}

// writeLoop makes hard state, entries and received snapshots durable, one Ready at a
// time. Proposals that arrive during a write share the next one.
func (r *Replica) writeLoop() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case ready := <-r.logWrites:
			if err := r.write(ready); err != nil {
				r.fail(err)
				return
			}
			r.logWritesDone <- ready
		}
	}
}

func (r *Replica) write(ready raft.Ready) error {
	if ready.Snapshot != nil {
		if err := r.store.InstallSnapshot(*ready.Snapshot); err != nil {
			return errors.WithMessage(err, "replica: install snapshot")
		}
	}
	if ready.HardState == nil && len(ready.Entries) == 0 {
		return nil
	}
	return errors.WithMessage(r.store.Append(ready.HardState, ready.Entries), "replica: append to log")
}

// applyLoop is the only goroutine that uses the state machine.
func (r *Replica) applyLoop() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case request := <-r.applyRequests:
			result, err := r.apply(request)
			if err != nil {
				r.fail(err)
				return
			}
			r.applyResults <- result
		}
	}
}

func (r *Replica) apply(request applyRequest) (applyResult, error) {
	if request.snapshotMeta != nil {
		return applyResult{tookSnapshot: true}, r.takeSnapshot(*request.snapshotMeta)
	}
	if request.Snapshot != nil {
		err := r.options.StateMachine.Restore(request.Snapshot.Data)
		return applyResult{index: request.Snapshot.Meta.Index}, errors.Wrap(err, "replica: restore state machine from snapshot")
	}
	result := applyResult{entries: request.Entries, results: make([][]byte, len(request.Entries))}
	for i, e := range request.Entries {
		if e.Kind == raft.EntryCommand {
			result.results[i] = r.options.StateMachine.Apply(e.Index, e.Data)
		}
		result.index = e.Index
	}
	return result, nil
}

func (r *Replica) takeSnapshot(meta raft.SnapshotMeta) error {
	data, err := r.options.StateMachine.Snapshot()
	if err != nil {
		return errors.Wrap(err, "replica: take snapshot of state machine")
	}
	r.snapshotSaves <- raft.Snapshot{Meta: meta, Data: data}
	return nil
}

// saveLoop saves snapshots concurrently with writes to the log, so that a large
// snapshot delays neither these writes nor the state machine.
func (r *Replica) saveLoop() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case snapshot := <-r.snapshotSaves:
			if err := r.store.SaveSnapshot(snapshot); err != nil {
				r.fail(errors.WithMessage(err, "replica: save snapshot"))
				return
			}
			r.snapshotsSaved <- snapshot.Meta
		}
	}
}

// fail stops the member after an unrecoverable error.
func (r *Replica) fail(err error) {
	r.failOnce.Do(func() {
		if r.ctx.Err() != nil {
			return
		}
		r.failErr = err
		_ = level.Error(r.logger).Log("msg", "stopping the member after an unrecoverable error", "err", err)
		close(r.failed)
		r.cancel()
	})
}

// Failed returns a channel that is closed when an error has stopped the member. Err
// returns the error.
func (r *Replica) Failed() <-chan struct{} {
	return r.failed
}

// Err returns the error that stopped the member, or nil.
func (r *Replica) Err() error {
	select {
	case <-r.failed:
		return r.failErr
	default:
		return nil
	}
}
