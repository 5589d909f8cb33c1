package directory

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/chicorylever/chicorylever/internal/coordination/distribute"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

const (
	// fetchJitter is the range of the random wait before a revision is fetched
	// from a peer. Most nodes get the revision from control within it.
	fetchJitter = 500 * time.Millisecond
	// fetchTimeout bounds one fetch.
	fetchTimeout = 3 * time.Second
)

// Fetcher asks a peer for the document above a revision. The reply is a
// StateFull or a StateDiff.
type Fetcher func(ctx context.Context, address string, have uint64) (*wire.Envelope, error)

// ObserveRevision is called with the revision that a message of a peer carries.
// When it is higher than the one in force, the revision is fetched from that
// peer in the background, at most one at a time. A node without any revision
// fetches none: a peer cannot confirm that its own is the latest, and this node
// may have had a higher one in force before it restarted.
func (d *Directory) ObserveRevision(peerAddress string, revision uint64) {
	have := d.View().Revision
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

func (d *Directory) fetchFrom(peerAddress string, revision uint64) {
	have := d.View().Revision
	if revision <= have {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	message, err := d.fetch(ctx, peerAddress, have)
	if err != nil {
		return // the next message of a peer makes another attempt
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

// RevisionAbove returns what takes a peer to the revision in force, or nil when
// there is nothing above the peer's revision.
func (d *Directory) RevisionAbove(have uint64) (*wire.Envelope, error) {
	d.mu.Lock()
	sections := d.sections
	d.mu.Unlock()
	if sections.Revision() <= have {
		return nil, nil
	}
	return distribute.DocumentUpdate(sections, have)
}
