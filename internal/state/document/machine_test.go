package document

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const firstDocument = `{
	"teams": {"ops": {"token_sha256": ["%s"], "admin": true}, "red": {"token_sha256": []}, "blue": {"token_sha256": []}},
	"zones": {"seq-a": {"owner": "ops", "state": "in"}},
	"services": {"drafts": {"owner": "red", "timeout_ms": 100}, "archive": {"owner": "blue", "timeout_ms": 100}},
	"limits": {}}`

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func firstCommand(t assert.TestingT) []byte {
	first := fmt.Sprintf(firstDocument, strings.Repeat("a", 64))
	data, err := EncodeBootstrap([]byte(first), start)
	assert.NilError(t, err)
	return data
}

func apply(t assert.TestingT, m *Machine, command []byte) Result {
	result, err := DecodeResult(m.Apply(0, command))
	assert.NilError(t, err)
	return result
}

func applyEdit(t assert.TestingT, m *Machine, edit Edit) Result {
	command, err := EncodeEdit(edit)
	assert.NilError(t, err)
	return apply(t, m, command)
}

// model is the sequential specification, kept without the product's types for state.
type model struct {
	revision uint64
	version  map[string]uint64
	owner    map[string]string
	content  map[string]int
	sent     map[string]Edit
	answered map[string]Result
}

func newModel() *model {
	return &model{
		revision: 1,
		version:  map[string]uint64{"services/drafts": 1, "services/archive": 1},
		owner:    map[string]string{"services/drafts": "red", "services/archive": "blue"},
		content:  map[string]int{"services/drafts": 100, "services/archive": 100},
		sent:     map[string]Edit{},
		answered: map[string]Result{},
	}
}

func (m *model) edit(e Edit, timeout int) (Outcome, uint64, uint64) {
	id := e.Team + "/" + e.EditID
	if earlier, ok := m.sent[id]; ok {
		earlier.AtMs = e.AtMs
		if fmt.Sprint(earlier) != fmt.Sprint(e) {
			return EditIDReused, m.revision, 0
		}
		return m.answered[id].Outcome, m.answered[id].Revision, m.answered[id].Version
	}
	outcome, version := m.first(e, timeout)
	m.sent[id] = e
	m.answered[id] = Result{Outcome: outcome, Revision: m.revision, Version: version}
	return outcome, m.revision, version
}

func (m *model) first(e Edit, timeout int) (Outcome, uint64) {
	holder, exists := m.owner[e.Section]
	admin := e.Team == "ops"
	allowed := holder == e.Team || (admin && (!exists || e.Remove))
	current := m.version[e.Section]
	switch {
	case !allowed:
		return Forbidden, current
	case e.Base != current:
		return Conflict, current
	case e.Remove && !exists, !e.Remove && timeout < 1:
		return Invalid, current
	}
	m.revision++
	if e.Remove {
		delete(m.owner, e.Section)
		delete(m.version, e.Section)
		delete(m.content, e.Section)
		return Accepted, 0
	}
	if !exists {
		m.owner[e.Section] = "red"
	}
	m.version[e.Section] = m.revision
	m.content[e.Section] = timeout
	return Accepted, m.revision
}

func (m *model) check(t *rapid.T, view *View) {
	assert.Equal(t, view.Revision, m.revision)
	assert.Equal(t, len(view.Document.Services), len(m.owner))
	for path, version := range m.version {
		info, body, ok := view.Section(path, "")
		assert.Assert(t, ok, path)
		assert.Equal(t, info.Version, version)
		assert.Equal(t, info.Owner, m.owner[path])
		var service Service
		assert.NilError(t, json.Unmarshal(body, &service))
		assert.Equal(t, service.TimeoutMs, m.content[path])
	}
}

// TestMachineAgreesWithModel guards against two racing edits both accepted, an
// edit carried out again by a resend, an edit ID that hides different content, a
// foreign or invalid edit that changes something, and state that is lost or
// altered by a snapshot. The second machine gets the same commands without restarts.
func TestMachineAgreesWithModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine, steady, want := NewMachine(), NewMachine(), newModel()
		first := firstCommand(t)
		assert.Equal(t, apply(t, machine, first).Outcome, Accepted)
		apply(t, steady, first)
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				machine = restarted(t, machine)
			case 1:
				assert.Equal(t, apply(t, machine, first).Outcome, NotEmpty)
				apply(t, steady, first)
			default:
				edit, timeout := drawEdit(t, want)
				edit.AtMs = start.UnixMilli() + int64(step)
				outcome, revision, version := want.edit(edit, timeout)
				got := applyEdit(t, machine, edit)
				assert.Equal(t, got.Outcome, outcome, "%+v", edit)
				assert.Equal(t, got.Revision, revision)
				assert.Equal(t, got.Version, version)
				assert.Equal(t, got, applyEdit(t, steady, edit))
			}
			want.check(t, machine.View())
		}
		assert.DeepEqual(t, machine.View().History(), steady.View().History())
	})
}

func drawEdit(t *rapid.T, m *model) (Edit, int) {
	section := rapid.SampledFrom([]string{"services/drafts", "services/archive", "services/new"}).Draw(t, "section")
	edit := Edit{
		EditID:  rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g", "h"}).Draw(t, "id"),
		Team:    rapid.SampledFrom([]string{"ops", "red", "red", "blue", "none"}).Draw(t, "team"),
		Section: section,
		Base:    m.version[section],
	}
	if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
		edit.Base = rapid.Uint64Range(0, 4).Draw(t, "base")
	}
	timeout := rapid.IntRange(0, 3).Draw(t, "timeout")
	holder, exists := m.owner[section]
	if !exists {
		holder = "red"
	}
	edit.Remove = rapid.IntRange(0, 4).Draw(t, "remove") == 0
	if !edit.Remove {
		edit.Body = []byte(fmt.Sprintf(`{"owner":%q,"timeout_ms":%d}`, holder, timeout))
	}
	return edit, timeout
}

