package claims

import (
	"bytes"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

func fuzzCommands() [][]byte {
	claim := &wire.Claim{Service: "s", Key: "k", Fingerprint: []byte("f"), AttemptId: []byte("a"), NodeId: "n"}
	outcome := &wire.RecordOutcome{Service: "s", Key: "k", AttemptId: []byte("a"), Response: &wire.RecordedResponse{Status: 200}}
	claimed, _ := EncodeClaim(claim, Terms{ProposedAt: start, Timeout: timeout, Retention: retention, CapacityBytes: 1 << 20})
	recorded, _ := EncodeRecordOutcome(outcome, start)
	released, _ := EncodeRelease(&wire.ReleaseClaim{Service: "s", Key: "k", AttemptId: []byte("a")}, start)
	return [][]byte{claimed, recorded, released, EncodeNodeLost("n", start)}
}

func snapshotOf(t *testing.T, m *Machine) []byte {
	data, err := m.Snapshot()
	assert.NilError(t, err)
	return data
}

// FuzzApply guards against a command that panics, and against a command whose result or
// effect differs on a member that was restored from a snapshot before it.
func FuzzApply(f *testing.F) {
	commands := fuzzCommands()
	for _, command := range commands[1:] {
		f.Add(commands[0], command)
		f.Add(command, commands[0])
	}
	f.Add([]byte{kindClaim}, []byte{})
	f.Fuzz(func(t *testing.T, first, second []byte) {
		uninterrupted, restarted := NewMachine(), NewMachine()
		for i, command := range [][]byte{commands[0], first, second} {
			assert.NilError(t, restarted.Restore(snapshotOf(t, uninterrupted)))
			result := uninterrupted.Apply(uint64(i), command)
			assert.Assert(t, bytes.Equal(result, restarted.Apply(uint64(i), command)))
			assert.Assert(t, bytes.Equal(snapshotOf(t, uninterrupted), snapshotOf(t, restarted)))
		}
	})
}

// FuzzRestore guards against a panic on a malformed snapshot, against a failed restore
// that changes the state, and against a restored state whose own snapshot restores to
// a different state.
func FuzzRestore(f *testing.F) {
	m := NewMachine()
	for i, command := range fuzzCommands() {
		m.Apply(0, command)
		if i == 0 {
			duplicate := appendInts([]byte{snapshotVersion}, 0, 0, 2, 0)
			f.Add(appendRecord(appendRecord(duplicate, m.expiry[0]), m.expiry[0]))
		}
		data, _ := m.Snapshot()
		f.Add(data)
		f.Add(data[:len(data)-1])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, restoredAgain := NewMachine(), NewMachine()
		empty := snapshotOf(t, m)
		if err := m.Restore(data); err != nil {
			assert.Assert(t, errors.Is(err, ErrSnapshot))
			assert.Assert(t, bytes.Equal(snapshotOf(t, m), empty))
			return
		}
		assert.NilError(t, restoredAgain.Restore(snapshotOf(t, m)))
		assert.Assert(t, bytes.Equal(snapshotOf(t, restoredAgain), snapshotOf(t, m)))
		assert.Equal(t, len(m.records), len(m.expiry))
		m.Apply(0, EncodeNodeLost("n", start.AddDate(100, 0, 0)))
	})
}
