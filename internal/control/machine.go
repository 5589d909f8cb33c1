package control

import (
	"context"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/replica"
)

// componentID names a part of the replicated state. It is the first byte of each
// command and never changes its meaning, since commands stay in the log.
type componentID byte

const (
	componentDocument componentID = 1
	componentClaims   componentID = 2
	componentBurn     componentID = 3
)

// errSnapshot reports a snapshot that this version cannot read.
var errSnapshot = errors.New("control: malformed snapshot")

// compositeMachine joins the parts of the replicated state to one state compositeMachine.
type compositeMachine struct {
	components map[componentID]replica.StateMachine
	order      []componentID
}

func newCompositeMachine(parts map[componentID]replica.StateMachine) *compositeMachine {
	return &compositeMachine{components: parts, order: slices.Sorted(maps.Keys(parts))}
}

// Apply hands a command to its part. A command of an unknown part has no effect,
// which keeps members of one version deterministic.
func (m *compositeMachine) Apply(index uint64, command []byte) []byte {
	if len(command) == 0 {
		return nil
	}
	part, ok := m.components[componentID(command[0])]
	if !ok {
		return nil
	}
	return part.Apply(index, command[1:])
}

// Snapshot writes each part as its name, its length and its state.
func (m *compositeMachine) Snapshot() ([]byte, error) {
	var data []byte
	for _, name := range m.order {
		state, err := m.components[name].Snapshot()
		if err != nil {
			return nil, errors.WithMessagef(err, "snapshot of part %d", name)
		}
		data = append(data, byte(name))
		data = binary.AppendUvarint(data, uint64(len(state)))
		data = append(data, state...)
	}
	return data, nil
}

// Restore replaces the state of every part. It returns errSnapshot and changes
// nothing when the snapshot is malformed or holds a part that is unknown here: the
// part would be lost with the next snapshot of this member.
func (m *compositeMachine) Restore(data []byte) error {
	states, err := splitSnapshot(data)
	if err != nil {
		return err
	}
	for name := range states {
		if _, ok := m.components[name]; !ok {
			return errors.WithMessagef(errSnapshot, "unknown part %d", name)
		}
	}
	for _, name := range m.order {
		if err := m.components[name].Restore(states[name]); err != nil {
			return errors.WithMessagef(err, "restore part %d", name)
		}
	}
	return nil
}

func splitSnapshot(data []byte) (map[componentID][]byte, error) {
	states := map[componentID][]byte{}
	for len(data) > 0 {
		name := componentID(data[0])
		size, n := binary.Uvarint(data[1:])
		if n <= 0 || size > uint64(len(data)-1-n) {
			return nil, errSnapshot
		}
		if _, ok := states[name]; ok {
			return nil, errors.WithMessagef(errSnapshot, "part %d is repeated", name)
		}
		data = data[1+n:]
		states[name] = data[:size]
		data = data[size:]
	}
	return states, nil
}

// componentProposer proposes commands of one part.
type componentProposer struct {
	replica.Proposer
	id componentID
}

// Propose marks the command with its part.
func (p componentProposer) Propose(ctx context.Context, command []byte) (result []byte, index uint64, err error) {
	tagged := make([]byte, 0, len(command)+1)
	tagged = append(tagged, byte(p.id))
	return p.Proposer.Propose(ctx, append(tagged, command...))
}
