package control

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/replica"
	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/state/claims"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

const (
	// claimCapacityBytes bounds the memory that the records of keyed requests use on a
	// member. Beyond it, claims of new keys are rejected and their requests not executed.
	claimCapacityBytes = 1 << 30
	// claimTimeout bounds one proposal. The node retries with the same attempt ID.
	claimTimeout = 2 * time.Second
)

// claimService handles the claim requests of nodes by proposals to the replicated log.
type claimService struct {
	proposer        replica.Proposer
	documentMachine *document.Machine
}

// serveStream handles claim requests in order until the stream ends.
func (s *claimService) serveStream(ctx context.Context, first *wire.Envelope, conn *frame.Conn) error {
	for message := first; ; {
		response, err := s.respond(ctx, message)
		if err != nil {
			return err
		}
		conn.BindAttempt(message.GetAttemptId())
		if err := conn.SendAndFlush(response); err != nil {
			return err
		}
		conn.BindAttempt(nil)
		if message, err = conn.Receive(); err != nil {
			return nil //nolint:nilerr // the node ends the stream when it has no more requests
		}
	}
}

func (s *claimService) respond(ctx context.Context, message *wire.Envelope) (*wire.Envelope, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	switch {
	case message.GetClaim() != nil:
		result := s.claim(ctx, message.GetClaim())
		return &wire.Envelope{Body: &wire.Envelope_ClaimResult{ClaimResult: result}}, nil
	case message.GetRecordOutcome() != nil:
		command, err := claims.EncodeRecordOutcome(message.GetRecordOutcome(), time.Now())
		return s.proposeAndAcknowledge(ctx, command, err)
	case message.GetReleaseClaim() != nil:
		command, err := claims.EncodeRelease(message.GetReleaseClaim(), time.Now())
		return s.proposeAndAcknowledge(ctx, command, err)
	default:
		return nil, errors.WithMessage(frame.ErrUnexpected, "received on a stream of claim requests")
	}
}

// claim proposes the claim. It returns CLAIM_UNAVAILABLE if the proposal has no result.
// The claim may then still be granted, but only the same attempt may use it.
func (s *claimService) claim(ctx context.Context, claim *wire.Claim) *wire.ClaimResult {
	unavailable := &wire.ClaimResult{State: wire.ClaimState_CLAIM_UNAVAILABLE}
	command, err := claims.EncodeClaim(claim, s.terms(claim.GetService()))
	if err != nil {
		return unavailable
	}
	encodedResult, _, err := s.proposer.Propose(ctx, command)
	if err != nil {
		return unavailable
	}
	result, err := claims.DecodeClaimResult(encodedResult)
	if err != nil {
		return unavailable
	}
	return result
}

// terms returns the timeout, retention and capacity for a claim. The timeout is the
// longest of the service, because the claim does not carry the timeout of its request.
func (s *claimService) terms(service string) claims.Terms {
	doc := s.documentMachine.View().Document
	terms := claims.Terms{ProposedAt: time.Now(), CapacityBytes: claimCapacityBytes}
	if doc == nil {
		terms.Retention = time.Duration(document.DefaultLimits().ClaimHours) * time.Hour
		return terms
	}
	config := doc.Services[service]
	terms.Timeout = config.LongestTimeout()
	terms.Retention = time.Duration(doc.Limits.ClaimHours) * time.Hour
	return terms
}

// proposeAndAcknowledge proposes a command that ends a claim, unless its encoding failed
// with err. The node retries after an error, which is safe because the commands are
// idempotent.
func (s *claimService) proposeAndAcknowledge(ctx context.Context, command []byte, err error) (*wire.Envelope, error) {
	ack := &wire.ClaimAck{}
	if err == nil {
		ack, err = s.propose(ctx, command)
	}
	if err != nil {
		ack = &wire.ClaimAck{Error: err.Error()}
	}
	return &wire.Envelope{Body: &wire.Envelope_ClaimAck{ClaimAck: ack}}, nil
}

func (s *claimService) propose(ctx context.Context, command []byte) (*wire.ClaimAck, error) {
	encodedAck, _, err := s.proposer.Propose(ctx, command)
	if err != nil {
		return nil, err
	}
	return claims.DecodeAck(encodedAck)
}
