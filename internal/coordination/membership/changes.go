package membership

import (
	"sort"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// instanceLogSize is the number of changes that differences can go back. It is
// above the number of instances of the target, so that even a change of every
// instance is sent as a difference.
const instanceLogSize = 8192

// instanceChange is one step of the registry; instance is nil when it was removed.
type instanceChange struct {
	service  string
	id       string
	instance *wire.Instance
}

// Snapshot is the registry of some services at a version.
type Snapshot struct {
	Instances []*wire.Instance
	Version   uint64
	// Stale marks a list that may hold instances that are gone, or lack some.
	Stale bool
}

// Instances returns the announced upstreams of the services in order of their IDs.
func (r *Registry) Instances(services map[string]bool) Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Snapshot{Version: r.instanceLog.version, Stale: r.expiryGuard.stale}
	for service := range services {
		for _, instance := range r.published[service] {
			s.Instances = append(s.Instances, instance)
		}
	}
	sort.Slice(s.Instances, func(i, j int) bool { return s.Instances[i].GetId() < s.Instances[j].GetId() })
	return s
}

// Difference is what changed in the registry of some services.
type Difference struct {
	Changed []*wire.Instance
	Removed []string
	Version uint64
	Stale   bool
}

// Since returns what changed for the services after a version. It returns false
// when the version is too old; the caller then needs Instances.
func (r *Registry) Since(version uint64, services map[string]bool) (Difference, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := map[string]*wire.Instance{}
	ok := r.instanceLog.since(version, func(c instanceChange) {
		if services[c.service] {
			last[c.id] = c.instance
		}
	})
	d := Difference{Version: r.instanceLog.version, Stale: r.expiryGuard.stale}
	for id, instance := range last {
		if instance == nil {
			d.Removed = append(d.Removed, id)
		} else {
			d.Changed = append(d.Changed, instance)
		}
	}
	sort.Strings(d.Removed)
	sort.Slice(d.Changed, func(i, j int) bool { return d.Changed[i].GetId() < d.Changed[j].GetId() })
	return d, ok
}

// Touched returns the services that changed after a version, the current version
// and whether the list is stale. It returns false when the version is too old.
func (r *Registry) Touched(version uint64) (services map[string]bool, current uint64, stale, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	services = map[string]bool{}
	ok = r.instanceLog.since(version, func(c instanceChange) { services[c.service] = true })
	return services, r.instanceLog.version, r.expiryGuard.stale, ok
}
