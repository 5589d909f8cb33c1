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

// fetchRevision asks a peer for a newer revision of the configuration document.
func (n *Node) fetchRevision(ctx context.Context, address string, revision uint64) (*wire.Envelope, error) {
	stream, err := n.client.Open(ctx, address, mesh.Small)
	if err != nil {
		return nil, errors.Wrap(err, "node: fetch configuration revision from peer")
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	conn := frame.NewConn(stream)
	conn.AcceptCompressed()
	request := &wire.Envelope{Body: &wire.Envelope_FetchRevision{FetchRevision: &wire.FetchRevision{
		Have: revision, AcceptsCompressed: true,
	}}}
	if err := conn.SendAndFlush(request); err != nil {
		return nil, errors.Wrap(err, "node: fetch configuration revision from peer")
	}
	reply, err := conn.Receive()
	return reply, errors.Wrap(err, "node: fetch configuration revision from peer")
}

// serveRevision sends a peer the latest configuration if it is newer than the peer's
// revision. Otherwise the stream ends without a reply.
func (n *Node) serveRevision(conn *frame.Conn, fetch *wire.FetchRevision) {
	reply, err := n.directory.UpdateSince(fetch.GetHave())
	if err != nil {
		_ = level.Error(n.logger).Log("msg", "configuration revision cannot be sent to peer", "err", err)
		return
	}
	if reply == nil {
		return
	}
	encode := frame.Encode
	if fetch.GetAcceptsCompressed() {
		encode = frame.EncodeCompressed
	}
	encoded, err := encode(reply)
	if err == nil {
		err = conn.SendEncoded(encoded)
	}
	if err == nil {
		_ = conn.Flush()
	}
}
