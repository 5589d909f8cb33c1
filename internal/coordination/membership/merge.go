package membership

import (
	"time"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// localLogSize is the number of own changes that an update to another member can
// go back; a member that is further behind gets all leases.
const localLogSize = 4096

// localChangeLog records which nodes of this member changed, for the other members.
type localChangeLog struct {
	changeLog[localChange]
	changed chan struct{}
}

type localChange struct {
	nodeID string
	// stoppedLease is set when the node told that it stops.
	stoppedLease *wire.Lease
}

func newLocalChangeLog() localChangeLog {
	return localChangeLog{changed: make(chan struct{})}
}

func (l *localChangeLog) addNode(node string) { l.append(localChange{nodeID: node}) }

func (l *localChangeLog) addStopped(last *wire.Lease) {
	l.append(localChange{nodeID: last.GetNodeId(), stoppedLease: last})
}

func (l *localChangeLog) append(c localChange) {
	l.changeLog.add(c, localLogSize)
	close(l.changed)
	l.changed = make(chan struct{})
}

// UpdateSince returns what changed among the nodes of this member after a version, or
// all of them for version 0 or one that is too old. The second result is the
// version to continue from, the third a channel that is closed at the next change.
func (r *Registry) UpdateSince(version uint64) (*wire.RegistryUpdate, uint64, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	update := &wire.RegistryUpdate{}
	last := map[string]*wire.Lease{}
	known := version > 0 && r.localLog.since(version, func(c localChange) { last[c.nodeID] = c.stoppedLease })
	if !known {
		r.fullUpdate(update)
		return update, r.localLog.version, r.localLog.changed
	}
	for node, stopped := range last {
		r.appendLocalChange(update, node, stopped)
	}
	return update, r.localLog.version, r.localLog.changed
}

func (r *Registry) fullUpdate(update *wire.RegistryUpdate) {
	update.Full = true
	for _, l := range r.leases {
		if l.owner == "" {
			update.Leases = append(update.Leases, copyLease(l.Lease))
		}
	}
	// Version 0 asks for everything, so the version after it is at least 1.
	if r.localLog.version == 0 {
		r.localLog.append(localChange{})
	}
}

func (r *Registry) appendLocalChange(update *wire.RegistryUpdate, node string, stopped *wire.Lease) {
	l := r.leases[node]
	switch {
	case l != nil && l.owner == "":
		update.Leases = append(update.Leases, copyLease(l.Lease))
	case l != nil:
		update.Removed = append(update.Removed, node)
	case stopped != nil:
		update.RemovedLeases = append(update.RemovedLeases, copyLease(stopped))
	case node != "":
		update.RemovedLeases = append(update.RemovedLeases, &wire.Lease{NodeId: node})
	}
}

// Merge takes an update of another member. A member's word counts for its own
// nodes only: it takes a node over with a newer heartbeat, and it removes only
// nodes that it owns. Updates of an earlier start of the member are ignored.
func (r *Registry) Merge(now time.Time, update *wire.RegistryUpdate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	member := update.GetMember()
	if update.GetEpoch() < r.memberEpochs[member] {
		return
	}
	r.memberEpochs[member] = update.GetEpoch()
	present := map[string]bool{}
	for _, next := range update.GetLeases() {
		present[next.GetNodeId()] = true
		next.Instance = r.departures.applyDeparture(now, next.GetInstance())
		r.mergeLease(member, next)
	}
	for _, gone := range update.GetRemovedLeases() {
		r.departures.applyDeparture(now, gone.GetInstance())
		r.mergeRemoval(now, member, gone)
	}
	for _, id := range update.GetRemoved() {
		// The lease of the other member may still be on its way.
		if l := r.leases[id]; l != nil && l.owner == member {
			r.orphan(now, l)
		}
	}
	if update.GetFull() {
		r.orphanAbsent(now, member, present)
	}
}

func (r *Registry) mergeLease(member string, next *wire.Lease) {
	old := r.leases[next.GetNodeId()]
	if r.outdated(old, next) {
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
	r.putLease(&lease{Lease: copyLease(next), owner: member})
	if old != nil && old.owner == "" {
		r.localLog.addNode(next.GetNodeId())
	}
}

func (r *Registry) mergeRemoval(now time.Time, member string, gone *wire.Lease) {
	if gone.GetNodeStart() != 0 {
		r.addTombstone(now, gone)
	}
	old := r.leases[gone.GetNodeId()]
	if old == nil {
		return
	}
	stopped := gone.GetNodeStart() != 0 &&
		!newer(old.GetNodeStart(), old.GetSequence(), gone.GetNodeStart(), gone.GetSequence())
	if stopped && old.owner == "" {
		// Members that were told of this lease must be told of its end, too.
		r.localLog.addStopped(gone)
	}
	if old.owner == member || stopped {
		r.removeLease(gone.GetNodeId())
	}
}

// orphanAbsent gives the nodes that a member no longer lists time to appear at
// another member or to connect again: the member may have restarted, or the word
// of the other member may still be on its way.
func (r *Registry) orphanAbsent(now time.Time, member string, present map[string]bool) {
	for id, l := range r.leases {
		if l.owner == member && !present[id] {
			r.orphan(now, l)
		}
	}
}

// MemberLost starts the time after which the nodes of a member are removed unless
// another member takes them over.
func (r *Registry) MemberLost(now time.Time, member string) {
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
