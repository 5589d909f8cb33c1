package node

import (
	"encoding/json"
	"sync"
	"sync/atomic"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

// view is an immutable state of configuration and registry.
type view struct {
	revision uint64
	doc      *document.Document
	hosts    map[string]string
	services map[string][]*wire.Instance
}

// directory holds what control has distributed to this node.
type directory struct {
	current atomic.Pointer[view]

	mu      sync.Mutex
	wanted  map[string]bool
	changed chan struct{}
	updated chan struct{}
}

func newDirectory() *directory {
	d := &directory{
		wanted:  map[string]bool{},
		changed: make(chan struct{}, 1),
		updated: make(chan struct{}),
	}
	d.current.Store(&view{doc: &document.Document{}})
	return d
}

// view returns the state in force.
func (d *directory) view() *view { return d.current.Load() }

// apply takes a state from control. A document of a lower revision is ignored,
// so that a member that lags cannot take a node back.
func (d *directory) apply(state *wire.StateFull) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := *d.current.Load()
	if state.GetRevision() > next.revision {
		doc := &document.Document{}
		if err := json.Unmarshal(state.GetDocument(), doc); err == nil {
			next.revision, next.doc, next.hosts = state.GetRevision(), doc, hostIndex(doc)
		}
	}
	next.services = map[string][]*wire.Instance{}
	for _, instance := range state.GetInstances() {
		next.services[instance.GetService()] = append(next.services[instance.GetService()], instance)
	}
	d.current.Store(&next)
	close(d.updated)
	d.updated = make(chan struct{})
}

func hostIndex(doc *document.Document) map[string]string {
	hosts := map[string]string{}
	for name, service := range doc.Services {
		for _, host := range service.Hosts {
			hosts[host] = name
		}
	}
	return hosts
}

// want subscribes to a service and returns a channel that is closed at the next
// state, or nil when the node was subscribed before.
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
