// Package membership keeps the leases of nodes and the registry of the upstreams
// that they announce. Each control member is the authority for the nodes that
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
	// covers a lease and the time that clients take to reach another member.
	OrphanDuration = LeaseDuration + 12*time.Second
	// tombstoneDuration is how long an orderly removal outranks older leases
	// that another member may still send.
	tombstoneDuration = time.Minute
)

// Registry holds the leases of nodes. It is safe for concurrent use. Times are
// passed in, so that it runs in virtual time.
type Registry struct {
	mu            sync.Mutex
	leases        map[string]*lease
	announcements announcementIndex
	// published holds for each service the instances that subscribers see, by ID.
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
	// owner is the member that vouches for the node, empty for this one.
	owner string
	// expires is zero while another member vouches for the node.
	expires time.Time
	// published is the instance that subscribers know, nil when it is hidden by a
	// newer claim to its ID or address.
	published *wire.Instance
}

type tombstone struct {
	nodeStart, sequence uint64
	expires             time.Time
}

// NewRegistry returns an empty registry. Its list counts as stale until the first
// Tick decides, so that a node which connects at once drops no instance.
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

// Renew takes a heartbeat of a node that is connected to this member. It returns
// false for a heartbeat that is older than what is known of the node.
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
		// The usual renewal changes nothing that others need to know, but for a new
		// revision in force, which operators ask for. After a gap in the sequence the
		// node was with another member, which may have told others.
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

// outdated tells whether a lease is older than what is known of its node.
func (r *Registry) outdated(old *lease, next *wire.Lease) bool {
	if old != nil && newer(old.GetNodeStart(), old.GetSequence(), next.GetNodeStart(), next.GetSequence()) {
		return true
	}
	t, ok := r.tombstones[next.GetNodeId()]
	return ok && !newer(next.GetNodeStart(), next.GetSequence(), t.nodeStart, t.sequence)
}

// removeStopped removes a node that has told that it stops.
func (r *Registry) removeStopped(now time.Time, last *wire.Lease) {
	r.addTombstone(now, last)
	r.localLog.addStopped(last)
	r.removeLease(last.GetNodeId())
}

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

// putLease replaces a node's lease and brings what subscribers see up to date.
func (r *Registry) putLease(next *lease) {
	id := next.GetNodeId()
	touched := map[string]bool{id: true}
	if old := r.leases[id]; old != nil {
		next.published = old.published
		r.announcements.remove(old.Lease, touched)
	}
	r.leases[id] = next
	r.announcements.add(next.Lease, touched)
	r.publish(touched)
}

func (r *Registry) removeLease(id string) {
	old := r.leases[id]
	if old == nil {
		return
	}
	touched := map[string]bool{}
	r.announcements.remove(old.Lease, touched)
	delete(r.leases, id)
	delete(touched, id)
	r.recordRemoval(old.published, nil)
	if !r.publish(touched) {
		r.notifyChanged()
	}
}

// publish recalculates which instances subscribers see. All removals are recorded
// before the first addition, because an instance ID may move between nodes.
func (r *Registry) publish(nodes map[string]bool) bool {
	changes := map[*lease]*wire.Instance{}
	for id := range nodes {
		l := r.leases[id]
		if l == nil {
			continue
		}
		if want := r.instanceToPublish(l); !sameInstance(l.published, want) {
			changes[l] = want
		}
	}
	for l, want := range changes {
		r.recordRemoval(l.published, want)
	}
	for l, want := range changes {
		r.recordAddition(want)
		l.published = want
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

// recordRemoval records that an instance went, unless next replaces it in place.
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

// Changed returns a channel that is closed at the next change that subscribers see.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Nodes returns what is known of each node, in order of node IDs. The sequence
// and revision of nodes of other members are those of the last change.
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

// newer compares the heartbeats of one node: the later start wins, then the
// higher sequence.
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
		a.GetNodeId() == b.GetNodeId() && a.GetNodeStart() == b.GetNodeStart()
}
