package control

import (
	"context"
	"sync"

	"github.com/chicorylever/chicorylever/internal/coordination/replica"
)

// localProposer applies commands in memory only; a restart forgets them. It
// stands in for the replicated log.
type localProposer struct {
	mu      sync.Mutex
	machine replica.StateMachine
	index   uint64
}

// Propose applies the command.
func (p *localProposer) Propose(_ context.Context, command []byte) (result []byte, index uint64, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.index++
	return p.machine.Apply(p.index, command), p.index, nil
}

// Confirm returns the last index.
func (p *localProposer) Confirm(context.Context) (uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.index, nil
}

// Status returns a cluster of one.
func (p *localProposer) Status() replica.Status {
	return replica.Status{ID: 1, Leader: 1, Applied: p.index, Commit: p.index, QuorumContact: true}
}
