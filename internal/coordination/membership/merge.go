package membership

import (
	"time"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// localLogSize is the number of local lease changes kept for updates to other members.
// A member that is further behind receives all leases.
const localLogSize = 4096

// localChangeLog records lease changes that the other members must learn from this one.
type localChangeLog struct {
	changeLog[localChange]
	// changed is closed and replaced at each change.
	changed chan struct{}
}

type localChange struct {
	nodeID string
	// stoppedLease is the last lease of the node if it announced that it stops, else nil.
	stoppedLease *wire.Lease
}

func newLocalChangeLog() localChangeLog {
	return localChangeLog{changed: make(chan struct{})}
}

func (l *localChangeLog) addNode(nodeID string) { l.add(localChange{nodeID: nodeID}) }

func (l *localChangeLog) addStopped(last *wire.Lease) {
	l.add(localChange{nodeID: last.GetNodeId(), stoppedLease: last})
}

func (l *localChangeLog) add(c localChange) {
	l.changeLog.add(c, localLogSize)
	close(l.changed)
	l.changed = make(chan struct{})
}

// UpdateSince returns the changes of local leases after a version, or all local leases if
// the version is 0 or too old. Local leases are those of nodes that are connected to this
// member. The second result is the version for the next call, the third a channel that is
// closed at the next change.
func (r *Registry) UpdateSince(version uint64) (*wire.RegistryUpdate, uint64, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	update := &wire.RegistryUpdate{}
	latest := map[string]*wire.Lease{}
	incremental := version > 0 && r.localLog.since(version, func(c localChange) { latest[c.nodeID] = c.stoppedLease })
	if !incremental {
		r.fullUpdate(update)
		return update, r.localLog.version, r.localLog.changed
	}
	for nodeID, stoppedLease := range latest {
		r.appendLocalChange(update, nodeID, stoppedLease)
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
	// Version 0 requests a full update, so the next version must be at least 1.
	if r.localLog.version == 0 {
		r.localLog.add(localChange{})
	}
}

func (r *Registry) appendLocalChange(update *wire.RegistryUpdate, nodeID string, stoppedLease *wire.Lease) {
	l := r.leases[nodeID]
	switch {
	case l != nil && l.owner == "":
		update.Leases = append(update.Leases, copyLease(l.Lease))
	case l != nil:
		update.Removed = append(update.Removed, nodeID)
	case stoppedLease != nil:
		update.RemovedLeases = append(update.RemovedLeases, copyLease(stoppedLease))
	case nodeID != "":
		update.RemovedLeases = append(update.RemovedLeases, &wire.Lease{NodeId: nodeID})
	}
}

// Merge applies an update of another member. A member has authority only over the nodes
// that it owns: it becomes the owner of a node with a newer heartbeat, and it can remove
// only nodes that it owns, but an orderly stop of a node takes effect from any member.
// Updates of an earlier start of the member are ignored.
func (r *Registry) Merge(now time.Time, update *wire.RegistryUpdate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	member := update.GetMember()
	if update.GetEpoch() < r.memberEpochs[member] {
		return
	}
	r.memberEpochs[member] = update.GetEpoch()
	reported := map[string]bool{}
	for _, next := range update.GetLeases() {
		reported[next.GetNodeId()] = true
		next.Instance = r.departures.applyDeparture(now, next.GetInstance())
		r.mergeLease(member, next)
	}
	for _, removed := range update.GetRemovedLeases() {
		r.departures.applyDeparture(now, removed.GetInstance())
		r.mergeRemoval(now, member, removed)
	}
	for _, id := range update.GetRemoved() {
		// The update of the new owner may not have arrived yet.
		if l := r.leases[id]; l != nil && l.owner == member {
			r.orphan(now, l)
		}
	}
	if update.GetFull() {
		r.orphanAbsent(now, member, reported)
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

func (r *Registry) mergeRemoval(now time.Time, member string, removed *wire.Lease) {
	if removed.GetNodeStart() != 0 {
		r.addTombstone(now, removed)
	}
	old := r.leases[removed.GetNodeId()]
	if old == nil {
		return
	}
	stopped := removed.GetNodeStart() != 0 &&
		!newer(old.GetNodeStart(), old.GetSequence(), removed.GetNodeStart(), removed.GetSequence())
	if stopped && old.owner == "" {
		// Members that received this lease must also receive its removal.
		r.localLog.addStopped(removed)
	}
	if old.owner == member || stopped {
		r.removeLease(removed.GetNodeId())
	}
}

// orphanAbsent orphans the nodes of a member that its full update no longer lists. They
// are not removed at once, because the member may have restarted and its nodes may still
// reconnect, or the update of a new owner may not have arrived yet.
func (r *Registry) orphanAbsent(now time.Time, member string, reported map[string]bool) {
	for id, l := range r.leases {
		if l.owner == member && !reported[id] {
			r.orphan(now, l)
		}
	}
}

// MemberLost orphans all nodes of a member.
func (r *Registry) MemberLost(now time.Time, member string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.leases {
		if l.owner == member {
			r.orphan(now, l)
		}
	}
}

// orphan starts the time after which a node is removed unless a member renews its lease.
func (r *Registry) orphan(now time.Time, l *lease) {
	if l.expires.IsZero() {
		l.expires = now.Add(OrphanDuration)
	}
}
