package membership

import (
	"time"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// ownLogSize is the number of own changes that an update to another member can
// go back; a member that is further behind gets all leases.
const ownLogSize = 4096

// ownLog records which nodes of this member changed, for the other members.
type ownLog struct {
	history[ownChange]
	changed chan struct{}
}

type ownChange struct {
	node string
	// stopped is set when the node told that it stops.
	stopped *wire.Lease
}

func newOwnLog() ownLog {
	return ownLog{changed: make(chan struct{})}
}

func (l *ownLog) add(node string) { l.append(ownChange{node: node}) }

func (l *ownLog) stopped(last *wire.Lease) {
	l.append(ownChange{node: last.GetNodeId(), stopped: last})
}

func (l *ownLog) append(c ownChange) {
	l.history.add(c, ownLogSize)
	close(l.changed)
	l.changed = make(chan struct{})
}

// Update returns what changed among the nodes of this member after a version, or
// all of them for version 0 or one that is too old. The second result is the
// version to continue from, the third a channel that is closed at the next change.
func (r *Registry) Update(version uint64) (*wire.RegistryUpdate, uint64, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	update := &wire.RegistryUpdate{}
	last := map[string]*wire.Lease{}
	known := version > 0 && r.own.since(version, func(c ownChange) { last[c.node] = c.stopped })
	if !known {
		r.fullUpdate(update)
		return update, r.own.version, r.own.changed
	}
	for node, stopped := range last {
		r.appendOwn(update, node, stopped)
	}
	return update, r.own.version, r.own.changed
}

func (r *Registry) fullUpdate(update *wire.RegistryUpdate) {
	update.Full = true
	for _, l := range r.leases {
		if l.owner == "" {
			update.Leases = append(update.Leases, copyLease(l.Lease))
		}
	}
	// Version 0 asks for everything, so the version after it is at least 1.
	if r.own.version == 0 {
		r.own.append(ownChange{})
	}
}

func (r *Registry) appendOwn(update *wire.RegistryUpdate, node string, stopped *wire.Lease) {
	l := r.leases[node]
	switch {
	case l != nil && l.owner == "":
		update.Leases = append(update.Leases, copyLease(l.Lease))
	case l != nil:
		// Another member has the node by now and speaks for it.
	case stopped != nil:
		update.RemovedLeases = append(update.RemovedLeases, copyLease(stopped))
	case node != "":
		update.RemovedLeases = append(update.RemovedLeases, &wire.Lease{NodeId: node})
	}
}

// Merge takes an update of another member. A member's word counts for its own
// nodes only: it takes a node over with a newer heartbeat, and it removes only
// nodes that it owns.
func (r *Registry) Merge(now time.Time, update *wire.RegistryUpdate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	member := update.GetMember()
	restarted := r.peers[member] != 0 && r.peers[member] != update.GetEpoch()
	r.peers[member] = update.GetEpoch()
	present := map[string]bool{}
	for _, next := range update.GetLeases() {
		present[next.GetNodeId()] = true
		r.adopt(member, next)
	}
	for _, gone := range update.GetRemovedLeases() {
		r.mergeRemoval(now, member, gone)
	}
	if update.GetFull() {
		r.dropAbsent(now, member, present, restarted)
	}
}

func (r *Registry) adopt(member string, next *wire.Lease) {
	old := r.leases[next.GetNodeId()]
	if r.outranked(old, next) {
		return
	}
	if old != nil && old.owner != member &&
		!newer(next.GetNodeStart(), next.GetSequence(), old.GetNodeStart(), old.GetSequence()) {
		return
	}
	if old != nil && old.owner == member && old.GetNodeStart() == next.GetNodeStart() &&
		sameInstance(old.GetInstance(), next.GetInstance()) {
		old.Sequence, old.Revision, old.expires = next.GetSequence(), next.GetRevision(), time.Time{}
		return
	}
	r.put(&lease{Lease: copyLease(next), owner: member})
}

func (r *Registry) mergeRemoval(now time.Time, member string, gone *wire.Lease) {
	if gone.GetNodeStart() != 0 {
		r.bury(now, gone)
	}
	old := r.leases[gone.GetNodeId()]
	if old == nil {
		return
	}
	stopped := gone.GetNodeStart() != 0 &&
		!newer(old.GetNodeStart(), old.GetSequence(), gone.GetNodeStart(), gone.GetSequence())
	if old.owner == member || stopped {
		r.remove(gone.GetNodeId())
	}
}

// dropAbsent removes the nodes that a member no longer lists. After a restart or
// a lost stream the member may not know its nodes yet, so they get time to
// connect again.
func (r *Registry) dropAbsent(now time.Time, member string, present map[string]bool, restarted bool) {
	for id, l := range r.leases {
		if l.owner != member || present[id] {
			continue
		}
		if restarted || !l.expires.IsZero() {
			r.orphan(now, l)
		} else {
			r.remove(id)
		}
	}
}

// PeerLost starts the time after which the nodes of a member are removed unless
// another member takes them over.
func (r *Registry) PeerLost(now time.Time, member string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.leases {
		if l.owner == member {
			r.orphan(now, l)
		}
	}
}

func (r *Registry) orphan(now time.Time, l *lease) {
	if l.expires.IsZero() {
		l.expires = now.Add(OrphanDuration)
	}
}
