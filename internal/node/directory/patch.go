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

// patchSections returns a document with some sections replaced or removed. Views
// share what did not change.
func patchSections(old *document.Document, sections []*wire.Section) (*document.Document, error) {
	doc := *old
	doc.Services, doc.Zones = maps.Clone(old.Services), maps.Clone(old.Zones)
	doc.Routes = maps.Clone(old.Routes)
	if doc.Routes == nil {
		doc.Routes = map[string]document.Route{}
	}
	if doc.Services == nil {
		doc.Services = map[string]document.Service{}
	}
	if doc.Zones == nil {
		doc.Zones = map[string]document.Zone{}
	}
	for _, section := range sections {
		if err := patchSection(&doc, section); err != nil {
			return nil, errors.Wrapf(err, "section %s", section.GetPath())
		}
	}
	return &doc, nil
}

func patchSection(doc *document.Document, section *wire.Section) error {
	kind, name, _ := strings.Cut(section.GetPath(), "/")
	switch kind {
	case "services":
		return patchEntry(doc.Services, name, section.GetJson())
	case "routes":
		return patchEntry(doc.Routes, name, section.GetJson())
	case "zones":
		return patchEntry(doc.Zones, name, section.GetJson())
	case "limits":
		limits := document.Limits{}
		if len(section.GetJson()) > 0 {
			if err := json.Unmarshal(section.GetJson(), &limits); err != nil {
				return err
			}
		}
		doc.Limits = limits
	}
	// Other sections are of later versions or secret; they are passed on unread.
	return nil
}

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

func hostIndex(doc *document.Document) map[string]string {
	hosts := map[string]string{}
	for name, service := range doc.Services {
		for _, host := range service.Hosts {
			hosts[host] = name
		}
	}
	return hosts
}

// mergeInstances returns the services after a full registry. A stale registry
// may lack instances, so it removes none that the node knows.
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

// patchInstances returns the services with some instances replaced or removed by
// their IDs. Only the lists of services that change are copied.
func patchInstances(old map[string][]*wire.Instance, changed []*wire.Instance, removed []string) map[string][]*wire.Instance {
	drop := map[string]bool{}
	for _, id := range removed {
		drop[id] = true
	}
	for _, instance := range changed {
		drop[instance.GetId()] = true
	}
	services := map[string][]*wire.Instance{}
	isDropped := func(instance *wire.Instance) bool { return drop[instance.GetId()] }
	for service, instances := range old {
		if !slices.ContainsFunc(instances, isDropped) {
			services[service] = slices.Clip(instances)
		} else if kept := without(instances, drop); len(kept) > 0 {
			services[service] = kept
		}
	}
	for _, instance := range changed {
		services[instance.GetService()] = append(services[instance.GetService()], instance)
	}
	return services
}

// without returns the instances whose IDs are not in drop, with no spare
// capacity, so that an append never writes into a list that a view holds.
func without(instances []*wire.Instance, drop map[string]bool) []*wire.Instance {
	kept := make([]*wire.Instance, 0, len(instances))
	for _, instance := range instances {
		if !drop[instance.GetId()] {
			kept = append(kept, instance)
		}
	}
	return kept[:len(kept):len(kept)]
}
