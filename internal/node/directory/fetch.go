package directory

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/chicorylever/chicorylever/internal/coordination/distribute"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

const (
	// fetchJitter is the upper bound of the random delay before a revision is fetched
	// from a peer. Most nodes receive the revision from control within that time.
	fetchJitter = 500 * time.Millisecond
	// fetchTimeout bounds one fetch.
	fetchTimeout = 3 * time.Second
)

// Fetcher requests the document of a peer if its revision is higher than sinceRevision.
// The reply is a StateFull or a StateDiff.
type Fetcher func(ctx context.Context, address string, sinceRevision uint64) (*wire.Envelope, error)

// ObserveRevision is called with the revision stated in a message from a peer. If it is
// higher than the current revision, it is fetched from that peer in the background, with at
// most one fetch at a time. A node without any revision fetches none: a peer cannot confirm
// that its revision is the latest, and this node may have used a higher one before it
// restarted.
func (d *Directory) ObserveRevision(peerAddress string, revision uint64) {
	current := d.View().Revision
	if revision <= current || current == 0 || peerAddress == "" || d.fetch == nil {
		return
	}
	if !d.fetchRunning.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer d.fetchRunning.Store(false)
		time.Sleep(rand.N(fetchJitter))
		d.fetchFrom(peerAddress, revision)
	}()
}

func (d *Directory) fetchFrom(peerAddress string, revision uint64) {
	current := d.View().Revision
	if revision <= current {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	message, err := d.fetch(ctx, peerAddress, current)
	if err != nil {
		return // the next message from a peer triggers another fetch
	}
	if state := message.GetStateFull(); state != nil {
		d.Apply(&wire.StateFull{Revision: state.GetRevision(), Document: state.GetDocument(), DocumentOnly: true})
	}
	if diff := message.GetStateDiff(); diff != nil {
		d.ApplyDiff(&wire.StateDiff{
			BaseRevision: diff.GetBaseRevision(), Revision: diff.GetRevision(), Sections: diff.GetSections(),
		})
	}
}

// UpdateSince returns the StateDiff or StateFull that brings a peer from its revision to
// the current one, or nil when the current revision is not higher.
func (d *Directory) UpdateSince(peerRevision uint64) (*wire.Envelope, error) {
	d.mu.Lock()
	sections := d.sections
	d.mu.Unlock()
	if sections.Revision() <= peerRevision {
		return nil, nil
	}
	return distribute.DocumentUpdate(sections, peerRevision)
}
