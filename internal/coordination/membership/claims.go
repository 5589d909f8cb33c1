package membership

import "github.com/chicorylever/chicorylever/internal/protocol/wire"

// announcementIndex maps instance IDs and node addresses to the IDs of the nodes that
// announce them. It finds nodes that announce the same instance ID or address.
type announcementIndex map[string]map[string]bool

func announcementKeys(l *wire.Lease) []string {
	instance := l.GetInstance()
	if instance == nil {
		return nil
	}
	return []string{"id " + instance.GetId(), "address " + instance.GetNodeAddress()}
}

// add indexes the instance of a lease and adds all nodes that announce the same
// instance ID or address to affected.
func (a announcementIndex) add(l *wire.Lease, affected map[string]bool) {
	for _, key := range announcementKeys(l) {
		nodes := a[key]
		if nodes == nil {
			nodes = map[string]bool{}
			a[key] = nodes
		}
		nodes[l.GetNodeId()] = true
		a.markAffected(key, affected)
	}
}

func (a announcementIndex) remove(l *wire.Lease, affected map[string]bool) {
	for _, key := range announcementKeys(l) {
		a.markAffected(key, affected)
		delete(a[key], l.GetNodeId())
		if len(a[key]) == 0 {
			delete(a, key)
		}
	}
}

func (a announcementIndex) markAffected(key string, affected map[string]bool) {
	for id := range a[key] {
		affected[id] = true
	}
}

// hiddenByNewer reports whether a node that started later announces the instance ID or
// the address of l. The later node start takes precedence, because the node process on a
// replacement VM starts after the one that it replaces.
func (a announcementIndex) hiddenByNewer(l *wire.Lease, leases map[string]*lease) bool {
	for _, key := range announcementKeys(l) {
		for id := range a[key] {
			other := leases[id]
			if other == nil || id == l.GetNodeId() {
				continue
			}
			if other.GetNodeStart() > l.GetNodeStart() ||
				other.GetNodeStart() == l.GetNodeStart() && id > l.GetNodeId() {
				return true
			}
		}
	}
	return false
}
