// Package membership keeps the leases of nodes and the registry of the upstream instances
// that they announce. Each control member has authority over the leases of the nodes that
// are connected to it; the members exchange their leases.
package membership

import (
	"sort"
	"sync"
	"time"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

const (
	// HeartbeatInterval is the time between two heartbeats of a node.
	HeartbeatInterval = 2 * time.Second
	// LeaseDuration is how long a node stays registered without a heartbeat.
	LeaseDuration = 8 * time.Second
	// OrphanDuration is how long the nodes of a lost member stay registered. It
	// covers a lease and the time that nodes take to connect to another member.
	OrphanDuration = LeaseDuration + 12*time.Second
	// tombstoneDuration is how long an orderly removal takes precedence over older
	// leases that another member may still send.
	tombstoneDuration = time.Minute
)

// Registry holds the leases of nodes. It is safe for concurrent use. Callers pass the
// current time, so that tests can use virtual time.
type Registry struct {
	mu            sync.Mutex
	leases        map[string]*lease
	announcements announcementIndex
	// published holds for each service the instances that subscribers receive, by ID.
	published    map[string]map[string]*wire.Instance
	tombstones   map[string]tombstone
	departures   departures
	instanceLog  changeLog[instanceChange]
	localLog     localChangeLog
	changed      chan struct{}
	expiryGuard  expiryGuard
	memberEpochs map[string]uint64
}

// lease is a node's registration.
type lease struct {
	*wire.Lease
	// owner is the member with authority over the lease, empty for this member.
	owner string
	// expires is zero for a lease of another member that is not orphaned.
	expires time.Time
	// published is the instance that subscribers receive, nil if it is hidden because a
	// newer node announces the same ID or address.
	published *wire.Instance
}

// tombstone records the last heartbeat of a node that announced that it stops.
type tombstone struct {
	nodeStart, sequence uint64
	expires             time.Time
}

// NewRegistry returns an empty registry. Its list is stale until a Tick decides
// otherwise, so that a node that connects before the first Tick does not drop instances.
func NewRegistry() *Registry {
	return &Registry{
		leases:        map[string]*lease{},
		announcements: announcementIndex{},
		published:     map[string]map[string]*wire.Instance{},
		tombstones:    map[string]tombstone{},
		departures:    departures{},
		localLog:      newLocalChangeLog(),
		changed:       make(chan struct{}),
		expiryGuard:   expiryGuard{stale: true, reason: ReasonStarting},
		memberEpochs:  map[string]uint64{},
	}
}

// Renew applies a heartbeat of a node that is connected to this member. It returns
// false if the heartbeat is older than the lease or the tombstone of the node.
func (r *Registry) Renew(now time.Time, heartbeat *wire.Heartbeat) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := &wire.Lease{
		NodeId:    heartbeat.GetNodeId(),
		NodeStart: heartbeat.GetNodeStart(),
		Sequence:  heartbeat.GetSequence(),
		Zone:      heartbeat.GetZone(),
		Revision:  heartbeat.GetRevision(),
		Instance:  r.departures.applyDeparture(now, heartbeat.GetInstance()),
	}
	old := r.leases[next.GetNodeId()]
	if r.outdated(old, next) {
		return false
	}
	if heartbeat.GetStopping() {
		r.removeStopped(now, next)
		return true
	}
	expires := now.Add(LeaseDuration)
	if old != nil && old.owner == "" && old.GetNodeStart() == next.GetNodeStart() &&
		sameInstance(old.GetInstance(), next.GetInstance()) {
		// A renewal is not sent to the other members unless the configuration revision in
		// force at the node has changed, which operators query. After a gap in the sequence
		// it is sent too, because the node was connected to another member, which may have
		// sent its own lease of the node.
		if old.GetRevision() != next.GetRevision() || next.GetSequence() > old.GetSequence()+1 {
			r.localLog.addNode(next.GetNodeId())
		}
		old.Sequence, old.Revision, old.expires = next.GetSequence(), next.GetRevision(), expires
		return true
	}
	r.putLease(&lease{Lease: next, expires: expires})
	r.localLog.addNode(next.GetNodeId())
	return true
}

// outdated reports whether next is older than the lease or the tombstone of its node.
func (r *Registry) outdated(old *lease, next *wire.Lease) bool {
	if old != nil && newer(old.GetNodeStart(), old.GetSequence(), next.GetNodeStart(), next.GetSequence()) {
		return true
	}
	t, ok := r.tombstones[next.GetNodeId()]
	return ok && !newer(next.GetNodeStart(), next.GetSequence(), t.nodeStart, t.sequence)
}

// removeStopped removes a node that has announced that it stops.
func (r *Registry) removeStopped(now time.Time, last *wire.Lease) {
	r.addTombstone(now, last)
	r.localLog.addStopped(last)
	r.removeLease(last.GetNodeId())
}

