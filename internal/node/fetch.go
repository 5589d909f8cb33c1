package node

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/transport/mesh"
)

// fetchRevision asks a peer for the document above a revision.
func (n *Node) fetchRevision(ctx context.Context, address string, revision uint64) (*wire.Envelope, error) {
	stream, err := n.client.Open(ctx, address, mesh.Small)
	if err != nil {
		return nil, errors.Wrap(err, "node: fetch revision")
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	conn := frame.NewConn(stream)
	request := &wire.Envelope{Body: &wire.Envelope_FetchRevision{FetchRevision: &wire.FetchRevision{Have: revision}}}
	if err := conn.SendNow(request); err != nil {
		return nil, errors.Wrap(err, "node: fetch revision")
	}
	reply, err := conn.Receive()
	return reply, errors.Wrap(err, "node: fetch revision")
}

// serveRevision answers a peer that asks for a later revision. Without one the
// stream ends without a reply.
func (n *Node) serveRevision(conn *frame.Conn, fetch *wire.FetchRevision) {
	reply, err := n.directory.RevisionAbove(fetch.GetHave())
	if err != nil {
		_ = level.Error(n.logger).Log("msg", "revision cannot be passed on", "err", err)
		return
	}
	if reply != nil {
		_ = conn.SendNow(reply)
	}
}
