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

const bootstrapDocument = `{
	"teams": {"ops": {"token_sha256": ["%s"], "admin": true}, "red": {"token_sha256": []}, "blue": {"token_sha256": []}},
	"zones": {"seq-a": {"owner": "ops", "state": "in"}},
	"services": {"drafts": {"owner": "red", "timeout_ms": 100}, "archive": {"owner": "blue", "timeout_ms": 100}},
	"limits": {}}`

var bootstrapTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func bootstrapCommand(t assert.TestingT) []byte {
	document := fmt.Sprintf(bootstrapDocument, strings.Repeat("a", 64))
	data, err := EncodeBootstrap([]byte(document), bootstrapTime)
	assert.NilError(t, err)
	return data
}

// apply applies an encoded command and returns its decoded result.
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

// model is the sequential specification of the edits of services. It does not use the
// machine's types for its state. Its maps hold sections by path, and edits by team and
// edit ID.
type model struct {
	revision   uint64
	versions   map[string]uint64
	owners     map[string]string
	timeoutsMs map[string]int
	edits      map[string]Edit
	results    map[string]Result
}

func newModel() *model {
	return &model{
		revision:   1,
		versions:   map[string]uint64{"services/drafts": 1, "services/archive": 1},
		owners:     map[string]string{"services/drafts": "red", "services/archive": "blue"},
		timeoutsMs: map[string]int{"services/drafts": 100, "services/archive": 100},
		edits:      map[string]Edit{},
		results:    map[string]Result{},
	}
}

// applyEdit returns the expected outcome, revision and version of an edit.
func (m *model) applyEdit(e Edit, timeoutMs int) (Outcome, uint64, uint64) {
	id := e.Team + "/" + e.EditID
	if earlier, ok := m.edits[id]; ok {
		earlier.AtMs = e.AtMs
		if fmt.Sprint(earlier) != fmt.Sprint(e) {
			return EditIDReused, m.revision, 0
		}
		return m.results[id].Outcome, m.results[id].Revision, m.results[id].Version
	}
	outcome, version := m.applyNewEdit(e, timeoutMs)
	m.edits[id] = e
	m.results[id] = Result{Outcome: outcome, Revision: m.revision, Version: version}
	return outcome, m.revision, version
}

// applyNewEdit returns the expected outcome and version of an edit whose ID is new.
func (m *model) applyNewEdit(e Edit, timeoutMs int) (Outcome, uint64) {
	owner, exists := m.owners[e.Section]
	admin := e.Team == "ops"
	allowed := owner == e.Team || (admin && (!exists || e.Remove))
	currentVersion := m.versions[e.Section]
	switch {
	case !allowed:
		return Forbidden, currentVersion
	case e.Base != currentVersion:
		return Conflict, currentVersion
	case e.Remove && !exists, !e.Remove && timeoutMs < 1:
		return Invalid, currentVersion
	}
	m.revision++
	if e.Remove {
		delete(m.owners, e.Section)
		delete(m.versions, e.Section)
		delete(m.timeoutsMs, e.Section)
		return Accepted, 0
	}
	if !exists {
		m.owners[e.Section] = "red"
	}
	m.versions[e.Section] = m.revision
	m.timeoutsMs[e.Section] = timeoutMs
	return Accepted, m.revision
}

func (m *model) assertMatches(t *rapid.T, view *View) {
	assert.Equal(t, view.Revision, m.revision)
	assert.Equal(t, len(view.Document.Services), len(m.owners))
	for path, version := range m.versions {
		info, body, ok := view.Section(path, "")
		assert.Assert(t, ok, path)
		assert.Equal(t, info.Version, version)
		assert.Equal(t, info.Owner, m.owners[path])
		var service Service
		assert.NilError(t, json.Unmarshal(body, &service))
		assert.Equal(t, service.TimeoutMs, m.timeoutsMs[path])
	}
}

// TestMachineMatchesModel guards against accepting two conflicting edits, applying an edit
// again when it is resent, accepting a reused edit ID with different content, a change by an
// unauthorized or invalid edit, and state that a snapshot loses or alters. The machine
// named uninterrupted gets the same commands but is never restored from a snapshot.
func TestMachineMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine, uninterrupted, want := NewMachine(), NewMachine(), newModel()
		bootstrap := bootstrapCommand(t)
		assert.Equal(t, apply(t, machine, bootstrap).Outcome, Accepted)
		apply(t, uninterrupted, bootstrap)
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				machine = restoredFromSnapshot(t, machine)
			case 1:
				assert.Equal(t, apply(t, machine, bootstrap).Outcome, NotEmpty)
				apply(t, uninterrupted, bootstrap)
			default:
				edit, timeoutMs := drawEdit(t, want)
				edit.AtMs = bootstrapTime.UnixMilli() + int64(step)
				outcome, revision, version := want.applyEdit(edit, timeoutMs)
				got := applyEdit(t, machine, edit)
				assert.Equal(t, got.Outcome, outcome, "%+v", edit)
				assert.Equal(t, got.Revision, revision)
				assert.Equal(t, got.Version, version)
				assert.Equal(t, got, applyEdit(t, uninterrupted, edit))
			}
			want.assertMatches(t, machine.View())
		}
		assert.DeepEqual(t, machine.View().History(), uninterrupted.View().History())
	})
}

