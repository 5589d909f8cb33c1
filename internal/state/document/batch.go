package document

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/pkg/errors"
)

// MaxBatchItems bounds the items of one batch.
const MaxBatchItems = 4096

// Item sets or removes one section under a version that the operators assign. Of two
// items of a section the one with the higher version is in force, whichever arrives
// first; a removal counts like any other version.
type Item struct {
	// Section is routes/NAME, services/NAME or limits.
	Section string `json:"section"`
	// Version is at least 1.
	Version uint64 `json:"version"`
	Remove  bool   `json:"remove,omitempty"`
	// Body is the JSON form of the section; empty for a removal. A route or service
	// without an owner belongs to the team of the batch.
	Body json.RawMessage `json:"body,omitempty"`
}

// Batch changes several items at once. It is refused whole when one of them is
// invalid. A batch needs no edit ID: applied twice it changes nothing.
type Batch struct {
	// Team must be an admin team.
	Team  string `json:"team"`
	Items []Item `json:"items"`
	// AtMs is the time of the proposal in milliseconds since 1970.
	AtMs int64 `json:"at_ms"`
}

// itemVersion is the highest version seen of a section.
type itemVersion struct {
	Version uint64 `json:"version"`
	Removed bool   `json:"removed,omitempty"`
}

// ItemInfo is a section that items have set.
type ItemInfo struct {
	Section string
	Version uint64
}

// zoneOrder takes a zone in or out regardless of the version of its section.
type zoneOrder struct {
	Team  string    `json:"team"`
	Zone  string    `json:"zone"`
	State ZoneState `json:"state"`
	AtMs  int64     `json:"at_ms"`
}

// EncodeBatch returns the command that applies the batch.
func EncodeBatch(batch Batch) ([]byte, error) {
	data, err := json.Marshal(command{Batch: &batch})
	return data, errors.Wrap(err, "encode batch")
}

// EncodeZoneState returns the command that takes a zone in or out. A zone that the
// document does not name yet is created; the team must be an admin team.
func EncodeZoneState(team, zone string, state ZoneState, at time.Time) ([]byte, error) {
	order := &zoneOrder{Team: team, Zone: zone, State: state, AtMs: at.UnixMilli()}
	data, err := json.Marshal(command{Zone: order})
	return data, errors.Wrap(err, "encode state of a zone")
}

// Items lists the sections that items have set and that exist, in order of their paths.
func (v *View) Items() []ItemInfo {
	items := make([]ItemInfo, 0, len(v.items))
	for _, path := range sortedKeys(v.items) {
		if item := v.items[path]; !item.Removed {
			items = append(items, ItemInfo{Section: path, Version: item.Version})
		}
	}
	return items
}

func (m *Machine) applyBatch(batch Batch) Result {
	view := m.View()
	next, result := view.evaluateBatch(batch)
	if next == nil {
		return result
	}
	next.history = appendChange(view.history, Change{
		Revision: next.Revision, AtMs: m.nowMs, Team: batch.Team, Action: actionBatch,
	})
	m.publish(next)
	return result
}

// evaluateBatch returns the view after the batch, or nil when it changes nothing.
func (v *View) evaluateBatch(batch Batch) (*View, Result) {
	if team, ok := v.Document.Teams[batch.Team]; !ok || !team.Admin {
		return nil, v.refused(Result{Outcome: Forbidden, Problem: "only an admin team sends batches"})
	}
	if len(batch.Items) > MaxBatchItems {
		return nil, v.refused(Result{Outcome: Invalid, Field: "items", Problem: "too many items"})
	}
	merge := newItemMerge(v, batch.Team)
	for i := range batch.Items {
		if err := merge.add(&batch.Items[i]); err != nil {
			return nil, v.refused(invalid(err))
		}
	}
	if err := merge.check(); err != nil {
		return nil, v.refused(invalid(err))
	}
	if len(merge.changed) == 0 {
		return nil, Result{Outcome: Accepted, Revision: v.Revision, Version: v.Revision}
	}
	next := merge.view()
	return next, Result{Outcome: Accepted, Revision: next.Revision, Version: next.Revision}
}

func (v *View) refused(result Result) Result {
	result.Revision = v.Revision
	return result
}

// itemMerge applies the items of a batch to copies of a view's state.
type itemMerge struct {
	former  *View
	team    string
	doc     *Document
	items   map[string]itemVersion
	changed []string
	// overtaken are routes that a higher version keeps from taking effect. They are
	// checked too, so that an invalid batch is never acknowledged.
	overtaken map[string]Route
}

