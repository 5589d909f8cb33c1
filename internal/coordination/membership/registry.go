// Package membership keeps the leases of nodes and the registry of the upstreams
// that they announce.
package membership

import (
	"sync"
	"time"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

const (
	// HeartbeatInterval is the time between two heartbeats of a node.
	HeartbeatInterval = 2 * time.Second
	// LeaseDuration is how long a node stays registered without a heartbeat.
	LeaseDuration = 8 * time.Second
)

// Registry holds the leases of nodes. It is safe for concurrent use.
type Registry struct {
	mu      sync.Mutex
	leases  map[string]*lease
	version uint64
	changed chan struct{}
}

type lease struct {
	expires   time.Time
	heartbeat *wire.Heartbeat
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{leases: map[string]*lease{}, changed: make(chan struct{})}
}

// Renew takes a node's heartbeat. A heartbeat of an earlier start of the same
// node is ignored.
func (r *Registry) Renew(now time.Time, heartbeat *wire.Heartbeat) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.leases[heartbeat.GetNodeId()]
	if old != nil && old.heartbeat.GetNodeStart() > heartbeat.GetNodeStart() {
		return
	}
	if heartbeat.GetStopping() {
		r.remove(heartbeat.GetNodeId())
		return
	}
	r.leases[heartbeat.GetNodeId()] = &lease{expires: now.Add(LeaseDuration), heartbeat: heartbeat}
	if old == nil || !sameInstance(old.heartbeat.GetInstance(), heartbeat.GetInstance()) {
		r.bump()
	}
}

// Expire removes nodes whose lease has run out.
func (r *Registry) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, l := range r.leases {
		if now.After(l.expires) {
			r.remove(id)
		}
	}
}

// Instances returns the announced upstreams of the services and the version of
// the registry that they belong to.
func (r *Registry) Instances(services map[string]bool) ([]*wire.Instance, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var instances []*wire.Instance
	for _, l := range r.leases {
		if instance := l.heartbeat.GetInstance(); instance != nil && services[instance.GetService()] {
			instances = append(instances, instance)
		}
	}
	return instances, r.version
}

// Nodes returns the last heartbeat of each node.
func (r *Registry) Nodes() []*wire.Heartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	nodes := make([]*wire.Heartbeat, 0, len(r.leases))
	for _, l := range r.leases {
		nodes = append(nodes, l.heartbeat)
	}
	return nodes
}

// Changed returns a channel that is closed at the next change of an instance.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

func (r *Registry) remove(id string) {
	if _, ok := r.leases[id]; !ok {
		return
	}
	delete(r.leases, id)
	r.bump()
}

func (r *Registry) bump() {
	r.version++
	close(r.changed)
	r.changed = make(chan struct{})
}

func sameInstance(a, b *wire.Instance) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.GetId() == b.GetId() && a.GetStartId() == b.GetStartId() && a.GetVersion() == b.GetVersion() &&
		a.GetState() == b.GetState() && a.GetNodeAddress() == b.GetNodeAddress() && a.GetService() == b.GetService()
}
