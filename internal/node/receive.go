package node

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/google/uuid"

	"github.com/chicorylever/chicorylever/internal/node/msgstream"
	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/state/document"
	"github.com/chicorylever/chicorylever/internal/transport/mesh"
)

const (
	// firstMessageTimeout bounds the wait for the first message of a stream.
	firstMessageTimeout = 5 * time.Second
	// attemptIDBytes is the length of attempt IDs.
	attemptIDBytes = 16
	// maxTimeout is the longest timeout that a request may state.
	maxTimeout = 24 * time.Hour
)

// chunkBuffers holds buffers for body chunks.
var chunkBuffers = sync.Pool{New: func() any { return new([frame.ChunkBytes]byte) }}

// serveStream serves one stream of another node, which is a *mesh.Accepted.
func (n *Node) serveStream(ctx context.Context, raw net.Conn) {
	stream := msgstream.NewMeshStream(raw)
	_ = raw.SetReadDeadline(time.Now().Add(firstMessageTimeout))
	first, err := stream.Receive()
	if err != nil {
		return
	}
	_ = raw.SetReadDeadline(time.Time{})
	if fetch := first.GetFetchRevision(); fetch != nil {
		n.serveRevision(stream.Conn, fetch)
		return
	}
	if isRequestHead(first) {
		n.serveAttempts(ctx, raw.(*mesh.Accepted), stream, first)
	}
}

// serveLocal serves an attempt for which this node is also the entry node.
func (n *Node) serveLocal(stream *msgstream.PipeEnd, id uuid.UUID) {
	first, err := stream.Receive()
	if err != nil || first.GetRequestHead() == nil {
		stream.Close()
		return
	}
	defer stream.Close()
	n.newReceivedAttempt(stream, id[:], first.GetRequestHead()).serve(context.Background())
}

// syncZone applies the state of this node's zone in the current configuration.
func (n *Node) syncZone() {
	zone := n.directory.View().Doc.Zones[n.settings.Zone]
	if n.upstream.setZoneOut(zone.State == document.ZoneOut) {
		n.directory.RequestHeartbeat()
		_ = level.Info(n.logger).Log("msg", "zone changed", "zone", n.settings.Zone, "state", zone.State)
	}
}

// maxBodyBytes returns the largest request body in bytes.
func (n *Node) maxBodyBytes() int64 {
	if limit := n.directory.View().Doc.Limits.MaxBodyBytes; limit > 0 {
		return limit
	}
	return document.DefaultLimits().MaxBodyBytes
}
