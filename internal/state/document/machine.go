package document

import (
	"bytes"
	"encoding/json"
	"maps"
	"sync/atomic"
)

// Machine is the replicated state machine that holds the document. Apply, Snapshot and
// Restore must be called from one goroutine; View may be called from any.
type Machine struct {
	view  atomic.Pointer[View]
	edits *editResults
	// nowMs is the latest time of the applied commands as Unix time in milliseconds. It
	// never decreases, although the clock of the next proposing member may be behind.
	nowMs int64
	// progress holds the progress of each rollout by service. The map is never modified.
	progress      atomic.Pointer[map[string]RolloutProgress]
	rolloutPolicy RolloutPolicy
}

// NewMachine returns a Machine without a document.
func NewMachine() *Machine {
	m := &Machine{edits: newEditResults()}
	m.view.Store(newView())
	m.progress.Store(&map[string]RolloutProgress{})
	return m
}

// View returns the current view.
func (m *Machine) View() *View { return m.view.Load() }

// Apply applies a command encoded by EncodeEdit, EncodeBootstrap, EncodeBatch,
// EncodeZoneState, EncodeRolloutStart or EncodeRolloutAdvance and returns the encoded Result. Data that is not a command results in
// Malformed and changes nothing.
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
		return m.malformedResult(err.Error())
	}
	switch {
	case cmd.Edit != nil:
		m.advanceClock(cmd.Edit.AtMs)
		return m.applyEdit(*cmd.Edit)
	case cmd.Bootstrap != nil:
		m.advanceClock(cmd.Bootstrap.AtMs)
		return m.applyBootstrap(*cmd.Bootstrap)
	case cmd.Batch != nil:
		m.advanceClock(cmd.Batch.AtMs)
		return m.applyBatch(*cmd.Batch)
	case cmd.Zone != nil:
		m.advanceClock(cmd.Zone.AtMs)
		return m.applyZoneState(*cmd.Zone)
	case cmd.RolloutStart != nil:
		m.advanceClock(cmd.RolloutStart.AtMs)
		return m.applyRolloutStart(*cmd.RolloutStart)
	case cmd.RolloutAdvance != nil:
		return m.applyRolloutAdvance(*cmd.RolloutAdvance)
	}
	return m.malformedResult("no known command")
}

func (m *Machine) malformedResult(problem string) Result {
	return Result{Outcome: Malformed, Revision: m.View().Revision, Problem: problem}
}

// advanceClock moves nowMs forward to the time of a command and expires edit results.
func (m *Machine) advanceClock(atMs int64) {
	m.nowMs = max(m.nowMs, atMs)
	m.edits.expire(m.nowMs)
}

func (m *Machine) applyBootstrap(cmd bootstrap) Result {
	view := m.View()
	if view.Revision != 0 {
		return Result{Outcome: NotEmpty, Revision: view.Revision, Problem: "there is a document already"}
	}
	doc, err := Parse(cmd.Document)
	if err != nil {
		return invalidResult(err)
	}
	next := newView()
	next.Revision = 1
	next.Document = doc
	for _, path := range doc.sectionPaths() {
		next.versions[path] = next.Revision
	}
	next.history = []Change{{Revision: next.Revision, AtMs: m.nowMs, Action: actionBootstrap}}
	m.publish(next)
	return Result{Outcome: Accepted, Revision: next.Revision, Version: next.Revision}
}

func (m *Machine) applyEdit(edit Edit) Result {
	if edit.EditID == "" || len(edit.EditID) > MaxEditIDBytes {
		return m.malformedResult("the edit ID must have between 1 and 128 bytes")
	}
	if earlier, found := m.edits.find(edit); found {
		return m.resendResult(edit, earlier)
	}
	view := m.View()
	doc, result := view.evaluateEdit(edit)
	m.edits.add(editResult{edit.Team, edit.EditID, edit.digest(), m.nowMs, result})
	if doc != nil {
		m.publish(view.nextView(edit, doc, result, m.nowMs))
	}
	return result
}

// resendResult returns the kept result for a resend of the edit, or EditIDReused when the
// edit differs from the one that the edit ID was used for.
func (m *Machine) resendResult(edit Edit, earlier editResult) Result {
	if !bytes.Equal(earlier.Digest, edit.digest()) {
		return Result{
			Outcome:  EditIDReused,
			Revision: m.View().Revision,
			Problem:  "the edit ID was used for another edit",
		}
	}
	return earlier.Result
}

// nextView returns the view after an accepted edit.
func (v *View) nextView(edit Edit, doc *Document, result Result, nowMs int64) *View {
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

// publish makes the view current and then closes the Replaced channel of the previous one,
// so that a goroutine woken by it sees the new view.
func (m *Machine) publish(next *View) {
	next.withoutOrphanedRollouts()
	m.dropProgress(next.Document)
	previous := m.view.Swap(next)
	close(previous.replaced)
}
