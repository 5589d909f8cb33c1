package directory

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

// patchSections returns a copy of the document in which the given sections are replaced or,
// without JSON, removed. Unchanged entries are shared with the old document.
func patchSections(old *document.Document, sections []*wire.Section) (*document.Document, error) {
	doc := *old
	doc.Services, doc.Zones = maps.Clone(old.Services), maps.Clone(old.Zones)
	doc.Routes, doc.Rollouts = maps.Clone(old.Routes), maps.Clone(old.Rollouts)
	if doc.Routes == nil {
		doc.Routes = map[string]document.Route{}
	}
	if doc.Rollouts == nil {
		doc.Rollouts = map[string]document.Rollout{}
	}
	if doc.Services == nil {
		doc.Services = map[string]document.Service{}
	}
	if doc.Zones == nil {
		doc.Zones = map[string]document.Zone{}
	}
	if changesOrganisations(sections) {
		doc.Organisations = maps.Clone(old.Organisations)
		if doc.Organisations == nil {
			doc.Organisations = map[string]document.Organisation{}
		}
	}
	for _, section := range sections {
		if err := patchSection(&doc, section); err != nil {
			return nil, errors.Wrapf(err, "section %s", section.GetPath())
		}
	}
	return &doc, nil
}

// organisationsField is the field of the document that holds the organisations.
const organisationsField = "organisations"

// changesOrganisations reports whether the sections include an organisation.
func changesOrganisations(sections []*wire.Section) bool {
	return slices.ContainsFunc(sections, func(section *wire.Section) bool {
		return strings.HasPrefix(section.GetPath(), organisationsField+"/")
	})
}

func patchSection(doc *document.Document, section *wire.Section) error {
	kind, name, _ := strings.Cut(section.GetPath(), "/")
	switch kind {
	case "services":
		return patchEntry(doc.Services, name, section.GetJson())
	case "routes":
		return patchEntry(doc.Routes, name, section.GetJson())
	case "rollouts":
		return patchEntry(doc.Rollouts, name, section.GetJson())
	case "zones":
		return patchEntry(doc.Zones, name, section.GetJson())
	case organisationsField:
		return patchEntry(doc.Organisations, name, section.GetJson())
	case "limits":
		limits := document.Limits{}
		if len(section.GetJson()) > 0 {
			if err := json.Unmarshal(section.GetJson(), &limits); err != nil {
				return err
			}
			limits.DropEarlierZero(section.GetJson())
		}
		doc.Limits = limits
	}
	// Other sections belong to later versions or are secret; they are passed on to peers
	// without being decoded.
	return nil
}

// patchEntry replaces the named entry, or deletes it when data is empty.
func patchEntry[V any](entries map[string]V, name string, data []byte) error {
	if len(data) == 0 {
		delete(entries, name)
		return nil
	}
	var entry V
	if err := json.Unmarshal(data, &entry); err != nil {
		return err
	}
	entries[name] = entry
	return nil
}

// hostIndex maps each host name of the document to its service.
func hostIndex(doc *document.Document) map[string]string {
	hosts := map[string]string{}
	for name, service := range doc.Services {
		for _, host := range service.Hosts {
			hosts[host] = name
		}
	}
	return hosts
}

// mergeInstances returns the instances of each service after a full registry. A stale
// registry may lack instances, so known instances that are missing from it are kept.
func mergeInstances(old map[string][]*wire.Instance, state *wire.StateFull) map[string][]*wire.Instance {
	if state.GetStale() {
		return patchInstances(old, state.GetInstances(), nil)
	}
	services := map[string][]*wire.Instance{}
	for _, instance := range state.GetInstances() {
		services[instance.GetService()] = append(services[instance.GetService()], instance)
	}
	return services
}

// patchInstances returns the instances of each service after the changed ones are added or
// replaced, and those with a removed ID are deleted. Only the slices of services that
// change are copied.
func patchInstances(old map[string][]*wire.Instance, changed []*wire.Instance, removed []string) map[string][]*wire.Instance {
	dropIDs := map[string]bool{}
	for _, id := range removed {
		dropIDs[id] = true
	}
	for _, instance := range changed {
		dropIDs[instance.GetId()] = true
	}
	services := map[string][]*wire.Instance{}
	isDropped := func(instance *wire.Instance) bool { return dropIDs[instance.GetId()] }
	for service, instances := range old {
		if !slices.ContainsFunc(instances, isDropped) {
			services[service] = slices.Clip(instances)
		} else if kept := excludeIDs(instances, dropIDs); len(kept) > 0 {
			services[service] = kept
		}
	}
	for _, instance := range changed {
		services[instance.GetService()] = append(services[instance.GetService()], instance)
	}
	return services
}

// excludeIDs returns the instances whose IDs are not in dropIDs. The result has no spare
// capacity, so that a later append never writes into a slice that a view shares.
func excludeIDs(instances []*wire.Instance, dropIDs map[string]bool) []*wire.Instance {
	kept := make([]*wire.Instance, 0, len(instances))
	for _, instance := range instances {
		if !dropIDs[instance.GetId()] {
			kept = append(kept, instance)
		}
	}
	return kept[:len(kept):len(kept)]
}
