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

// observedRevisionTimeout is how long AwaitObserved waits for a revision that a peer has
// stated, counted from that statement. A revision that has not arrived by then is not
// coming soon.
const observedRevisionTimeout = 10 * time.Second

// observedRevision is a revision that a peer has stated.
type observedRevision struct {
	revision    uint64
	peerAddress string
	at          time.Time
}

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
	d.recordObserved(peerAddress, revision)
	if !d.fetchRunning.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer d.fetchRunning.Store(false)
		delay := time.NewTimer(rand.N(fetchJitter))
		defer delay.Stop()
		select {
		case <-delay.C:
		case <-d.fetchUrgent:
		}
		d.fetchFrom(peerAddress, revision)
	}()
}

// recordObserved keeps the revision if it is the highest that a peer has stated.
func (d *Directory) recordObserved(peerAddress string, revision uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if revision > d.observed.revision {
		d.observed = observedRevision{revision, peerAddress, time.Now()}
	}
}

// AwaitObserved returns the current view once it has the highest revision that a peer has
// stated. It fetches that revision without delay. If ctx ends or observedRevisionTimeout has
// passed since the statement, it returns the view that there is.
func (d *Directory) AwaitObserved(ctx context.Context) *View {
	d.mu.Lock()
	observed := d.observed
	d.mu.Unlock()
	current := d.View()
	remaining := observedRevisionTimeout - time.Since(observed.at)
	if observed.revision <= current.Revision || remaining <= 0 {
		return current
	}
	select {
	case d.fetchUrgent <- struct{}{}:
	default:
	}
	d.ObserveRevision(observed.peerAddress, observed.revision)
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	return d.Await(ctx, func(v *View) bool { return v.Revision >= observed.revision })
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
		d.apply(&wire.StateFull{Revision: state.GetRevision(), Document: state.GetDocument(), DocumentOnly: true}, true)
	}
	if diff := message.GetStateDiff(); diff != nil {
		d.applyDiff(&wire.StateDiff{
			BaseRevision: diff.GetBaseRevision(), Revision: diff.GetRevision(), Sections: diff.GetSections(),
		}, true)
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
