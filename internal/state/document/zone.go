package document

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/pkg/errors"
)

// zoneStateCommand sets the state of a zone.
type zoneStateCommand struct {
	Team  string    `json:"team"`
	Zone  string    `json:"zone"`
	State ZoneState `json:"state"`
	AtMs  int64     `json:"at_ms"`
	// Base is the version of the zone's section that the command replaces, 0 for none. Logs
	// written by earlier versions hold commands without it, which apply to any version.
	Base *uint64 `json:"base,omitempty"`
}

// EncodeZoneState returns the command that sets the state of a zone whose section has the
// version base. It creates the zone when the document has no section for it; base is then 0.
// The team must be an admin team.
func EncodeZoneState(team, zone string, state ZoneState, base uint64, at time.Time) ([]byte, error) {
	zoneState := &zoneStateCommand{Team: team, Zone: zone, State: state, AtMs: at.UnixMilli(), Base: &base}
	data, err := json.Marshal(command{Zone: zoneState})
	return data, errors.Wrap(err, "encode zone state command")
}

// ZoneVersion returns the version of a zone's section, 0 when the document has none.
func (v *View) ZoneVersion(zone string) uint64 { return v.versions[zonePath(zone).String()] }

func zonePath(zone string) sectionPath { return sectionPath{kindZones, zone} }

// applyZoneState makes a new version of the zone's section even if the state stays the same,
// so that an earlier command whose outcome is unknown no longer takes effect.
func (m *Machine) applyZoneState(cmd zoneStateCommand) Result {
	view := m.View()
	if team, ok := view.Document.Teams[cmd.Team]; !ok || !team.Admin {
		return view.rejected(Result{Outcome: Forbidden, Problem: "only an admin team changes zones unasked"})
	}
	zone, exists := view.Document.Zones[cmd.Zone]
	version := view.ZoneVersion(cmd.Zone)
	if cmd.Base != nil && *cmd.Base != version {
		return view.rejected(Result{Outcome: Conflict, Version: version, Problem: "the section has another version"})
	}
	if cmd.Base == nil && exists && zone.State == cmd.State {
		return Result{Outcome: Accepted, Revision: view.Revision, Version: version}
	}
	if !exists {
		zone.Owner = cmd.Team
	}
	zone.State = cmd.State
	path := zonePath(cmd.Zone)
	doc := view.Document.withSection(path, zone)
	if err := doc.Validate(); err != nil {
		return view.rejected(invalidResult(err))
	}
	m.publish(view.withZoneState(doc, path.String(), cmd, m.nowMs))
	return Result{Outcome: Accepted, Revision: view.Revision + 1, Version: view.Revision + 1}
}

func (v *View) withZoneState(doc *Document, path string, cmd zoneStateCommand, nowMs int64) *View {
	next := newView()
	next.Revision = v.Revision + 1
	next.Document = doc
	next.items = v.items
	next.versions = maps.Clone(v.versions)
	next.versions[path] = next.Revision
	next.history = appendChange(v.history, Change{
		Revision: next.Revision, AtMs: nowMs, Team: cmd.Team, Section: path, Action: actionReplace, Fields: []string{"state"},
	})
	return next
}
