// Package directory holds the configuration and the instance registry that control has
// distributed to a node, as immutable views.
package directory

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"

	"github.com/chicorylever/chicorylever/internal/coordination/distribute"
	"github.com/chicorylever/chicorylever/internal/coordination/organisation"
	"github.com/chicorylever/chicorylever/internal/coordination/routing"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

// maxPresubscribedServices is the largest number of routed services that a node subscribes
// to before it has received a request for them.
const maxPresubscribedServices = 32

// View is an immutable snapshot of the configuration and the instance registry.
type View struct {
	// Revision is 0 while no configuration is known.
	Revision uint64
	Doc      *document.Document
	// Hosts maps each host name to its service.
	Hosts  map[string]string
	Routes *routing.Table
	// Organisations finds the organisations of callers' keys.
	Organisations *organisation.Index
	// Services maps each service to its known instances.
	Services map[string][]*wire.Instance
	// Stale is set when control has not sent the instances yet or could not bring them up
	// to date.
	Stale bool
}

// setDocument sets the document and the indexes of hosts and routes built from it. It must not be called on a
// view that is already shared.
func (v *View) setDocument(revision uint64, doc *document.Document) {
	v.Revision, v.Doc = revision, doc
	v.Hosts, v.Routes = hostIndex(doc), routing.NewTable(doc.Routes)
}

// Directory holds what control has distributed to this node. It is safe for concurrent use.
type Directory struct {
	current atomic.Pointer[View]

	mu       sync.Mutex
	sections *distribute.Sections
	// subscribed holds the services whose instances this node requests from control.
	subscribed map[string]bool
	// heartbeatRequested signals that the heartbeat or the subscriptions have changed.
	heartbeatRequested chan struct{}
	// registryReceived is closed and replaced by a new channel when a full registry arrives.
	registryReceived chan struct{}
	// viewReplaced is closed and replaced by a new channel when the current view changes.
	viewReplaced chan struct{}
	fetch        Fetcher
	fetchRunning atomic.Bool
	// fetchUrgent ends the delay before the next fetch.
	fetchUrgent chan struct{}
	// observed is the highest revision that a peer has stated.
	observed observedRevision

	// onRevision is called with mu held when a revision has come into force.
	onRevision func(InForce)

	// heartbeatSequence is the number of the last heartbeat since the process started.
	heartbeatSequence atomic.Uint64
}

// InForce describes a revision that has come into force at this node.
type InForce struct {
	Revision, Previous uint64
	// FromPeer is set for a revision that came from another node in place of control.
	FromPeer bool
	// Sections is the number of sections that changed, 0 for a full document, and Bytes the
	// size of their JSON or of the document.
	Sections, Bytes int
}

// New returns an empty directory. It calls fetch to get later revisions from peers; with
// a nil fetch it gets none from them.
func New(fetch Fetcher) *Directory {
	d := &Directory{
		fetch:              fetch,
		sections:           distribute.NewSections(),
		subscribed:         map[string]bool{},
		heartbeatRequested: make(chan struct{}, 1),
		registryReceived:   make(chan struct{}),
		viewReplaced:       make(chan struct{}),
		fetchUrgent:        make(chan struct{}, 1),
		onRevision:         func(InForce) {},
	}
	d.current.Store(&View{Doc: &document.Document{}, Stale: true})
	return d
}

// OnRevision sets the function that is called for each revision that comes into force. It must
// not block, and is set before the first state arrives.
func (d *Directory) OnRevision(call func(InForce)) { d.onRevision = call }

// View returns the current view.
func (d *Directory) View() *View { return d.current.Load() }

// Apply applies a full state from control or a document from a peer. A document whose
// revision is not higher than the current one is ignored, so that a lagging member cannot
// roll a node back.
func (d *Directory) Apply(state *wire.StateFull) { d.apply(state, false) }

func (d *Directory) apply(state *wire.StateFull, fromPeer bool) {
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
		close(d.registryReceived)
		d.registryReceived = make(chan struct{})
	}
	d.replaceView(sections, &next, InForce{FromPeer: fromPeer, Bytes: len(state.GetDocument())})
}

