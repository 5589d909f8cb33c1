package document

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const batchTestDocument = `{"teams": {"ops": {"admin": true}, "red": {}}}`

// newBatchMachine returns a machine with batchTestDocument.
func newBatchMachine(t assert.TestingT) *Machine {
	m := NewMachine()
	command, err := EncodeBootstrap([]byte(batchTestDocument), time.Unix(0, 0))
	assert.NilError(t, err)
	assert.Equal(t, applyEncoded(t, m, command).Outcome, Accepted)
	return m
}

// applyEncoded applies an encoded command and returns its decoded result.
func applyEncoded(t assert.TestingT, m *Machine, command []byte) Result {
	result, err := DecodeResult(m.Apply(0, command))
	assert.NilError(t, err)
	return result
}

func sendBatch(t assert.TestingT, m *Machine, team string, items ...Item) Result {
	command, err := EncodeBatch(Batch{Team: team, Items: items})
	assert.NilError(t, err)
	return applyEncoded(t, m, command)
}

func serviceItem(name string, version uint64) Item {
	return Item{Section: "services/" + name, Version: version, Body: json.RawMessage(`{"timeout_ms": 1000}`)}
}

func routeItem(name, service string, version uint64, timeoutMs int) Item {
	body := fmt.Sprintf(`{"host": "a.example", "path_prefix": "/x/", "kind": "once", "timeout_ms": %d,
		"max_attempts": 2, "backends": [{"service": %q}]}`, timeoutMs, service)
	return Item{Section: "routes/" + name, Version: version, Body: json.RawMessage(body)}
}

// TestBatchHighestVersionWins guards against a redelivered item with a lower or equal
// version reverting a section, and against an older item restoring a removed section.
func TestBatchHighestVersionWins(t *testing.T) {
	m := newBatchMachine(t)
	assert.Equal(t, sendBatch(t, m, "ops", serviceItem("s", 3), routeItem("r", "s", 3, 100)).Outcome, Accepted)
	revision := m.View().Revision

	older := sendBatch(t, m, "ops", routeItem("r", "s", 2, 50))
	assert.Equal(t, older.Outcome, Accepted)
	equal := sendBatch(t, m, "ops", routeItem("r", "s", 3, 60))
	assert.Equal(t, equal.Outcome, Accepted)
	assert.Equal(t, m.View().Revision, revision)
	assert.Equal(t, m.View().Document.Routes["r"].TimeoutMs, 100)

	removal := Item{Section: "routes/r", Version: 7, Remove: true}
	assert.Equal(t, sendBatch(t, m, "ops", removal).Outcome, Accepted)
	assert.Equal(t, sendBatch(t, m, "ops", routeItem("r", "s", 6, 60)).Outcome, Accepted)
	assert.Equal(t, len(m.View().Document.Routes), 0)
	assert.DeepEqual(t, m.View().BatchItems(), []BatchItemInfo{{Section: "services/s", Version: 3}})

	assert.Equal(t, sendBatch(t, m, "ops", routeItem("r", "s", 8, 70)).Outcome, Accepted)
	assert.Equal(t, m.View().Document.Routes["r"].TimeoutMs, 70)
}

