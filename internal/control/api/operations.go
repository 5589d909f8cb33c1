package api

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/replica"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

// Operations are the operators' changes that need no version of a section: batches of
// items and the states of zones. All of them may be repeated.
type Operations struct {
	proposer  replica.Proposer
	documents Documents
	now       func() time.Time
}

// NewOperations returns the operations on a replicated document.
func NewOperations(proposer replica.Proposer, documents Documents, now func() time.Time) *Operations {
	return &Operations{proposer: proposer, documents: documents, now: now}
}

// ApplyBatch applies the items for the team. Once it returns a result, the result is
// durable on a quorum. After an error the batch may or may not take effect.
func (o *Operations) ApplyBatch(ctx context.Context, team string, items []document.Item) (document.Result, error) {
	command, err := document.EncodeBatch(document.Batch{Team: team, Items: items, AtMs: o.now().UnixMilli()})
	if err != nil {
		return document.Result{}, err
	}
	return o.propose(ctx, command)
}

// SetZone takes a zone in or out for the team; otherwise as ApplyBatch.
func (o *Operations) SetZone(ctx context.Context, team, zone string, state document.ZoneState) (document.Result, error) {
	command, err := document.EncodeZoneState(team, zone, state, o.now())
	if err != nil {
		return document.Result{}, err
	}
	return o.propose(ctx, command)
}

// Read returns the document after a confirmed read.
func (o *Operations) Read(ctx context.Context) (*document.View, error) {
	if _, err := o.proposer.Confirm(ctx); err != nil {
		return nil, errors.WithMessage(err, "api: confirm")
	}
	return o.documents.View(), nil
}

func (o *Operations) propose(ctx context.Context, command []byte) (document.Result, error) {
	answer, _, err := o.proposer.Propose(ctx, command)
	if err != nil {
		return document.Result{}, errors.WithMessage(err, "api: propose")
	}
	return document.DecodeResult(answer)
}
