package membership

import (
	"sort"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// instanceLogSize is the number of instance changes kept for differences. It exceeds
// the number of instances in the target deployment, so that even a change of every
// instance can be sent as a difference.
const instanceLogSize = 8192

// instanceChange is one change of a published instance; instance is nil if it was removed.
type instanceChange struct {
	service  string
	id       string
	instance *wire.Instance
}

// Snapshot is the list of published instances of some services at a registry version.
type Snapshot struct {
	Instances []*wire.Instance
	Version   uint64
	// Stale is set if the list may include instances that no longer run or omit running ones.
	Stale bool
}

// Instances returns the published instances of the services, sorted by ID.
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

// Difference holds the instance changes of some services between two registry versions.
type Difference struct {
	Changed []*wire.Instance
	Removed []string
	Version uint64
	Stale   bool
}

// ChangesSince returns the instance changes of the services after a version. It returns
// false if the instance log does not reach back to that version; the caller then needs
// Instances.
func (r *Registry) ChangesSince(version uint64, services map[string]bool) (Difference, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	latest := map[string]*wire.Instance{}
	ok := r.instanceLog.since(version, func(c instanceChange) {
		if services[c.service] {
			latest[c.id] = c.instance
		}
	})
	d := Difference{Version: r.instanceLog.version, Stale: r.expiryGuard.stale}
	for id, instance := range latest {
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

// ChangedServices returns the services with instance changes after a version, the current
// version and whether the list is stale. ok is false if the instance log does not reach
// back to that version.
func (r *Registry) ChangedServices(version uint64) (services map[string]bool, current uint64, stale, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	services = map[string]bool{}
	ok = r.instanceLog.since(version, func(c instanceChange) { services[c.service] = true })
	return services, r.instanceLog.version, r.expiryGuard.stale, ok
}
