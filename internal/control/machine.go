package control

import (
	"context"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/replica"
)

// componentID identifies a component of the replicated state. It is the first byte of
// each command. A value must never change its meaning, since commands stay in the log.
type componentID byte

const (
	componentDocument componentID = 1
	componentClaims   componentID = 2
	componentBurn     componentID = 3
)

// errSnapshot reports a snapshot that this version cannot decode.
var errSnapshot = errors.New("control: malformed snapshot")

// compositeMachine is the replicated state machine. It consists of one state machine for
// each component.
type compositeMachine struct {
	components map[componentID]replica.StateMachine
	// sortedIDs holds the IDs of the components in ascending order.
	sortedIDs []componentID
}

func newCompositeMachine(components map[componentID]replica.StateMachine) *compositeMachine {
	return &compositeMachine{components: components, sortedIDs: slices.Sorted(maps.Keys(components))}
}

// Apply passes a command to its component. A command for an unknown component has no
// effect, which keeps members of the same version deterministic.
func (m *compositeMachine) Apply(index uint64, command []byte) []byte {
	if len(command) == 0 {
		return nil
	}
	component, ok := m.components[componentID(command[0])]
	if !ok {
		return nil
	}
	return component.Apply(index, command[1:])
}

// Snapshot encodes each component as its ID, the length of its state as a varint and its
// state.
func (m *compositeMachine) Snapshot() ([]byte, error) {
	var data []byte
	for _, id := range m.sortedIDs {
		state, err := m.components[id].Snapshot()
		if err != nil {
			return nil, errors.WithMessagef(err, "snapshot of component %d", id)
		}
		data = append(data, byte(id))
		data = binary.AppendUvarint(data, uint64(len(state)))
		data = append(data, state...)
	}
	return data, nil
}

// Restore replaces the state of every component. It returns errSnapshot and changes
// nothing if the snapshot is malformed or holds an unknown component, whose state would
// be missing from the next snapshot of this member.
func (m *compositeMachine) Restore(data []byte) error {
	states, err := splitSnapshot(data)
	if err != nil {
		return err
	}
	for id := range states {
		if _, ok := m.components[id]; !ok {
			return errors.WithMessagef(errSnapshot, "unknown component %d", id)
		}
	}
	for _, id := range m.sortedIDs {
		if err := m.components[id].Restore(states[id]); err != nil {
			return errors.WithMessagef(err, "restore component %d", id)
		}
	}
	return nil
}

// splitSnapshot returns the encoded state of each component in the snapshot.
func splitSnapshot(data []byte) (map[componentID][]byte, error) {
	states := map[componentID][]byte{}
	for len(data) > 0 {
		id := componentID(data[0])
		size, n := binary.Uvarint(data[1:])
		if n <= 0 || size > uint64(len(data)-1-n) {
			return nil, errSnapshot
		}
		if _, ok := states[id]; ok {
			return nil, errors.WithMessagef(errSnapshot, "component %d occurs twice", id)
		}
		data = data[1+n:]
		states[id] = data[:size]
		data = data[size:]
	}
	return states, nil
}

// componentProposer proposes commands for one component.
type componentProposer struct {
	replica.Proposer
	id componentID
}

// Propose prepends the component ID to the command.
func (p componentProposer) Propose(ctx context.Context, command []byte) (result []byte, index uint64, err error) {
	prefixed := make([]byte, 0, len(command)+1)
	prefixed = append(prefixed, byte(p.id))
	return p.Proposer.Propose(ctx, append(prefixed, command...))
}
