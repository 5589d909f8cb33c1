package document

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const secretKey = "key-5d0c93e1"

func organisationItem(name string, version uint64, body string) Item {
	return Item{Section: "organisations/" + name, Version: version, Body: json.RawMessage(body)}
}

// TestInvalidOrganisations guards against an organisation that no node could apply, against an
// error that does not name the field, and against a key in an error.
func TestInvalidOrganisations(t *testing.T) {
	const keys = `{"keys": ["` + secretKey + `"]`
	cases := map[string]string{
		keys + `, "priority": -1}`:                         "organisations/o/priority",
		keys + `, "priority": 101}`:                        "organisations/o/priority",
		keys + `, "rate_per_second": -1}`:                  "organisations/o/rate_per_second",
		keys + `, "rate_per_second": 1e999}`:               "organisations/o/rate_per_second",
		keys + `, "burst": -0.1}`:                          "organisations/o/burst",
		keys + `, "rate": 1}`:                              "organisations/o/rate",
		keys + `, "key_sha256": ["` + zeroDigest + `"]}`:   "organisations/o/key_sha256",
		`{"keys": ["` + secretKey + `", ""]}`:              "organisations/o/keys/1",
		`{"keys": ["a", "` + secretKey + `", "a"]}`:        "organisations/o/keys/2",
		`{"keys": ["` + strings.Repeat("x", 257) + `"]}`:   "organisations/o/keys/0",
		`{"keys": ["b", "shared-` + secretKey + `"]}`:      "organisations/o/keys/1",
		`{"keys": "` + secretKey + `"}`:                    "organisations/o/keys",
		`{"keys": ["` + secretKey + `"], "owner": "nope"}`: "organisations/o/owner",
	}
	for body, field := range cases {
		m := newBatchMachine(t)
		other := organisationItem("a", 1, `{"keys": ["shared-`+secretKey+`"]}`)
		assert.Equal(t, sendBatch(t, m, "ops", other).Outcome, Accepted)
		before := m.View()
		result := sendBatch(t, m, "ops", organisationItem("o", 1, body))
		assert.Equal(t, result.Outcome, Invalid, body)
		assert.Equal(t, result.Field, field)
		assert.Assert(t, !strings.Contains(result.Field+result.Problem, secretKey), result.Problem)
		assert.Equal(t, m.View(), before)
	}
	for _, number := range []float64{math.NaN(), math.Inf(1), -1} {
		o := Organisation{RatePerSecond: number}
		assert.ErrorContains(t, o.validate("p"), "p/rate_per_second")
	}
}

var zeroDigest = strings.Repeat("0", 64)

// TestSupersededOrganisationIsValidated guards against accepting an invalid item because a
// higher version of it is in force, and against rejecting a redelivered one whose key belongs to
// another organisation by now.
func TestSupersededOrganisationIsValidated(t *testing.T) {
	m := newBatchMachine(t)
	first := organisationItem("o", 1, `{"keys": ["a"]}`)
	assert.Equal(t, sendBatch(t, m, "ops", first).Outcome, Accepted)
	moved := []Item{organisationItem("o", 2, `{"keys": []}`), organisationItem("p", 2, `{"keys": ["a"]}`)}
	assert.Equal(t, sendBatch(t, m, "ops", moved...).Outcome, Accepted)
	assert.Equal(t, sendBatch(t, m, "ops", first).Outcome, Accepted)
	assert.Equal(t, sendBatch(t, m, "ops", organisationItem("o", 1, `{"keys": [""]}`)).Outcome, Invalid)
	assert.DeepEqual(t, m.View().Document.Organisations["p"].Keys, []string{"a"})
}

// TestOrganisationVersionsOutOfOrder guards against a late or repeated item, also a removal,
// that brings back an earlier state of an organisation, and against items that a snapshot loses.
func TestOrganisationVersionsOutOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newBatchMachine(t)
		latest := map[string]uint64{}
		wanted := map[string]Organisation{}
		for range rapid.IntRange(1, 30).Draw(t, "batches") {
			name := rapid.SampledFrom([]string{"o", "p"}).Draw(t, "name")
			version := rapid.Uint64Range(1, 9).Draw(t, "version")
			item := Item{Section: "organisations/" + name, Version: version, Remove: rapid.Bool().Draw(t, "remove")}
			organisation := Organisation{Owner: "ops", Keys: []string{fmt.Sprint(name, version)}}
			if !item.Remove {
				item.Body, _ = json.Marshal(organisation)
			}
			assert.Equal(t, sendBatch(t, m, "ops", item).Outcome, Accepted)
			if version > latest[name] {
				latest[name] = version
				delete(wanted, name)
				if !item.Remove {
					wanted[name] = organisation
				}
			}
			snapshot, err := m.Snapshot()
			assert.NilError(t, err)
			m = NewMachine()
			assert.NilError(t, m.Restore(snapshot))
		}
		assert.Equal(t, fmt.Sprint(m.View().Document.Organisations), fmt.Sprint(wanted))
	})
}

// TestKeysAreHidden guards against a key in what other teams and nodes read and in the history,
// and against an edit without keys, as other teams read it, that removes them.
func TestKeysAreHidden(t *testing.T) {
	m := newBatchMachine(t)
	body := `{"owner": "red", "keys": ["` + secretKey + `"], "labels": {"x": "` + secretKey + `"}}`
	assert.Equal(t, sendBatch(t, m, "ops", organisationItem("o", 1, body)).Outcome, Accepted)
	shows := func(value any) bool {
		data, err := json.Marshal(value)
		assert.NilError(t, err)
		return strings.Contains(string(data), secretKey)
	}
	for team, isVisible := range map[string]bool{"red": true, "ops": true, "blue": false, "": false} {
		_, section, ok := m.View().Section("organisations/o", team)
		assert.Assert(t, ok)
		assert.Equal(t, strings.Contains(string(section), secretKey), isVisible, team)
		assert.Equal(t, shows(m.View().Document.Redacted(team)), isVisible, team)
	}
	distributed := m.View().Document.ForNodes()
	assert.Assert(t, !shows(distributed))
	data, err := json.Marshal(distributed)
	assert.NilError(t, err)
	received := &Document{}
	assert.NilError(t, json.Unmarshal(data, received))
	assert.DeepEqual(t, received.Organisations["o"].KeySHA256, []KeyDigest{DigestKey(secretKey)})

	edit := Edit{EditID: "e", Team: "red", Section: "organisations/o", Base: 2, Body: json.RawMessage(`{"owner": "red", "priority": 3}`)}
	assert.Equal(t, m.View().DryRun(edit).Outcome, Accepted)
	assert.Equal(t, applyEdit(t, m, edit).Outcome, Accepted)
	assert.DeepEqual(t, m.View().Document.Organisations["o"].Keys, []string{secretKey})
	edit = Edit{EditID: "f", Team: "red", Section: "organisations/o", Base: 3, Body: json.RawMessage(`{"owner": "red", "keys": []}`)}
	assert.Equal(t, applyEdit(t, m, edit).Outcome, Accepted)
	assert.Equal(t, len(m.View().Document.Organisations["o"].Keys), 0)
	assert.Assert(t, !shows(m.View().History()))
	edit = Edit{EditID: "g", Team: "blue", Section: "organisations/o", Base: 4, Body: json.RawMessage(`{"owner": "blue"}`)}
	assert.Equal(t, applyEdit(t, m, edit).Outcome, Forbidden)
}