// drawEdit draws an edit of a service and the timeout that it sets. Most edits have the
// current version as their base.
func drawEdit(t *rapid.T, m *model) (Edit, int) {
	section := rapid.SampledFrom([]string{"services/drafts", "services/archive", "services/new"}).Draw(t, "section")
	edit := Edit{
		EditID:  rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g", "h"}).Draw(t, "id"),
		Team:    rapid.SampledFrom([]string{"ops", "red", "red", "blue", "none"}).Draw(t, "team"),
		Section: section,
		Base:    m.versions[section],
	}
	if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
		edit.Base = rapid.Uint64Range(0, 4).Draw(t, "base")
	}
	timeoutMs := rapid.IntRange(0, 3).Draw(t, "timeout")
	owner, exists := m.owners[section]
	if !exists {
		owner = "red"
	}
	edit.Remove = rapid.IntRange(0, 4).Draw(t, "remove") == 0
	if !edit.Remove {
		edit.Body = []byte(fmt.Sprintf(`{"owner":%q,"timeout_ms":%d}`, owner, timeoutMs))
	}
	return edit, timeoutMs
}

// restoredFromSnapshot returns a new machine that was restored from a snapshot of m.
func restoredFromSnapshot(t assert.TestingT, m *Machine) *Machine {
	data, err := m.Snapshot()
	assert.NilError(t, err)
	next := NewMachine()
	assert.NilError(t, next.Restore(data))
	return next
}

// TestEditResultsExpire guards against applying a resend as a new edit within
// EditResultRetention, also when a later command has an earlier time, and against results
// that are never dropped.
func TestEditResultsExpire(t *testing.T) {
	m := NewMachine()
	apply(t, m, bootstrapCommand(t))
	applyAfter := func(id string, sinceBootstrap time.Duration) Outcome {
		return applyEdit(t, m, Edit{
			EditID: id, Team: "red", Section: "services/drafts", Base: 1,
			Body: []byte(`{"owner":"red","timeout_ms":5}`), AtMs: bootstrapTime.Add(sinceBootstrap).UnixMilli(),
		}).Outcome
	}
	m = restoredFromSnapshot(t, m)
	assert.Equal(t, applyAfter("one", -time.Hour), Accepted)
	m = restoredFromSnapshot(t, m)
	assert.Equal(t, applyAfter("one", EditResultRetention), Accepted)
	assert.Equal(t, applyAfter("one", EditResultRetention+time.Millisecond), Conflict)
	assert.Equal(t, len(m.edits.queue), 1)
	m.edits.limit = 3
	for i := range 10 {
		applyAfter(fmt.Sprint(i), 2*EditResultRetention)
	}
	assert.Equal(t, len(m.edits.byKey), 3)
}

// TestRejectedEdits guards against rejected edits that change the document or report the
// wrong field.
func TestRejectedEdits(t *testing.T) {
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
		apply(t, m, bootstrapCommand(t))
		edit := Edit{EditID: "x", Team: c.team, Section: c.section, Base: 1, Body: []byte(c.body), Remove: c.body == ""}
		before := m.View()
		assert.Equal(t, before.DryRun(edit).Field, c.field, c.body)
		result := applyEdit(t, m, edit)
		assert.Equal(t, result.Outcome, Invalid, c.body)
		assert.Equal(t, result.Field, c.field, c.body)
		assert.Assert(t, m.View() == before, c.body)
	}
}

// TestTeamEditKeepsTokenDigests guards against an edit that removes a team's tokens because
// it was made from the section as other teams see it, without the token digests.
func TestTeamEditKeepsTokenDigests(t *testing.T) {
	m := NewMachine()
	apply(t, m, bootstrapCommand(t))
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

// FuzzDecodeSection guards against a panic, an error without a field, and a section that
// differs after it was encoded and decoded again.
func FuzzDecodeSection(f *testing.F) {
	f.Add("services/drafts", `{"owner":"red","timeout_ms":5,"rules":[{"path_prefix":"/","repeatable":true}]}`)
	f.Add("limits", `{"retry_share":1e999}`)
	f.Add("teams/red", `{"token_sha256":[null]}`)
	f.Add("zones/", `{}{}`)
	f.Fuzz(func(t *testing.T, path, body string) {
		value, err := DecodeSection(path, []byte(body))
		if err != nil {
			field, ok := err.(*FieldError) //nolint:errorlint // the documented type, not wrapped
			assert.Assert(t, ok && field.Path != "", "%v", err)
			return
		}
		stored, err := json.Marshal(value)
		assert.NilError(t, err)
		again, err := DecodeSection(path, stored)
		if len(stored) > MaxSectionBytes {
			return // escape sequences may make the encoding longer
		}
		assert.NilError(t, err)
		restored, err := json.Marshal(again)
		assert.NilError(t, err)
		assert.Equal(t, string(restored), string(stored))
	})
}

// TestHedgeShareOff guards against taking an explicit hedge share of 0 for an absent one, and
// the 0 that earlier versions encoded for an absent share for an explicit one.
func TestHedgeShareOff(t *testing.T) {
	for body, want := range map[string]float64{
		`{}`:                                     0.02,
		`{"hedge_share": 0}`:                     0,
		`{"hedge_share": 0, "retry_share": 0.1}`: 0,
		`{"hedge_share": 0.3}`:                   0.3,
		`{"max_body_bytes":9,"retry_share":0,"hedge_share":0,"claim_hours":0}`:    0.02,
		`{"max_body_bytes":9,"retry_share":0.2,"hedge_share":0,"claim_hours":24}`: 0,
	} {
		value, err := DecodeSection("limits", []byte(body))
		assert.NilError(t, err)
		limits := value.(Limits)
		assert.Equal(t, limits.HedgeShareOrDefault(), want, body)
		encoded, err := json.Marshal(limits)
		assert.NilError(t, err)
		value, err = DecodeSection("limits", encoded)
		assert.NilError(t, err)
		limits = value.(Limits)
		assert.Equal(t, limits.HedgeShareOrDefault(), want, "%s", encoded)
	}
}
