package api

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/replica"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

// Operations are the changes of operators that need no edit ID: batches of items, which are
// idempotent, and zone states, which name the version that they replace.
type Operations struct {
	proposer  replica.Proposer
	documents Documents
	now       func() time.Time
	terms     document.RolloutTerms
}

// NewOperations returns the operations on a replicated document; now returns the time
// that commands carry, terms are those of the rollouts that it starts.
func NewOperations(proposer replica.Proposer, documents Documents, now func() time.Time, terms document.RolloutTerms) *Operations {
	return &Operations{proposer: proposer, documents: documents, now: now, terms: terms}
}

// ApplyBatch applies the items on behalf of the team. When it returns a result, the
// result is durable on a quorum. After an error the batch may or may not take effect.
func (o *Operations) ApplyBatch(ctx context.Context, team string, items []document.Item) (document.Result, error) {
	command, err := document.EncodeBatch(document.Batch{Team: team, Items: items, AtMs: o.now().UnixMilli()})
	if err != nil {
		return document.Result{}, err
	}
	return o.propose(ctx, command)
}

// SetZone sets the state of a zone on behalf of the team, if the zone's section still has
// the version base; otherwise the outcome is document.Conflict. Its result and error have
// the same meaning as those of ApplyBatch.
func (o *Operations) SetZone(ctx context.Context, team, zone string, state document.ZoneState, base uint64) (document.Result, error) {
	command, err := document.EncodeZoneState(team, zone, state, base, o.now())
	if err != nil {
		return document.Result{}, err
	}
	return o.propose(ctx, command)
}

// StartRollout starts a rollout of a service on behalf of the team. A repeat of the latest
// start request of the service is accepted and changes nothing; while another rollout of the
// service is running the outcome is document.Conflict. Its result and error have the same
// meaning as those of ApplyBatch.
func (o *Operations) StartRollout(ctx context.Context, team, service, targetVersion string, durationMs int64) (document.Result, error) {
	command, err := document.EncodeRolloutStart(document.RolloutStart{
		Team: team, Service: service, TargetVersion: targetVersion, DurationMs: durationMs,
		Terms: o.terms, AtMs: o.now().UnixMilli(),
	})
	if err != nil {
		return document.Result{}, err
	}
	return o.propose(ctx, command)
}

// Rollout makes a linearizable read of the latest rollout of a service. It returns false
// without one.
func (o *Operations) Rollout(ctx context.Context, service string) (Rollout, bool, error) {
	view, err := o.Read(ctx)
	if err != nil {
		return Rollout{}, false, err
	}
	r, ok := readRollout(o.documents, view, service)
	return r, ok, nil
}

// Rollouts makes a linearizable read of the latest rollout of each service, by service.
func (o *Operations) Rollouts(ctx context.Context) ([]Rollout, error) {
	view, err := o.Read(ctx)
	if err != nil {
		return nil, err
	}
	return readRollouts(o.documents, view), nil
}

// Read makes a linearizable read of the document.
func (o *Operations) Read(ctx context.Context) (*document.View, error) {
	if _, err := o.proposer.ReadIndex(ctx); err != nil {
		return nil, errors.WithMessage(err, "api: confirm linearizable read")
	}
	return o.documents.View(), nil
}

func (o *Operations) propose(ctx context.Context, command []byte) (document.Result, error) {
	encodedResult, _, err := o.proposer.Propose(ctx, command)
	if err != nil {
		return document.Result{}, errors.WithMessage(err, "api: propose change of the document")
	}
	return document.DecodeResult(encodedResult)
}
