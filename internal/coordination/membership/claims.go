package membership

import "github.com/chicorylever/chicorylever/internal/protocol/wire"

// announcementIndex finds the nodes that claim the same instance ID or the same address.
type announcementIndex map[string]map[string]bool

func announcementKeys(l *wire.Lease) []string {
	instance := l.GetInstance()
	if instance == nil {
		return nil
	}
	return []string{"id " + instance.GetId(), "address " + instance.GetNodeAddress()}
}

// add records the claims of a lease and marks the other claimants as touched.
func (c announcementIndex) add(l *wire.Lease, touched map[string]bool) {
	for _, key := range announcementKeys(l) {
		nodes := c[key]
		if nodes == nil {
			nodes = map[string]bool{}
			c[key] = nodes
		}
		nodes[l.GetNodeId()] = true
		c.markAffected(key, touched)
	}
}

func (c announcementIndex) remove(l *wire.Lease, touched map[string]bool) {
	for _, key := range announcementKeys(l) {
		c.markAffected(key, touched)
		delete(c[key], l.GetNodeId())
		if len(c[key]) == 0 {
			delete(c, key)
		}
	}
}

func (c announcementIndex) markAffected(key string, touched map[string]bool) {
	for id := range c[key] {
		touched[id] = true
	}
}

// hiddenByNewer tells whether a newer node claims the instance ID or the address of l.
// The later node start wins, because a replaced VM starts its node anew.
func (c announcementIndex) hiddenByNewer(l *wire.Lease, leases map[string]*lease) bool {
	for _, key := range announcementKeys(l) {
		for id := range c[key] {
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
