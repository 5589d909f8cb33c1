package node

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"

	"github.com/chicorylever/chicorylever/internal/coordination/distribute"
	"github.com/chicorylever/chicorylever/internal/coordination/routing"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

// maxEarlyServices bounds the services that a node subscribes to before it is asked
// for them.
const maxEarlyServices = 32

// view is an immutable state of configuration and registry.
type view struct {
	revision uint64
	doc      *document.Document
	hosts    map[string]string
	routes   *routing.Table
	services map[string][]*wire.Instance
	// stale marks a list of instances that control has not sent yet or could not bring up
	// to date.
	stale bool
}

// setDocument puts a document and its indexes into a view that is not yet in force.
func (v *view) setDocument(revision uint64, doc *document.Document) {
	v.revision, v.doc = revision, doc
	v.hosts, v.routes = hostIndex(doc), routing.NewTable(doc.Routes)
}

// directory holds what control has distributed to this node.
type directory struct {
	current atomic.Pointer[view]

	mu       sync.Mutex
	sections *distribute.Sections
	wanted   map[string]bool
	changed  chan struct{}
	updated  chan struct{}
	// stored is closed and replaced when a view is put in force.
	stored   chan struct{}
	fetch    fetcher
	fetching atomic.Bool

	// sequence numbers the heartbeats of this start.
	sequence atomic.Uint64
}

func newDirectory() *directory {
	d := &directory{
		sections: distribute.NewSections(),
		wanted:   map[string]bool{},
		changed:  make(chan struct{}, 1),
		updated:  make(chan struct{}),
		stored:   make(chan struct{}),
	}
	d.current.Store(&view{doc: &document.Document{}, stale: true})
	return d
}

// view returns the state in force.
func (d *directory) view() *view { return d.current.Load() }

// apply takes a state from control or the document of a peer. A document of a
// lower revision is ignored, so that a member that lags cannot take a node back.
func (d *directory) apply(state *wire.StateFull) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := *d.current.Load()
	sections := d.sections
	if state.GetRevision() > next.revision && len(state.GetDocument()) > 0 {
		sections = d.replaceDocument(&next, state)
	}
	if !state.GetDocumentOnly() {
		next.stale = state.GetStale()
		next.services = mergeInstances(next.services, state)
		close(d.updated)
		d.updated = make(chan struct{})
	}
	d.store(sections, &next)
}

// replaceDocument puts a whole document into the view. A document that cannot be
// decoded leaves the one in force.
func (d *directory) replaceDocument(next *view, state *wire.StateFull) *distribute.Sections {
	doc := &document.Document{}
	if err := json.Unmarshal(state.GetDocument(), doc); err != nil {
		return d.sections
	}
	sections, _, err := d.sections.Advance(state.GetRevision(), state.GetDocument())
	if err != nil {
		return d.sections
	}
	next.setDocument(state.GetRevision(), doc)
	return sections
}

// applyDiff takes a difference. It returns false when the changed sections do
// not follow on the revision in force; the registry part is taken regardless.
func (d *directory) applyDiff(diff *wire.StateDiff) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := *d.current.Load()
	sections, followed := d.patchDocument(&next, diff)
	if diff.GetRegistryVersion() != 0 {
		next.stale = diff.GetStale()
		next.services = patchInstances(next.services, diff.GetChanged(), diff.GetRemoved())
	}
	d.store(sections, &next)
	return followed
}

func (d *directory) patchDocument(next *view, diff *wire.StateDiff) (*distribute.Sections, bool) {
	if diff.GetRevision() <= next.revision {
		return d.sections, true
	}
	sections, ok := d.sections.Patch(diff)
	if !ok {
		return d.sections, false
	}
	doc, err := patchSections(next.doc, diff.GetSections())
	if err != nil {
		return d.sections, false
	}
	next.setDocument(diff.GetRevision(), doc)
	return sections, true
}

// store puts a view in force. The caller holds the lock.
func (d *directory) store(sections *distribute.Sections, next *view) {
	raised := next.revision > d.current.Load().revision
	if raised {
		d.wantRoutesLocked(next.doc)
	}
	d.sections = sections
	d.current.Store(next)
	close(d.stored)
	d.stored = make(chan struct{})
	if raised {
		d.notify()
	}
}

// await returns the view in force once it is ready, or as it is when ctx ends.
func (d *directory) await(ctx context.Context, ready func(*view) bool) *view {
	for {
		d.mu.Lock()
		current, stored := d.current.Load(), d.stored
		d.mu.Unlock()
		if ready(current) {
			return current
		}
		select {
		case <-stored:
		case <-ctx.Done():
			return current
		}
	}
}

// want subscribes to a service and returns a channel that is closed at the next
// full registry, or nil when the node was subscribed before.
func (d *directory) want(service string) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.wanted[service] {
		return nil
	}
	d.wanted[service] = true
	d.notify()
	return d.updated
}

// wantRoutesLocked subscribes to the services of a document's routes when they are few,
// so that the first request of a route need not wait for its instances.
func (d *directory) wantRoutesLocked(doc *document.Document) {
	named := map[string]bool{}
	for _, route := range doc.Routes {
		for _, backend := range route.Backends {
			named[backend.Service] = true
		}
	}
	if len(named) > maxEarlyServices {
		return
	}
	for service := range named {
		d.wanted[service] = true
	}
}

// notify tells control at once that heartbeat or subscription have news.
func (d *directory) notify() {
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

func (d *directory) wantedServices() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	services := make([]string, 0, len(d.wanted))
	for service := range d.wanted {
		services = append(services, service)
	}
	return services
}
