package document

import (
	"bytes"
	"encoding/json"
	"maps"
	"sync/atomic"
)

// Machine is the replicated state machine of the document. Apply, Snapshot and
// Restore are called by one goroutine; View may be called by any.
type Machine struct {
	view  atomic.Pointer[View]
	edits *editResults
	// nowMs is the latest time seen in a command, in milliseconds since 1970, so
	// that time does not run backwards when another member proposes.
	nowMs int64
}

// NewMachine returns a machine without a document.
func NewMachine() *Machine {
	m := &Machine{edits: newEditResults()}
	m.view.Store(newView())
	return m
}

// View returns the current state.
func (m *Machine) View() *View { return m.view.Load() }

// Apply carries out a command made by EncodeEdit or EncodeBootstrap and returns
// the encoded Result. Any other command is answered with Malformed and changes nothing.
func (m *Machine) Apply(_ uint64, data []byte) []byte {
	result := m.apply(data)
	encoded, err := json.Marshal(result)
	if err != nil {
		panic(err) // Result holds only strings and numbers
	}
	return encoded
}

func (m *Machine) apply(data []byte) Result {
	var cmd command
	if err := json.Unmarshal(data, &cmd); err != nil {
		return m.malformed(err.Error())
	}
	switch {
	case cmd.Edit != nil:
		m.advance(cmd.Edit.AtMs)
		return m.applyEdit(*cmd.Edit)
	case cmd.Bootstrap != nil:
		m.advance(cmd.Bootstrap.AtMs)
		return m.applyBootstrap(*cmd.Bootstrap)
	case cmd.Batch != nil:
		m.advance(cmd.Batch.AtMs)
		return m.applyBatch(*cmd.Batch)
	case cmd.Zone != nil:
		m.advance(cmd.Zone.AtMs)
		return m.applyZone(*cmd.Zone)
	}
	return m.malformed("no known command")
}

func (m *Machine) malformed(problem string) Result {
	return Result{Outcome: Malformed, Revision: m.View().Revision, Problem: problem}
}

func (m *Machine) advance(atMs int64) {
	m.nowMs = max(m.nowMs, atMs)
	m.edits.expire(m.nowMs)
}

func (m *Machine) applyBootstrap(first bootstrap) Result {
	view := m.View()
	if view.Revision != 0 {
		return Result{Outcome: NotEmpty, Revision: view.Revision, Problem: "there is a document already"}
	}
	doc, err := Parse(first.Document)
	if err != nil {
		return invalid(err)
	}
	next := newView()
	next.Revision = 1
	next.Document = doc
	for _, path := range doc.paths() {
		next.versions[path] = next.Revision
	}
	next.history = []Change{{Revision: next.Revision, AtMs: m.nowMs, Action: actionBootstrap}}
	m.publish(next)
	return Result{Outcome: Accepted, Revision: next.Revision, Version: next.Revision}
}

func (m *Machine) applyEdit(edit Edit) Result {
	if edit.EditID == "" || len(edit.EditID) > MaxEditIDBytes {
		return m.malformed("the edit ID must have between 1 and 128 bytes")
	}
	if earlier, found := m.edits.find(edit); found {
		return m.resend(edit, earlier)
	}
	view := m.View()
	doc, result := view.evaluate(edit)
	m.edits.add(editResult{edit.Team, edit.EditID, edit.digest(), m.nowMs, result})
	if doc != nil {
		m.publish(view.successor(edit, doc, result, m.nowMs))
	}
	return result
}

func (m *Machine) resend(edit Edit, earlier editResult) Result {
	if !bytes.Equal(earlier.Digest, edit.digest()) {
		return Result{
			Outcome:  EditIDReused,
			Revision: m.View().Revision,
			Problem:  "the edit ID was used for another edit",
		}
	}
	return earlier.Result
}

func (v *View) successor(edit Edit, doc *Document, result Result, nowMs int64) *View {
	next := newView()
	next.Revision = result.Revision
	next.Document = doc
	next.versions = maps.Clone(v.versions)
	next.items = v.items
	if edit.Remove {
		delete(next.versions, edit.Section)
	} else {
		next.versions[edit.Section] = result.Version
	}
	next.history = appendChange(v.history, newChange(edit, v.Document, doc, result, nowMs))
	return next
}

// publish makes the view current and then wakes those that wait on the former one.
func (m *Machine) publish(next *View) {
	former := m.view.Swap(next)
	close(former.replaced)
}
