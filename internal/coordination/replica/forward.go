package replica

import (
	"context"

	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/transport/mesh"
)

// forward sends a proposal or a read to the leader once. The outcome is ErrNotLeader if nothing
// was sent or the leader rejected the request, and ErrOutcomeUnknown if the response was lost.
func (r *Replica) forward(ctx context.Context, address string, command []byte, confirmOnly bool) outcome {
	stream, err := r.options.Mesh.Open(ctx, address, mesh.Small)
	if err != nil {
		return outcome{err: ErrNotLeader}
	}
	defer func() { _ = stream.Close() }()
	defer context.AfterFunc(ctx, func() { _ = stream.Close() })()
	defer context.AfterFunc(r.ctx, func() { _ = stream.Close() })()
	conn := frame.NewConn(stream)
	conn.BindAttempt(encodeClusterID(r.clusterID()))
	request := &wire.ForwardProposal{Command: command, ConfirmOnly: confirmOnly}
	if err := conn.SendAndFlush(&wire.Envelope{Body: &wire.Envelope_ForwardProposal{ForwardProposal: request}}); err != nil {
		return missingResponse(ctx)
	}
	envelope, err := conn.Receive()
	if err != nil || envelope.GetProposalResult() == nil {
		return missingResponse(ctx)
	}
	response := envelope.GetProposalResult()
	switch {
	case response.GetUnknown():
		return outcome{err: ErrOutcomeUnknown}
	case response.GetError() != "":
		return outcome{err: ErrNotLeader}
	default:
		return outcome{index: response.GetIndex(), result: response.GetResult()}
	}
}

// missingResponse returns the outcome of a request that may have reached the leader but
// got no response.
func missingResponse(ctx context.Context) outcome {
	if err := ctx.Err(); err != nil {
		return outcome{err: err}
	}
	return outcome{err: ErrOutcomeUnknown}
}