// replaceDocument sets the full document of the state in the view. If the document cannot
// be decoded, it keeps the current one.
func (d *Directory) replaceDocument(next *View, state *wire.StateFull) *distribute.Sections {
	doc := &document.Document{}
	if err := json.Unmarshal(state.GetDocument(), doc); err != nil {
		return d.sections
	}
	doc.DropEarlierZero(state.GetDocument())
	sections, _, err := d.sections.Advance(state.GetRevision(), state.GetDocument())
	if err != nil {
		return d.sections
	}
	next.setDocument(state.GetRevision(), doc)
	next.Organisations = organisation.NewIndex(doc)
	return sections
}

// ApplyDiff applies a diff. It returns false when the changed sections cannot be applied
// to the current revision; the registry part is applied regardless.
func (d *Directory) ApplyDiff(diff *wire.StateDiff) bool { return d.applyDiff(diff, false) }

func (d *Directory) applyDiff(diff *wire.StateDiff, fromPeer bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := *d.current.Load()
	sections, ok := d.patchDocument(&next, diff)
	if diff.GetRegistryVersion() != 0 {
		next.Stale = diff.GetStale()
		next.Services = patchInstances(next.Services, diff.GetChanged(), diff.GetRemoved())
	}
	change := InForce{FromPeer: fromPeer, Sections: len(diff.GetSections())}
	for _, section := range diff.GetSections() {
		change.Bytes += len(section.GetJson())
	}
	d.replaceView(sections, &next, change)
	return ok
}

// patchDocument applies the changed sections of the diff to the document of the view. It
// returns false when they do not apply to the current revision or cannot be decoded.
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
	if changesOrganisations(diff.GetSections()) {
		next.Organisations = organisation.NewIndex(doc)
	}
	return sections, true
}

// replaceView makes next the current view, which the change has led to. The caller must hold
// d.mu.
func (d *Directory) replaceView(sections *distribute.Sections, next *View, change InForce) {
	change.Revision, change.Previous = next.Revision, d.current.Load().Revision
	isNewRevision := change.Revision > change.Previous
	if isNewRevision {
		d.subscribeRoutesLocked(next.Doc)
	}
	d.sections = sections
	d.current.Store(next)
	close(d.viewReplaced)
	d.viewReplaced = make(chan struct{})
	if isNewRevision {
		d.RequestHeartbeat()
		d.onRevision(change)
	}
}

// Await waits until ready accepts the current view and returns that view. If ctx ends
// first, it returns the last view that it checked.
func (d *Directory) Await(ctx context.Context, ready func(*View) bool) *View {
	for {
		d.mu.Lock()
		current, viewReplaced := d.current.Load(), d.viewReplaced
		d.mu.Unlock()
		if ready(current) {
			return current
		}
		select {
		case <-viewReplaced:
		case <-ctx.Done():
			return current
		}
	}
}

// Subscribe subscribes to a service. It returns a channel that is closed when the next
// full registry arrives, or nil when the node was subscribed already.
func (d *Directory) Subscribe(service string) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.subscribed[service] {
		return nil
	}
	d.subscribed[service] = true
	d.RequestHeartbeat()
	return d.registryReceived
}

// subscribeRoutesLocked subscribes to the services of all routes of a document, so that the
// first request of a route need not wait for its instances. It subscribes to none when
// there are more than maxPresubscribedServices. The caller must hold d.mu.
func (d *Directory) subscribeRoutesLocked(doc *document.Document) {
	services := map[string]bool{}
	for _, route := range doc.Routes {
		for _, backend := range route.Backends {
			services[backend.Service] = true
		}
	}
	if len(services) > maxPresubscribedServices {
		return
	}
	for service := range services {
		d.subscribed[service] = true
	}
}

// RequestHeartbeat requests that the heartbeat and the subscriptions are sent to control
// at once.
func (d *Directory) RequestHeartbeat() {
	select {
	case d.heartbeatRequested <- struct{}{}:
	default:
	}
}

// SubscribedServices returns the services that the node has subscribed to.
func (d *Directory) SubscribedServices() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	services := make([]string, 0, len(d.subscribed))
	for service := range d.subscribed {
		services = append(services, service)
	}
	return services
}

// HeartbeatRequested returns a channel that receives a value after RequestHeartbeat.
// Requests are coalesced into one value until it is received.
func (d *Directory) HeartbeatRequested() <-chan struct{} { return d.heartbeatRequested }

// NextSequence returns the number of the next heartbeat. The first since the process
// started is 1.
func (d *Directory) NextSequence() uint64 { return d.heartbeatSequence.Add(1) }

// LastSequence returns the number of the last heartbeat, or 0 before the first.
func (d *Directory) LastSequence() uint64 { return d.heartbeatSequence.Load() }
