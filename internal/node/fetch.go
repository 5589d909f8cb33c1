package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/distribute"
	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/transport/mesh"
)

const (
	// fetchJitter is the range of the random wait before a revision is fetched
	// from a peer. Most nodes get the revision from control within it.
	fetchJitter = 500 * time.Millisecond
	// fetchTimeout bounds one fetch.
	fetchTimeout = 3 * time.Second
)

// fetcher asks a peer for the document above a revision. The reply is a
// StateFull or a StateDiff.
type fetcher func(ctx context.Context, address string, have uint64) (*wire.Envelope, error)

// observeRevision is called with the revision that a message of a peer carries.
// When it is higher than the one in force, the revision is fetched from that
// peer in the background, at most one at a time. A node without any revision
// fetches none: a peer cannot confirm that its own is the latest, and this node
// may have had a higher one in force before it restarted.
func (d *directory) observeRevision(peerAddress string, revision uint64) {
	have := d.view().revision
	if revision <= have || have == 0 || peerAddress == "" || d.fetch == nil {
		return
	}
	if !d.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer d.fetching.Store(false)
		time.Sleep(rand.N(fetchJitter))
		d.fetchFrom(peerAddress, revision)
	}()
}

func (d *directory) fetchFrom(peerAddress string, revision uint64) {
	have := d.view().revision
	if revision <= have {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	message, err := d.fetch(ctx, peerAddress, have)
	if err != nil {
		return
	}
	if state := message.GetStateFull(); state != nil {
		d.apply(&wire.StateFull{Revision: state.GetRevision(), Document: state.GetDocument(), DocumentOnly: true})
	}
	if diff := message.GetStateDiff(); diff != nil {
		d.applyDiff(&wire.StateDiff{
			BaseRevision: diff.GetBaseRevision(), Revision: diff.GetRevision(), Sections: diff.GetSections(),
		})
	}
}

// revisionAbove returns what takes a peer to the revision in force, or nil when
// there is nothing above the peer's revision.
func (d *directory) revisionAbove(have uint64) (*wire.Envelope, error) {
	d.mu.Lock()
	sections := d.sections
	d.mu.Unlock()
	if sections.Revision() <= have {
		return nil, nil
	}
	return distribute.DocumentUpdate(sections, have)
}

// fetchRevision asks a peer for the document above a revision.
func (n *Node) fetchRevision(ctx context.Context, address string, have uint64) (*wire.Envelope, error) {
	stream, err := n.client.Open(ctx, address, mesh.Small)
	if err != nil {
		return nil, errors.Wrap(err, "node: fetch revision")
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	conn := frame.NewConn(stream)
	ask := &wire.Envelope{Body: &wire.Envelope_FetchRevision{FetchRevision: &wire.FetchRevision{Have: have}}}
	if err := conn.SendNow(ask); err != nil {
		return nil, errors.Wrap(err, "node: fetch revision")
	}
	reply, err := conn.Receive()
	return reply, errors.Wrap(err, "node: fetch revision")
}

// serveRevision answers a peer that asks for a later revision. Without one the
// stream ends without a reply.
func (n *Node) serveRevision(conn *frame.Conn, fetch *wire.FetchRevision) {
	reply, err := n.directory.revisionAbove(fetch.GetHave())
	if err != nil {
		_ = level.Error(n.logger).Log("msg", "revision cannot be passed on", "err", err)
		return
	}
	if reply != nil {
		_ = conn.SendNow(reply)
	}
}