func restarted(t assert.TestingT, m *Machine) *Machine {
	data, err := m.Snapshot()
	assert.NilError(t, err)
	next := NewMachine()
	assert.NilError(t, next.Restore(data))
	return next
}

// TestResultsAreKeptForTheirTime guards against a resend that is answered as a new
// edit within EditMemory, also when a later command carries an earlier time, and
// against results that are never dropped.
func TestResultsAreKeptForTheirTime(t *testing.T) {
	m := NewMachine()
	apply(t, m, firstCommand(t))
	edit := func(id string, after time.Duration) Outcome {
		return applyEdit(t, m, Edit{
			EditID: id, Team: "red", Section: "services/drafts", Base: 1,
			Body: []byte(`{"owner":"red","timeout_ms":5}`), AtMs: start.Add(after).UnixMilli(),
		}).Outcome
	}
	m = restarted(t, m)
	assert.Equal(t, edit("one", -time.Hour), Accepted)
	m = restarted(t, m)
	assert.Equal(t, edit("one", EditMemory), Accepted)
	assert.Equal(t, edit("one", EditMemory+time.Millisecond), Conflict)
	assert.Equal(t, len(m.edits.order), 1)
	m.edits.limit = 3
	for i := range 10 {
		edit(fmt.Sprint(i), 2*EditMemory)
	}
	assert.Equal(t, len(m.edits.byKey), 3)
}

// TestRefusedEdits guards against refusals that change the document or name the wrong field.
func TestRefusedEdits(t *testing.T) {
	cases := []struct{ team, section, body, field string }{
		{"red", "services/drafts", `{"owner":"red","timeout_ms":0}`, "services/drafts/timeout_ms"},
		{"red", "services/drafts", `{"owner":"red","timeout_ms":"9"}`, "services/drafts/timeout_ms"},
		{"red", "services/drafts", `{"owner":"red","timeout":9}`, "services/drafts/timeout"},
		{"red", "services/drafts", `{"owner":"red","objective":{"share":"9"}}`, "services/drafts/objective/share"},
		{"red", "services/drafts", `{"owner":"gone","timeout_ms":9}`, "services/drafts/owner"},
		{"red", "services/drafts", `null`, "services/drafts"},
		{"ops", "zones/seq-a", `{"owner":"ops","state":"off"}`, "zones/seq-a/state"},
		{"ops", "limits", `{"retry_share":2}`, "limits/retry_share"},
		{"ops", "teams/blue", `{"token_sha256":["x"]}`, "teams/blue/token_sha256/0"},
		{"ops", "teams/red", `{"token_sha256":["` + strings.Repeat("a", 64) + `"]}`, "teams/red/token_sha256/0"},
		{"ops", "teams/ops", `{"token_sha256":[],"admin":true}`, "teams"},
		{"ops", "limits", "", "limits"},
		{"ops", "teams/red", "", "services/drafts/owner"},
	}
	for _, c := range cases {
		m := NewMachine()
		apply(t, m, firstCommand(t))
		edit := Edit{EditID: "x", Team: c.team, Section: c.section, Base: 1, Body: []byte(c.body), Remove: c.body == ""}
		before := m.View()
		assert.Equal(t, before.DryRun(edit).Field, c.field, c.body)
		result := applyEdit(t, m, edit)
		assert.Equal(t, result.Outcome, Invalid, c.body)
		assert.Equal(t, result.Field, c.field, c.body)
		assert.Assert(t, m.View() == before, c.body)
	}
}

// TestTeamKeepsTokens guards against an edit of another team's section, made from
// what its editor sees, that removes the team's tokens.
func TestTeamKeepsTokens(t *testing.T) {
	m := NewMachine()
	apply(t, m, firstCommand(t))
	_, seen, _ := m.View().Section("teams/ops", "red")
	assert.Equal(t, string(seen), `{"token_sha256":null,"admin":true}`)
	for i, body := range []string{string(seen), `{"admin":true}`} {
		info, _, _ := m.View().Section("teams/ops", "")
		edit := Edit{EditID: body, Team: "ops", Section: "teams/ops", Base: info.Version, Body: []byte(body)}
		assert.Equal(t, applyEdit(t, m, edit).Outcome, Accepted)
		assert.Equal(t, m.View().Revision, uint64(i+2))
		assert.Equal(t, len(m.View().Document.Teams["ops"].TokenSHA256), 1)
	}
}

// FuzzDecodeSection guards against a panic, an error without a field, and content
// that is read differently after it was stored.
func FuzzDecodeSection(f *testing.F) {
	f.Add("services/drafts", `{"owner":"red","timeout_ms":5,"rules":[{"path_prefix":"/","repeatable":true}]}`)
	f.Add("limits", `{"retry_share":1e999}`)
	f.Add("teams/red", `{"token_sha256":[null]}`)
	f.Add("zones/", `{}{}`)
	f.Fuzz(func(t *testing.T, path, body string) {
		value, err := DecodeSection(path, []byte(body))
		if err != nil {
			field, ok := err.(*FieldError) //nolint:errorlint // the type itself is promised
			assert.Assert(t, ok && field.Path != "", "%v", err)
			return
		}
		stored, err := json.Marshal(value)
		assert.NilError(t, err)
		again, err := DecodeSection(path, stored)
		if len(stored) > MaxSectionBytes {
			return // escapes may lengthen the stored form
		}
		assert.NilError(t, err)
		restored, err := json.Marshal(again)
		assert.NilError(t, err)
		assert.Equal(t, string(restored), string(stored))
	})
}
