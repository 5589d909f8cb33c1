package control

import (
	"bytes"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/coordination/replica"
)

// fakeComponent appends commands to its state and fails to restore the state "bad".
type fakeComponent struct {
	state string
}

func (c *fakeComponent) Apply(_ uint64, command []byte) []byte {
	c.state += string(command)
	return command
}

func (c *fakeComponent) Snapshot() ([]byte, error) { return []byte(c.state), nil }

func (c *fakeComponent) Restore(data []byte) error {
	if string(data) == "bad" {
		return errors.New("bad state")
	}
	c.state = string(data)
	return nil
}

func newTestMachine() (*compositeMachine, *fakeComponent, *fakeComponent) {
	first, second := &fakeComponent{state: "old"}, &fakeComponent{state: "old"}
	return newCompositeMachine(map[componentID]replica.StateMachine{componentDocument: first, componentClaims: second}), first, second
}

// TestCompositeMachineSnapshot guards against a component that is restored from the state
// of another one or from a truncated snapshot, and against the loss of a component that
// this version does not know. A snapshot rejected with errSnapshot changes no component.
func TestCompositeMachineSnapshot(t *testing.T) {
	long := strings.Repeat("x", 300)
	tests := []struct {
		name, data    string
		first, second string
		err           error
	}{
		{"all components", "\x01\x01a\x02\x02bc", "a", "bc", nil},
		{"other order", "\x02\x02bc\x01\x01a", "a", "bc", nil},
		{"empty state", "\x01\x00\x02\x01b", "", "b", nil},
		{"long state", "\x01\xac\x02" + long + "\x02\x00", long, "", nil},
		{"missing component", "\x01\x01a", "a", "", nil},
		{"ID only", "\x01\x01a\x02", "old", "old", errSnapshot},
		{"truncated length", "\x01\x01a\x02\x80", "old", "old", errSnapshot},
		{"truncated state", "\x01\x01a\x02\x02b", "old", "old", errSnapshot},
		{"huge length", "\x01\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01a", "old", "old", errSnapshot},
		{"unknown component", "\x01\x01a\x02\x01b\x09\x01c", "old", "old", errSnapshot},
		{"repeated component", "\x01\x01a\x01\x01b", "old", "old", errSnapshot},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m, first, second := newTestMachine()
			err := m.Restore([]byte(test.data))
			assert.Assert(t, errors.Is(err, test.err), "%v", err)
			assert.Equal(t, first.state, test.first)
			assert.Equal(t, second.state, test.second)
			saved, err := m.Snapshot()
			assert.NilError(t, err)
			restored, first, second := newTestMachine()
			assert.NilError(t, restored.Restore(saved))
			assert.Equal(t, first.state, m.components[componentDocument].(*fakeComponent).state)
			assert.Equal(t, second.state, m.components[componentClaims].(*fakeComponent).state)
		})
	}
	m, _, _ := newTestMachine()
	assert.ErrorContains(t, m.Restore([]byte("\x01\x00\x02\x03bad")), "restore component 2: bad state")
}

// FuzzMachine guards against a panic on malformed commands and snapshots, against a
// command that is applied by another component than the one it names, and against a
// restored state whose next snapshot differs.
func FuzzMachine(f *testing.F) {
	f.Add([]byte("\x01\x01a\x02\x02bc"), []byte("\x01command"))
	f.Add([]byte("\x09\x01a"), []byte("\x09command"))
	f.Add([]byte("\x01\x80"), []byte{})
	f.Fuzz(func(t *testing.T, data, command []byte) {
		m, first, second := newTestMachine()
		_ = m.Restore(data)
		want := []string{first.state, second.state}
		result := m.Apply(1, command)
		if len(command) > 0 && componentID(command[0]) == componentDocument {
			want[0] += string(command[1:])
		}
		if len(command) > 0 && componentID(command[0]) == componentClaims {
			want[1] += string(command[1:])
		}
		assert.DeepEqual(t, []string{first.state, second.state}, want)
		assert.Assert(t, result == nil || bytes.Equal(result, command[1:]))
		saved, err := m.Snapshot()
		assert.NilError(t, err)
		restored, _, _ := newTestMachine()
		if second.state == "bad" || first.state == "bad" {
			return
		}
		assert.NilError(t, restored.Restore(saved))
		resaved, err := restored.Snapshot()
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(resaved, saved))
	})
}