// TestInvalidBatchChangesNothing guards against applying a part of an invalid batch, and
// against accepting an invalid item because the section has a higher version.
func TestInvalidBatchChangesNothing(t *testing.T) {
	lateObjective := Item{Section: "routes/o", Version: 9, Body: json.RawMessage(`{"host": "a.example", "path_prefix": "/o/",
		"kind": "once", "timeout_ms": 100, "objective_ms": 60100, "max_attempts": 1, "backends": [{"service": "s"}]}`)}
	unknownKind := Item{Section: "routes/k", Version: 9, Body: json.RawMessage(`{"host": "a.example", "path_prefix": "/k/",
		"kind": "sometimes", "timeout_ms": 100, "max_attempts": 1, "backends": [{"service": "s"}]}`)}
	cases := []struct {
		name, field string
		item        Item
	}{
		{"unknown service", "routes/q/backends/0/service", routeItem("q", "nowhere", 9, 100)},
		{"timeout over ten minutes", "routes/q/timeout_ms", routeItem("q", "s", 9, 600_001)},
		{"objective beyond the timeout", "routes/o/objective_ms", lateObjective},
		{"unknown kind", "routes/k/kind", unknownKind},
		{"superseded item", "routes/r/timeout_ms", routeItem("r", "s", 1, 600_001)},
		{"incomplete body", "routes/q", Item{Section: "routes/q", Version: 9, Body: json.RawMessage(`{}`)}},
		{"no version", "routes/q/version", routeItem("q", "s", 0, 100)},
		{"zone", "zones/a", Item{Section: "zones/a", Version: 9, Body: json.RawMessage(`{}`)}},
		{"removed limits", "limits", Item{Section: "limits", Version: 9, Remove: true}},
		{"service in use", "routes/r/backends/0/service", Item{Section: "services/s", Version: 9, Remove: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := newBatchMachine(t)
			assert.Equal(t, sendBatch(t, m, "ops", serviceItem("s", 3), routeItem("r", "s", 3, 100)).Outcome, Accepted)
			before := m.View()
			result := sendBatch(t, m, "ops", serviceItem("valid", 4), c.item)
			assert.Equal(t, result.Outcome, Invalid)
			if c.name != "incomplete body" {
				assert.Equal(t, result.Field, c.field)
			}
			assert.Equal(t, m.View(), before)
		})
	}
	m := newBatchMachine(t)
	assert.Equal(t, sendBatch(t, m, "red", serviceItem("s", 1)).Outcome, Forbidden)
	assert.Equal(t, sendBatch(t, m, "none", serviceItem("s", 1)).Outcome, Forbidden)
}

// TestBatchResendAfterServiceRemoval guards against rejecting a resent batch that was
// accepted before one of its services was removed.
func TestBatchResendAfterServiceRemoval(t *testing.T) {
	m := newBatchMachine(t)
	original := []Item{serviceItem("s", 1), serviceItem("u", 1), routeItem("r", "s", 1, 100)}
	assert.Equal(t, sendBatch(t, m, "ops", original...).Outcome, Accepted)
	moved := []Item{routeItem("r", "u", 2, 100), {Section: "services/s", Version: 2, Remove: true}}
	assert.Equal(t, sendBatch(t, m, "ops", moved...).Outcome, Accepted)
	assert.Equal(t, sendBatch(t, m, "ops", original...).Outcome, Accepted)
	assert.Equal(t, m.View().Document.Routes["r"].Backends[0].Service, "u")
}

// TestBatchOrderIndependent guards against a document that depends on the order in which
// items arrive, when they are resent or the member restarts from a snapshot in between.
func TestBatchOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var items []Item
		for version := uint64(1); version <= 6; version++ {
			if rapid.Bool().Draw(t, "remove") {
				items = append(items, Item{Section: "routes/r", Version: version, Remove: true})
			} else {
				items = append(items, routeItem("r", "s", version, 100+int(version))) //nolint:gosec // small
			}
		}
		want := newBatchMachine(t)
		sendBatch(t, want, "ops", serviceItem("s", 1))
		sendBatch(t, want, "ops", items...)

		got := newBatchMachine(t)
		sendBatch(t, got, "ops", serviceItem("s", 1))
		for _, i := range rapid.Permutation([]int{0, 1, 2, 3, 4, 5, 0, 1, 2, 3, 4, 5}).Draw(t, "order") {
			assert.Equal(t, sendBatch(t, got, "ops", items[i]).Outcome, Accepted)
			snapshot, err := got.Snapshot()
			assert.NilError(t, err)
			got = NewMachine()
			assert.NilError(t, got.Restore(snapshot))
		}
		assert.DeepEqual(t, got.View().Document.Routes["r"], want.View().Document.Routes["r"])
		assert.DeepEqual(t, got.View().BatchItems(), want.View().BatchItems())
	})
}
