package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/transport/mesh"
)

const (
	// memberTimeout bounds one request to one control member.
	memberTimeout = time.Second
	// claimBackoff is the wait after a request to each member has failed.
	claimBackoff = 50 * time.Millisecond
)

// errClaimUnavailable reports that no control member gave a definite result. The
// claim may or may not have been granted.
var errClaimUnavailable = errors.New("claim: no definite result from control")

// Claimer claims idempotency keys, so that a request with a key runs at most once. Each
// method repeats its request until it has a definite result. When ctx ends first, it
// returns an error and the result is unknown. All requests may be repeated with the same
// attempt ID.
type Claimer interface {
	// Claim requests the key. The state of the result is never CLAIM_UNAVAILABLE.
	Claim(ctx context.Context, claim *wire.Claim) (*wire.ClaimResult, error)
	// RecordOutcome durably ends a granted claim whose request was dispatched.
	RecordOutcome(ctx context.Context, outcome *wire.RecordOutcome) error
	// Release durably releases a granted claim whose request was not dispatched.
	Release(ctx context.Context, release *wire.ReleaseClaim) error
}

// meshClaimer sends requests to the control members in turn, beginning with the last one
// that gave a definite result.
type meshClaimer struct {
	client *mesh.Client
	// members returns the current addresses of the control members, at least one.
	members    func() []string
	lastMember atomic.Uint32
}

func newMeshClaimer(client *mesh.Client, members func() []string) *meshClaimer {
	return &meshClaimer{client: client, members: members}
}

// Claim implements Claimer.
func (m *meshClaimer) Claim(ctx context.Context, claim *wire.Claim) (*wire.ClaimResult, error) {
	request := func() *wire.Envelope { return &wire.Envelope{Body: &wire.Envelope_Claim{Claim: claim}} }
	var result *wire.ClaimResult
	err := m.callMembers(ctx, request, func(response *wire.Envelope) bool {
		result = response.GetClaimResult()
		state := result.GetState()
		return state != wire.ClaimState_CLAIM_UNSPECIFIED && state != wire.ClaimState_CLAIM_UNAVAILABLE
	})
	return result, err
}

// RecordOutcome implements Claimer.
func (m *meshClaimer) RecordOutcome(ctx context.Context, outcome *wire.RecordOutcome) error {
	return m.callMembers(ctx, func() *wire.Envelope {
		return &wire.Envelope{Body: &wire.Envelope_RecordOutcome{RecordOutcome: outcome}}
	}, isAcknowledged)
}

// Release implements Claimer.
func (m *meshClaimer) Release(ctx context.Context, release *wire.ReleaseClaim) error {
	return m.callMembers(ctx, func() *wire.Envelope {
		return &wire.Envelope{Body: &wire.Envelope_ReleaseClaim{ReleaseClaim: release}}
	}, isAcknowledged)
}

func isAcknowledged(response *wire.Envelope) bool { return response.GetClaimAck().GetOk() }

// callMembers sends the request to the members in turn until a response is definite.
func (m *meshClaimer) callMembers(ctx context.Context, request func() *wire.Envelope, isDefinite func(*wire.Envelope) bool) error {
	for requests := 1; ; requests++ {
		index, members := m.lastMember.Load(), m.members()
		response, err := m.callMember(ctx, members[int(index)%len(members)], request())
		if err == nil && isDefinite(response) {
			return nil
		}
		m.lastMember.CompareAndSwap(index, index+1)
		backoff := time.Duration(0)
		if requests%len(members) == 0 {
			backoff = claimBackoff
		}
		if !sleep(ctx, backoff) {
			return errors.WithMessagef(errClaimUnavailable, "last error: %v", err)
		}
	}
}

// sleep waits for d. It returns false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d == 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (m *meshClaimer) callMember(ctx context.Context, address string, request *wire.Envelope) (*wire.Envelope, error) {
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	stream, err := m.client.Open(ctx, address, mesh.ControlCall)
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	conn := frame.NewConn(stream)
	if err := conn.SendAndFlush(request); err != nil {
		return nil, err
	}
	return conn.Receive()
}
