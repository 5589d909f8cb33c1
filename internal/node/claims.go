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
	// claimBackoff is the pause after all members failed.
	claimBackoff = 50 * time.Millisecond
)

// errClaimUnavailable reports that no control member gave a definite result. The
// claim may or may not have been granted.
var errClaimUnavailable = errors.New("claim: no definite result from control")

// Claimer grants keyed requests the right to run once. Each method asks until it has
// a definite result or ctx ends; then it returns an error and the result is unknown.
// All requests may be repeated with the same attempt ID.
type Claimer interface {
	// Claim asks for the key. The state of the result is never CLAIM_UNAVAILABLE.
	Claim(ctx context.Context, claim *wire.Claim) (*wire.ClaimResult, error)
	// RecordOutcome ends a granted claim after dispatch, durably.
	RecordOutcome(ctx context.Context, outcome *wire.RecordOutcome) error
	// Release gives a granted claim back, durably. The holder did not dispatch.
	Release(ctx context.Context, release *wire.ReleaseClaim) error
}

// meshClaimer asks the control members in turn, beginning with the last that answered.
type meshClaimer struct {
	client  *mesh.Client
	members []string
	last    atomic.Uint32
}

func newMeshClaimer(client *mesh.Client, members []string) *meshClaimer {
	return &meshClaimer{client: client, members: members}
}

// Claim implements Claimer.
func (m *meshClaimer) Claim(ctx context.Context, claim *wire.Claim) (*wire.ClaimResult, error) {
	request := func() *wire.Envelope { return &wire.Envelope{Body: &wire.Envelope_Claim{Claim: claim}} }
	var result *wire.ClaimResult
	err := m.ask(ctx, request, func(answer *wire.Envelope) bool {
		result = answer.GetClaimResult()
		state := result.GetState()
		return state != wire.ClaimState_CLAIM_UNSPECIFIED && state != wire.ClaimState_CLAIM_UNAVAILABLE
	})
	return result, err
}

// RecordOutcome implements Claimer.
func (m *meshClaimer) RecordOutcome(ctx context.Context, outcome *wire.RecordOutcome) error {
	return m.ask(ctx, func() *wire.Envelope {
		return &wire.Envelope{Body: &wire.Envelope_RecordOutcome{RecordOutcome: outcome}}
	}, isAcknowledged)
}

// Release implements Claimer.
func (m *meshClaimer) Release(ctx context.Context, release *wire.ReleaseClaim) error {
	return m.ask(ctx, func() *wire.Envelope {
		return &wire.Envelope{Body: &wire.Envelope_ReleaseClaim{ReleaseClaim: release}}
	}, isAcknowledged)
}

func isAcknowledged(answer *wire.Envelope) bool { return answer.GetClaimAck().GetOk() }

// ask sends the request to the members in turn until an answer is definite.
func (m *meshClaimer) ask(ctx context.Context, request func() *wire.Envelope, definite func(*wire.Envelope) bool) error {
	for tries := 1; ; tries++ {
		index := m.last.Load()
		answer, err := m.askMember(ctx, m.members[int(index)%len(m.members)], request())
		if err == nil && definite(answer) {
			return nil
		}
		m.last.CompareAndSwap(index, index+1)
		pause := time.Duration(0)
		if tries%len(m.members) == 0 {
			pause = claimBackoff
		}
		if !sleep(ctx, pause) {
			return errors.WithMessagef(errClaimUnavailable, "last error: %v", err)
		}
	}
}

// sleep returns false when ctx has ended.
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

func (m *meshClaimer) askMember(ctx context.Context, address string, request *wire.Envelope) (*wire.Envelope, error) {
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
	if err := conn.SendNow(request); err != nil {
		return nil, err
	}
	return conn.Receive()
}
