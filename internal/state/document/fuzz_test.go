package document

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

func snapshotOf(t *testing.T, m *Machine) []byte {
	data, err := m.Snapshot()
	assert.NilError(t, err)
	return data
}

// restoredSnapshot returns the snapshot of a new machine that was restored from a snapshot
// of m.
func restoredSnapshot(t *testing.T, m *Machine) []byte {
	restored := NewMachine()
	assert.NilError(t, restored.Restore(snapshotOf(t, m)))
	return snapshotOf(t, restored)
}

// FuzzApply guards against a command that makes a member panic, or whose result or effect
// differs on a member that was restored from a snapshot before it.
func FuzzApply(f *testing.F) {
	edit := `{"edit":{"edit_id":"e","team":"ops","section":"limits","base":1,"body":{"claim_hours":2},"at_ms":5}}`
	f.Add([]byte(edit), []byte(edit))
	f.Add([]byte(edit), []byte(`{"edit":{"edit_id":"e2","team":"red","section":"services/drafts","base":1,"remove":true,"at_ms":999999999}}`))
	f.Add([]byte(`{"edit":{"edit_id":"e","team":"ops","section":"zones/z","body":null}}`), []byte(`{"bootstrap":{}}`))
	f.Add([]byte(`{"edit":{"edit_id":"e","at_ms":-9223372036854775808}}`), []byte(`{}`))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		uninterrupted, restored := NewMachine(), NewMachine()
		for i, command := range [][]byte{bootstrapCommand(t), first, second} {
			assert.NilError(t, restored.Restore(snapshotOf(t, uninterrupted)))
			result := uninterrupted.Apply(uint64(i), command)
			assert.Assert(t, bytes.Equal(result, restored.Apply(uint64(i), command)))
			assert.Assert(t, bytes.Equal(restoredSnapshot(t, uninterrupted), restoredSnapshot(t, restored)))
		}
	})
}

// FuzzRestore guards against a panic on a corrupt snapshot, against a failed restore that
// changes the state, and against a restored state that differs after its own snapshot is
// restored. It also checks that a restored machine applies a command without a panic.
func FuzzRestore(f *testing.F) {
	f.Add([]byte(`{"format":1,"revision":3,"document":{"services":{"a":{"owner":"red"}}},"versions":{"services/a":2}}`))
	f.Add([]byte(`{"format":1,"history":[{"revision":1,"action":"create"}],"edits":[{"team":"red","edit_id":"e","digest":"AA=="}]}`))
	f.Add([]byte(`{"format":1,"document":null,"edits":[]}`))
	f.Add([]byte(`{"format":2}`))
	f.Add([]byte(`{"format":1,`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m := NewMachine()
		empty := snapshotOf(t, m)
		if m.Restore(data) != nil {
			assert.Assert(t, bytes.Equal(snapshotOf(t, m), empty))
			return
		}
		restored := restoredSnapshot(t, m)
		again := NewMachine()
		assert.NilError(t, again.Restore(restored))
		assert.Assert(t, bytes.Equal(restoredSnapshot(t, again), restored))
		m.Apply(1, []byte(`{"edit":{"edit_id":"e","team":"red","section":"limits","body":{},"at_ms":5}}`))
	})
}
