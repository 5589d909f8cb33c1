package replica

import (
	"context"
	"io"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/raft"
	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// ErrOtherCluster reports a stream from a member of another cluster.
var ErrOtherCluster = errors.New("replica: the sender belongs to another cluster")

// ServeStream serves a stream of another member. The caller has already received its
// first envelope, which holds a RaftMessage or a ForwardProposal. ServeStream returns
// when the stream ends; the caller closes the stream. Errors are those of package
// frame, ErrOtherCluster, ErrStopped and, for bytes that no correct member sends,
// raft.ErrMalformed or an error of this package.
func (r *Replica) ServeStream(ctx context.Context, first *wire.Envelope, conn *frame.Conn) error {
	switch body := first.GetBody().(type) {
	case *wire.Envelope_ForwardProposal:
		return r.serveForward(ctx, first, body.ForwardProposal, conn)
	case *wire.Envelope_Raft:
		return r.serveRaft(ctx, first, conn)
	default:
		return errors.WithMessagef(frame.ErrUnexpected, "first envelope of a stream has a body of type %T", body)
	}
}

func (r *Replica) serveRaft(ctx context.Context, envelope *wire.Envelope, conn *frame.Conn) error {
	payload := envelope.GetRaft().GetPayload()
	if len(payload) > 0 && isIdentityExchange(payload[0]) {
		return r.serveIdentityExchange(ctx, payload, conn)
	}
	parts := &assembler{}
	for {
		if err := r.handleEnvelope(ctx, envelope, parts); err != nil {
			return err
		}
		var err error
		if envelope, err = conn.Receive(); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
	}
}

func isIdentityExchange(kind byte) bool {
	return kind == payloadIdentityRequest || kind == payloadJoinRequest || kind == payloadStopNotice
}

// handleEnvelope passes a complete message to the event loop. It drops messages to another
// member ID, such as that of an earlier member at this address that lost its data.
func (r *Replica) handleEnvelope(ctx context.Context, envelope *wire.Envelope, parts *assembler) error {
	message := envelope.GetRaft()
	if message == nil {
		return frame.ErrUnexpected
	}
	if r.ctx.Err() != nil {
		return ErrStopped
	}
	if message.GetTo() != r.id {
		parts.buffer = nil
		return nil
	}
	clusterID, ok := decodeClusterID(envelope)
	if !ok || !r.bindToCluster(clusterID) {
		_ = level.Warn(r.logger).Log("msg", "rejected a message from another cluster", "from", message.GetFrom())
		return ErrOtherCluster
	}
	if payload := message.GetPayload(); len(payload) > 0 && payload[0] == payloadHello {
		return r.handleHello(ctx, payload)
	}
	encoded, complete, err := parts.add(message.GetPayload())
	if err != nil || !complete {
		return err
	}
	m, err := raft.DecodeMessage(encoded)
	if err != nil {
		return err
	}
	if m.From != message.GetFrom() || m.To != r.id || m.From == r.id {
		return errMalformedPayload
	}
	r.enqueue(ctx, m)
	return nil
}

func (r *Replica) handleHello(ctx context.Context, payload []byte) error {
	hello, err := decodeIdentityMessage(payload)
	if err != nil {
		return err
	}
	r.runInLoop(ctx, func() { r.loop.learnAddress(hello.memberID, hello.address) })
	return nil
}

// enqueue drops a message if the inbox is full, because the sender's core repeats what
// is still needed. A snapshot waits for space, because it is repeated only after
// snapshotRetryTicks.
func (r *Replica) enqueue(ctx context.Context, m raft.Message) {
	if m.Kind != raft.MsgSnapshot {
		select {
		case r.inbox <- m:
		default:
		}
		return
	}
	select {
	case r.inbox <- m:
	case <-ctx.Done():
	case <-r.ctx.Done():
	}
}

// serveForward makes a proposal or a linearizable read for another member. It succeeds
// only on the leader; a request is not forwarded a second time.
func (r *Replica) serveForward(ctx context.Context, first *wire.Envelope, request *wire.ForwardProposal, conn *frame.Conn) error {
	clusterID, ok := decodeClusterID(first)
	if !ok || clusterID != r.clusterID() || clusterID == 0 {
		return ErrOtherCluster
	}
	r.lastForward.Store(time.Now().UnixNano())
	r.pendingForwards.Add(1)
	defer r.pendingForwards.Add(-1)
	conn.BindAttempt(first.GetAttemptId())
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	var o outcome
	switch {
	case r.closing.Load():
		o.err = ErrNotLeader
	case request.GetConfirmOnly():
		o = r.readIndexLocally(ctx)
	case len(request.GetCommand()) > MaxCommandBytes:
		o.err = ErrNotLeader
	default:
		o = r.proposeLocally(ctx, &proposal{command: request.GetCommand()})
	}
	response := &wire.ProposalResult{Result: o.result, Index: o.index}
	if o.err != nil {
		response.Error = o.err.Error()
		response.Unknown = !errors.Is(o.err, ErrNotLeader)
	}
	return conn.SendAndFlush(&wire.Envelope{Body: &wire.Envelope_ProposalResult{ProposalResult: response}})
}
