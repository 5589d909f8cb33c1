package document

import (
	"encoding/json"
	"maps"

	"github.com/pkg/errors"
)

// MaxBatchItems bounds the number of items in one batch.
const MaxBatchItems = 4096

// Item sets or removes one section under a version that the operators assign. Of all
// items of a section, the one with the highest version takes effect, regardless of the
// order in which they arrive. This includes items that remove the section.
type Item struct {
	// Section is routes/NAME, services/NAME, organisations/NAME or limits.
	Section string `json:"section"`
	// Version is at least 1.
	Version uint64 `json:"version"`
	Remove  bool   `json:"remove,omitempty"`
	// Body is the section encoded as JSON, empty for a removal. The team of the batch
	// becomes the owner of a route, service or organisation whose Body names none.
	Body json.RawMessage `json:"body,omitempty"`
}

// Batch applies several items atomically: it is rejected as a whole when one of them is
// invalid. It needs no edit ID because applying it again changes nothing.
type Batch struct {
	// Team is the team that sends the batch; it must be an admin team.
	Team  string `json:"team"`
	Items []Item `json:"items"`
	// AtMs is the time of the proposal as Unix time in milliseconds.
	AtMs int64 `json:"at_ms"`
}

// itemVersion is the highest item version applied to a section and whether that item
// removed the section.
type itemVersion struct {
	Version uint64 `json:"version"`
	Removed bool   `json:"removed,omitempty"`
}

// BatchItemInfo describes a section that was set by an item of a batch.
type BatchItemInfo struct {
	Section string
	Version uint64
}

// EncodeBatch returns the command that applies the batch.
func EncodeBatch(batch Batch) ([]byte, error) {
	data, err := json.Marshal(command{Batch: &batch})
	return data, errors.Wrap(err, "encode batch command")
}

