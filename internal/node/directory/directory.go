// Package directory holds the configuration and the registry that control has distributed
// to a node, as immutable views.
package directory

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

// View is an immutable state of configuration and registry.
type View struct {
	// Revision is 0 while no configuration is known.
	Revision uint64
	Doc      *document.Document
	// Hosts holds the service of each host name.
	Hosts  map[string]string
	Routes *routing.Table
	// Services holds the known instances of each service.
	Services map[string][]*wire.Instance
	// Stale marks a list of instances that control has not sent yet or could not bring up
	// to date.
	Stale bool
}

// setDocument puts a document and its indexes into a view that is not yet in force.
func (v *View) setDocument(revision uint64, doc *document.Document) {
	v.Revision, v.Doc = revision, doc
	v.Hosts, v.Routes = hostIndex(doc), routing.NewTable(doc.Routes)
}

// Directory holds what control has distributed to this node. It is safe for concurrent use.
type Directory struct {
	current atomic.Pointer[View]

	mu       sync.Mutex
	sections *distribute.Sections
	wanted   map[string]bool
	changed  chan struct{}
	updated  chan struct{}
	// stored is closed and replaced when a view is put in force.
	stored   chan struct{}
	fetch    Fetcher
	fetching atomic.Bool

	// sequence numbers the heartbeats of this start.
	sequence atomic.Uint64
}

// New returns an empty directory. Fetch asks peers for later revisions; with nil it asks none.
func New(fetch Fetcher) *Directory {
	d := &Directory{
		fetch:    fetch,
		sections: distribute.NewSections(),
		wanted:   map[string]bool{},
		changed:  make(chan struct{}, 1),
		updated:  make(chan struct{}),
		stored:   make(chan struct{}),
	}
	d.current.Store(&View{Doc: &document.Document{}, Stale: true})
	return d
}

// View returns the state in force.
func (d *Directory) View() *View { return d.current.Load() }

// Apply takes a state from control or the document of a peer. A document of a
// lower revision is ignored, so that a member that lags cannot take a node back.
func (d *Directory) Apply(state *wire.StateFull) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := *d.current.Load()
	sections := d.sections
	if state.GetRevision() > next.Revision && len(state.GetDocument()) > 0 {
		sections = d.replaceDocument(&next, state)
	}
	if !state.GetDocumentOnly() {
		next.Stale = state.GetStale()
		next.Services = mergeInstances(next.Services, state)
		close(d.updated)
		d.updated = make(chan struct{})
	}
	d.store(sections, &next)
}

// replaceDocument puts a whole document into the view. A document that cannot be
// decoded leaves the one in force.
func (d *Directory) replaceDocument(next *View, state *wire.StateFull) *distribute.Sections {
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

// ApplyDiff takes a difference. It returns false when the changed sections do
// not follow on the revision in force; the registry part is taken regardless.
func (d *Directory) ApplyDiff(diff *wire.StateDiff) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := *d.current.Load()
	sections, followed := d.patchDocument(&next, diff)
	if diff.GetRegistryVersion() != 0 {
		next.Stale = diff.GetStale()
		next.Services = patchInstances(next.Services, diff.GetChanged(), diff.GetRemoved())
	}
	d.store(sections, &next)
	return followed
}

func (d *Directory) patchDocument(next *View, diff *wire.StateDiff) (*distribute.Sections, bool) {
	if diff.GetRevision() <= next.Revision {
		return d.sections, true
	}
	sections, ok := d.sections.Patch(diff)
	if !ok {
		return d.sections, false
	}
	doc, err := patchSections(next.Doc, diff.GetSections())
	if err != nil {
		return d.sections, false
	}
	next.setDocument(diff.GetRevision(), doc)
	return sections, true
}

// store puts a view in force. The caller holds the lock.
func (d *Directory) store(sections *distribute.Sections, next *View) {
	raised := next.Revision > d.current.Load().Revision
	if raised {
		d.wantRoutesLocked(next.Doc)
	}
	d.sections = sections
	d.current.Store(next)
	close(d.stored)
	d.stored = make(chan struct{})
	if raised {
		d.Notify()
	}
}

// Await returns the view in force once it is ready, or as it is when ctx ends.
func (d *Directory) Await(ctx context.Context, ready func(*View) bool) *View {
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

// Want subscribes to a service and returns a channel that is closed at the next
// full registry, or nil when the node was subscribed before.
func (d *Directory) Want(service string) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.wanted[service] {
		return nil
	}
	d.wanted[service] = true
	d.Notify()
	return d.updated
}

// wantRoutesLocked subscribes to the services of a document's routes when they are few,
// so that the first request of a route need not wait for its instances.
func (d *Directory) wantRoutesLocked(doc *document.Document) {
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

// Notify tells control at once that heartbeat or subscription have news.
func (d *Directory) Notify() {
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

// WantedServices returns the services that the node has subscribed to.
func (d *Directory) WantedServices() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	services := make([]string, 0, len(d.wanted))
	for service := range d.wanted {
		services = append(services, service)
	}
	return services
}

// Changed delivers a value when heartbeat or subscription have news.
func (d *Directory) Changed() <-chan struct{} { return d.changed }

// NextSequence numbers the next heartbeat of this start.
func (d *Directory) NextSequence() uint64 { return d.sequence.Add(1) }

// LastSequence returns the number of the last heartbeat, 0 before the first.
func (d *Directory) LastSequence() uint64 { return d.sequence.Load() }
