package control

import (
	"context"
	"net"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/transport/mesh"
)

// serveStream passes a stream to the service of its first message. The authorizer checks
// every message of the stream, including those that the service receives.
func (c *Control) serveStream(ctx context.Context, stream net.Conn) {
	conn := frame.NewConn(stream)
	conn.CheckReceived(c.authorizer.messageCheck(mesh.IdentityFrom(ctx)))
	first, err := conn.Receive()
	if err != nil {
		return
	}
	if err := c.dispatch(ctx, first, conn); err != nil && ctx.Err() == nil {
		_ = level.Debug(c.logger).Log("msg", "mesh stream ended with an error", "peer", stream.RemoteAddr(), "err", err)
	}
}

func (c *Control) dispatch(ctx context.Context, first *wire.Envelope, conn *frame.Conn) error {
	switch first.GetBody().(type) {
	case *wire.Envelope_Subscribe:
		return c.distributor.ServeStream(ctx, first, conn)
	case *wire.Envelope_Raft, *wire.Envelope_ForwardProposal:
		return c.replicatedLog.ServeStream(ctx, first, conn)
	case *wire.Envelope_RegistryUpdate:
		return c.leaseExchange.ServeStream(first, conn)
	case *wire.Envelope_QuotaReport:
		if err := c.authorizer.requireMember(mesh.IdentityFrom(ctx), "a stream of quota reports"); err != nil {
			return err
		}
		return c.quotas.serveStream(first, conn)
	case *wire.Envelope_Claim, *wire.Envelope_RecordOutcome, *wire.Envelope_ReleaseClaim:
		return c.claimService.serveStream(ctx, first, conn)
	default:
		return errors.WithMessage(frame.ErrUnexpected, "received as first message of a stream")
	}
}
