package document

import (
	"bytes"
	"encoding/json"
)

// maxHistoryChanges bounds the number of kept changes. It covers one day at the design
// target of 15,000 changes per day.
const maxHistoryChanges = 16384

// Values of Change.Action.
const (
	actionBootstrap = "bootstrap"
	actionCreate    = "create"
	actionReplace   = "replace"
	actionRemove    = "remove"
	actionBatch     = "batch"
)

// Change is one entry of the document's change history.
type Change struct {
	// Revision is the document revision that the change produced.
	Revision uint64 `json:"revision"`
	// AtMs is the time of the change as Unix time in milliseconds.
	AtMs    int64  `json:"at_ms"`
	Team    string `json:"team,omitempty"`
	Section string `json:"section,omitempty"`
	// Action is bootstrap, create, replace, remove or batch. A batch names no section.
	Action string `json:"action"`
	// Fields are the names of the fields that a replacement changed. Their values are
	// left out because team sections hold token digests.
	Fields []string `json:"fields,omitempty"`
	EditID string   `json:"edit_id,omitempty"`
}

func newChange(edit Edit, before, after *Document, result Result, nowMs int64) Change {
	p, _ := parsePath(edit.Section)
	oldSection, existed := before.section(p)
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
		newSection, _ := after.section(p)
		change.Fields = changedFields(oldSection, newSection)
	}
	return change
}

// changedFields returns the sorted JSON names of the top-level fields that differ.
func changedFields(oldSection, newSection any) []string {
	a, b := jsonFields(oldSection), jsonFields(newSection)
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

// jsonFields returns the JSON encoding of each top-level field of the section.
func jsonFields(section any) map[string]json.RawMessage {
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

// appendChange returns the history with the change appended and, at the bound, without its
// oldest change. It does not modify entries of the given slice, which views share.
func appendChange(history []Change, change Change) []Change {
	if len(history) >= maxHistoryChanges {
		history = history[1:]
	}
	return append(history, change)
}