// addTombstone records the last heartbeat of a stopped node and deletes expired tombstones.
func (r *Registry) addTombstone(now time.Time, last *wire.Lease) {
	for id, t := range r.tombstones {
		if now.After(t.expires) {
			delete(r.tombstones, id)
		}
	}
	r.tombstones[last.GetNodeId()] = tombstone{
		nodeStart: last.GetNodeStart(), sequence: last.GetSequence(), expires: now.Add(tombstoneDuration),
	}
}

// putLease replaces the lease of a node and updates the published instances.
func (r *Registry) putLease(next *lease) {
	id := next.GetNodeId()
	affected := map[string]bool{id: true}
	if old := r.leases[id]; old != nil {
		next.published = old.published
		r.announcements.remove(old.Lease, affected)
	}
	r.leases[id] = next
	r.announcements.add(next.Lease, affected)
	r.publish(affected)
}

func (r *Registry) removeLease(id string) {
	old := r.leases[id]
	if old == nil {
		return
	}
	affected := map[string]bool{}
	r.announcements.remove(old.Lease, affected)
	delete(r.leases, id)
	delete(affected, id)
	r.recordRemoval(old.published, nil)
	if !r.publish(affected) {
		r.notifyChanged()
	}
}

// publish updates the published instances of the given nodes and reports whether any
// changed. All removals are recorded before the first addition, because an instance ID
// may move between nodes.
func (r *Registry) publish(nodes map[string]bool) bool {
	changes := map[*lease]*wire.Instance{}
	for id := range nodes {
		l := r.leases[id]
		if l == nil {
			continue
		}
		if next := r.instanceToPublish(l); !sameInstance(l.published, next) {
			changes[l] = next
		}
	}
	for l, next := range changes {
		r.recordRemoval(l.published, next)
	}
	for l, next := range changes {
		r.recordAddition(next)
		l.published = next
	}
	if len(changes) > 0 {
		r.notifyChanged()
	}
	return len(changes) > 0
}

func (r *Registry) instanceToPublish(l *lease) *wire.Instance {
	if l.GetInstance() == nil || r.announcements.hiddenByNewer(l.Lease, r.leases) {
		return nil
	}
	return l.GetInstance()
}

// recordRemoval records the removal of a published instance, unless next has the same
// ID and service and replaces it.
func (r *Registry) recordRemoval(old, next *wire.Instance) {
	if old == nil || next != nil && old.GetId() == next.GetId() && old.GetService() == next.GetService() {
		return
	}
	r.instanceLog.add(instanceChange{service: old.GetService(), id: old.GetId()}, instanceLogSize)
	delete(r.published[old.GetService()], old.GetId())
	if len(r.published[old.GetService()]) == 0 {
		delete(r.published, old.GetService())
	}
}

func (r *Registry) recordAddition(next *wire.Instance) {
	if next == nil {
		return
	}
	r.instanceLog.add(instanceChange{service: next.GetService(), id: next.GetId(), instance: next}, instanceLogSize)
	if r.published[next.GetService()] == nil {
		r.published[next.GetService()] = map[string]*wire.Instance{}
	}
	r.published[next.GetService()][next.GetId()] = next
}

func (r *Registry) notifyChanged() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change of the published instances
// or of the staleness of the list.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Nodes returns the leases of all nodes, sorted by node ID. The sequence and revision of
// a node of another member are those of the last update from that member.
func (r *Registry) Nodes() []*wire.Lease {
	r.mu.Lock()
	defer r.mu.Unlock()
	nodes := make([]*wire.Lease, 0, len(r.leases))
	for _, l := range r.leases {
		nodes = append(nodes, copyLease(l.Lease))
	}
	sort.Slice(nodes, func(i, j int) bool { return nodes[i].GetNodeId() < nodes[j].GetNodeId() })
	return nodes
}

// IsElsewhere reports whether another member holds the lease of a node.
func (r *Registry) IsElsewhere(nodeID string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.leases[nodeID]
	return l != nil && l.owner != ""
}

// Size returns the number of nodes with a lease.
func (r *Registry) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.leases)
}

func copyLease(l *wire.Lease) *wire.Lease {
	return &wire.Lease{
		NodeId: l.GetNodeId(), NodeStart: l.GetNodeStart(), Sequence: l.GetSequence(),
		Zone: l.GetZone(), Revision: l.GetRevision(), Instance: l.GetInstance(),
	}
}

// newer reports whether the first of two heartbeats of one node is newer: the later
// node start takes precedence, then the higher sequence.
func newer(start, sequence, otherStart, otherSequence uint64) bool {
	if start != otherStart {
		return start > otherStart
	}
	return sequence > otherSequence
}

func sameInstance(a, b *wire.Instance) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.GetId() == b.GetId() && a.GetStartId() == b.GetStartId() && a.GetVersion() == b.GetVersion() &&
		a.GetState() == b.GetState() && a.GetDeparting() == b.GetDeparting() && a.GetNodeAddress() == b.GetNodeAddress() && a.GetService() == b.GetService() &&
		a.GetSoftwareVersion() == b.GetSoftwareVersion() && a.GetNodeId() == b.GetNodeId() && a.GetNodeStart() == b.GetNodeStart()
}