func newItemMerge(v *View, team string) *itemMerge {
	doc := *v.Document
	doc.Routes = maps.Clone(doc.Routes)
	doc.Services = maps.Clone(doc.Services)
	if doc.Routes == nil {
		doc.Routes = map[string]Route{}
	}
	if doc.Services == nil {
		doc.Services = map[string]Service{}
	}
	items := maps.Clone(v.items)
	if items == nil {
		items = map[string]itemVersion{}
	}
	return &itemMerge{former: v, team: team, doc: &doc, items: items, overtaken: map[string]Route{}}
}

func (m *itemMerge) add(item *Item) error {
	p, err := parsePath(item.Section)
	if err != nil {
		return err
	}
	if p.kind != kindRoutes && p.kind != kindServices && p.kind != kindLimits {
		return &FieldError{item.Section, "a batch changes routes, services and limits only"}
	}
	if item.Version == 0 {
		return &FieldError{item.Section + "/version", "must be at least 1"}
	}
	value, err := m.decode(p, item)
	if err != nil {
		return err
	}
	if item.Version <= m.items[item.Section].Version {
		m.checkLater(item.Section, value)
		return nil
	}
	m.items[item.Section] = itemVersion{Version: item.Version, Removed: item.Remove}
	m.changed = append(m.changed, item.Section)
	m.put(p, value)
	return nil
}

// decode returns the section's value, nil for a removal.
func (m *itemMerge) decode(p sectionPath, item *Item) (any, error) {
	if item.Remove {
		if p.kind == kindLimits {
			return nil, &FieldError{kindLimits, "cannot be removed"}
		}
		return nil, nil
	}
	value, err := DecodeSection(item.Section, item.Body)
	if err != nil {
		return nil, err
	}
	switch section := value.(type) {
	case Route:
		if section.Owner == "" {
			section.Owner = m.team
		}
		return section, nil
	case Service:
		if section.Owner == "" {
			section.Owner = m.team
		}
		return section, nil
	}
	return value, nil
}

func (m *itemMerge) checkLater(path string, value any) {
	if route, ok := value.(Route); ok {
		m.overtaken[path] = route
	}
}

func (m *itemMerge) put(p sectionPath, value any) {
	switch p.kind {
	case kindRoutes:
		putEntry(m.doc.Routes, p.name, value)
	case kindServices:
		putEntry(m.doc.Services, p.name, value)
	default:
		m.doc.Limits = value.(Limits)
		m.doc.setDefaults()
	}
}

func putEntry[V any](entries map[string]V, name string, value any) {
	if value == nil {
		delete(entries, name)
		return
	}
	entries[name] = value.(V)
}

// check validates the document after the batch, and the overtaken items. The service
// of an overtaken route may have been removed since.
func (m *itemMerge) check() error {
	for _, path := range sortedKeys(m.overtaken) {
		route := m.overtaken[path]
		if err := route.validate(path); err != nil {
			return err
		}
		if err := route.checkServices(path, m.knewService); err != nil {
			return err
		}
	}
	if len(m.changed) == 0 {
		return nil
	}
	return m.doc.Validate()
}

func (m *itemMerge) knewService(name string) bool {
	_, known := m.items[kindServices+"/"+name]
	return known || m.doc.hasService(name)
}

// view returns the successor of the former view.
func (m *itemMerge) view() *View {
	next := newView()
	next.Revision = m.former.Revision + 1
	next.Document = m.doc
	next.versions = maps.Clone(m.former.versions)
	next.items = m.items
	for _, path := range m.changed {
		if m.items[path].Removed {
			delete(next.versions, path)
		} else {
			next.versions[path] = next.Revision
		}
	}
	return next
}

func (m *Machine) applyZone(order zoneOrder) Result {
	view := m.View()
	if team, ok := view.Document.Teams[order.Team]; !ok || !team.Admin {
		return view.refused(Result{Outcome: Forbidden, Problem: "only an admin team changes zones unasked"})
	}
	zone, known := view.Document.Zones[order.Zone]
	if known && zone.State == order.State {
		return Result{Outcome: Accepted, Revision: view.Revision, Version: view.versions[kindZones+"/"+order.Zone]}
	}
	if !known {
		zone.Owner = order.Team
	}
	zone.State = order.State
	path := sectionPath{kindZones, order.Zone}
	doc := view.Document.with(path, zone)
	if err := doc.Validate(); err != nil {
		return view.refused(invalid(err))
	}
	m.publish(view.withZone(doc, path.String(), order, m.nowMs))
	return Result{Outcome: Accepted, Revision: view.Revision + 1, Version: view.Revision + 1}
}

func (v *View) withZone(doc *Document, path string, order zoneOrder, nowMs int64) *View {
	next := newView()
	next.Revision = v.Revision + 1
	next.Document = doc
	next.items = v.items
	next.versions = maps.Clone(v.versions)
	next.versions[path] = next.Revision
	next.history = appendChange(v.history, Change{
		Revision: next.Revision, AtMs: nowMs, Team: order.Team, Section: path, Action: actionReplace, Fields: []string{"state"},
	})
	return next
}
