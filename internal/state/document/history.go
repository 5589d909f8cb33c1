package document

import (
	"bytes"
	"encoding/json"
)

// maxHistory bounds the kept changes; it covers a day of the target's 15,000.
const maxHistory = 16384

// The actions of a Change.
const (
	actionBootstrap = "bootstrap"
	actionCreate    = "create"
	actionReplace   = "replace"
	actionRemove    = "remove"
	actionBatch     = "batch"
)

// Change is one entry of the history.
type Change struct {
	// Revision that the change made.
	Revision uint64 `json:"revision"`
	// AtMs is the time of the change in milliseconds since 1970.
	AtMs    int64  `json:"at_ms"`
	Team    string `json:"team,omitempty"`
	Section string `json:"section,omitempty"`
	// Action is bootstrap, create, replace, remove or batch. A batch names no section.
	Action string `json:"action"`
	// Fields are the names of the section's changed fields. Their values are left
	// out because sections of teams hold token digests.
	Fields []string `json:"fields,omitempty"`
	EditID string   `json:"edit_id,omitempty"`
}

func newChange(edit Edit, before, after *Document, result Result, nowMs int64) Change {
	p, _ := parsePath(edit.Section)
	former, existed := before.section(p)
	change := Change{
		Revision: result.Revision,
		AtMs:     nowMs,
		Team:     edit.Team,
		Section:  edit.Section,
		Action:   actionReplace,
		EditID:   edit.EditID,
	}
	switch {
	case edit.Remove:
		change.Action = actionRemove
	case !existed:
		change.Action = actionCreate
	default:
		current, _ := after.section(p)
		change.Fields = changedFields(former, current)
	}
	return change
}

func changedFields(former, current any) []string {
	a, b := fields(former), fields(current)
	union := map[string]bool{}
	for name := range a {
		union[name] = true
	}
	for name := range b {
		union[name] = true
	}
	var changed []string
	for _, name := range sortedKeys(union) {
		if !bytes.Equal(a[name], b[name]) {
			changed = append(changed, name)
		}
	}
	return changed
}

func fields(section any) map[string]json.RawMessage {
	data, err := json.Marshal(section)
	if err != nil {
		return nil
	}
	var byName map[string]json.RawMessage
	if err := json.Unmarshal(data, &byName); err != nil {
		return nil
	}
	return byName
}

// appendChange leaves the entries of the given slice untouched, since views share them.
func appendChange(history []Change, change Change) []Change {
	if len(history) >= maxHistory {
		history = history[1:]
	}
	return append(history, change)
}