// BatchItems returns the sections whose highest item version is not a removal, sorted by
// path.
func (v *View) BatchItems() []BatchItemInfo {
	items := make([]BatchItemInfo, 0, len(v.items))
	for _, path := range sortedKeys(v.items) {
		if item := v.items[path]; !item.Removed {
			items = append(items, BatchItemInfo{Section: path, Version: item.Version})
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

// evaluateBatch returns the view after the batch, or nil when the batch is rejected or
// changes nothing.
func (v *View) evaluateBatch(batch Batch) (*View, Result) {
	if team, ok := v.Document.Teams[batch.Team]; !ok || !team.Admin {
		return nil, v.rejected(Result{Outcome: Forbidden, Problem: "only an admin team sends batches"})
	}
	if len(batch.Items) > MaxBatchItems {
		return nil, v.rejected(Result{Outcome: Invalid, Field: "items", Problem: "too many items"})
	}
	merge := newItemMerge(v, batch.Team)
	for i := range batch.Items {
		if err := merge.add(&batch.Items[i]); err != nil {
			return nil, v.rejected(invalidResult(err))
		}
	}
	if err := merge.validate(); err != nil {
		return nil, v.rejected(invalidResult(err))
	}
	if len(merge.changed) == 0 {
		return nil, Result{Outcome: Accepted, Revision: v.Revision, Version: v.Revision}
	}
	next := merge.buildView()
	return next, Result{Outcome: Accepted, Revision: next.Revision, Version: next.Revision}
}

// rejected returns the result of a rejected command with the view's revision.
func (v *View) rejected(result Result) Result {
	result.Revision = v.Revision
	return result
}

// itemMerge merges the items of a batch into copies of the state of a view.
type itemMerge struct {
	previous *View
	team     string
	doc      *Document
	items    map[string]itemVersion
	changed  []string
	// superseded holds, by section path, the routes of the batch that do not take effect
	// because the section has the same or a higher version. They are validated too, so
	// that an invalid batch is never accepted.
	superseded map[string]Route
	// supersededOrganisations holds the organisations of the batch that do not take effect.
	supersededOrganisations map[string]Organisation
}

func newItemMerge(v *View, team string) *itemMerge {
	doc := *v.Document
	doc.Routes = maps.Clone(doc.Routes)
	doc.Services = maps.Clone(doc.Services)
	doc.Organisations = maps.Clone(doc.Organisations)
	if doc.Routes == nil {
		doc.Routes = map[string]Route{}
	}
	if doc.Services == nil {
		doc.Services = map[string]Service{}
	}
	if doc.Organisations == nil {
		doc.Organisations = map[string]Organisation{}
	}
	items := maps.Clone(v.items)
	if items == nil {
		items = map[string]itemVersion{}
	}
	return &itemMerge{
		previous:                v,
		team:                    team,
		doc:                     &doc,
		items:                   items,
		superseded:              map[string]Route{},
		supersededOrganisations: map[string]Organisation{},
	}
}

func (m *itemMerge) add(item *Item) error {
	p, err := parsePath(item.Section)
	if err != nil {
		return err
	}
	if !isBatchKind(p.kind) {
		return &FieldError{item.Section, "a batch changes routes, services, organisations and limits only"}
	}
	if item.Version == 0 {
		return &FieldError{item.Section + "/version", "must be at least 1"}
	}
	value, err := m.decode(p, item)
	if err != nil {
		return err
	}
	if item.Version <= m.items[item.Section].Version {
		m.addSuperseded(item.Section, value)
		return nil
	}
	m.items[item.Section] = itemVersion{Version: item.Version, Removed: item.Remove}
	m.changed = append(m.changed, item.Section)
	m.setSection(p, value)
	return nil
}

func isBatchKind(kind string) bool {
	switch kind {
	case kindRoutes, kindServices, kindOrganisations, kindLimits:
		return true
	}
	return false
}

// decode returns the decoded section, or nil for a removal.
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
	case Organisation:
		if section.Owner == "" {
			section.Owner = m.team
		}
		return section, nil
	}
	return value, nil
}

// addSuperseded keeps a route or organisation for validate; other sections need no further
// check.
func (m *itemMerge) addSuperseded(path string, value any) {
	switch section := value.(type) {
	case Route:
		m.superseded[path] = section
	case Organisation:
		m.supersededOrganisations[path] = section
	}
}

func (m *itemMerge) setSection(p sectionPath, value any) {
	switch p.kind {
	case kindRoutes:
		setEntry(m.doc.Routes, p.name, value)
	case kindServices:
		setEntry(m.doc.Services, p.name, value)
	case kindOrganisations:
		setEntry(m.doc.Organisations, p.name, value)
	default:
		m.doc.Limits = value.(Limits)
		m.doc.setDefaults()
	}
}

func setEntry[V any](entries map[string]V, name string, value any) {
	if value == nil {
		delete(entries, name)
		return
	}
	entries[name] = value.(V)
}

// validate checks the document after the batch, the superseded routes and the superseded
// organisations. A service of a superseded route may have been removed since the route was
// first accepted, so it need not exist any more. Likewise a key of a superseded organisation
// may belong to another organisation by now.
func (m *itemMerge) validate() error {
	for _, path := range sortedKeys(m.superseded) {
		route := m.superseded[path]
		if err := route.validate(path); err != nil {
			return err
		}
		if err := route.checkServices(path, m.knowsService); err != nil {
			return err
		}
	}
	for _, path := range sortedKeys(m.supersededOrganisations) {
		organisation := m.supersededOrganisations[path]
		if err := organisation.validate(path); err != nil {
			return err
		}
	}
	if len(m.changed) == 0 {
		return nil
	}
	return m.doc.Validate()
}

// knowsService reports whether the service exists or an item has ever set or removed it.
func (m *itemMerge) knowsService(name string) bool {
	_, hasItem := m.items[kindServices+"/"+name]
	return hasItem || m.doc.hasService(name)
}

// buildView returns the view that follows the previous one.
func (m *itemMerge) buildView() *View {
	next := newView()
	next.Revision = m.previous.Revision + 1
	next.Document = m.doc
	next.versions = maps.Clone(m.previous.versions)
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
