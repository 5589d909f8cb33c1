package control

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/chicorylever/chicorylever/internal/coordination/membership"
	"github.com/chicorylever/chicorylever/internal/coordination/replica"
	"github.com/chicorylever/chicorylever/internal/state/claims"
)

const lostNodeCheckInterval = time.Second

// lostNodeDetector reports nodes that are gone or have started anew to the claims, so
// that a resend of a keyed request is told at once that the outcome is unknown.
// A loss that no leader notices is covered by the deadline of each claim.
type lostNodeDetector struct {
	registry       *membership.Registry
	proposer       replica.Proposer
	logger         log.Logger
	previousStarts map[string]uint64
}

func newLostNodeDetector(registry *membership.Registry, proposer replica.Proposer, logger log.Logger) *lostNodeDetector {
	return &lostNodeDetector{registry: registry, proposer: proposer, logger: logger, previousStarts: map[string]uint64{}}
}

// run compares the nodes with those of a second ago until ctx ends.
func (l *lostNodeDetector) run(ctx context.Context) {
	ticker := time.NewTicker(lostNodeCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.check(ctx)
		}
	}
}

// check reports nodes that are gone or have another start time, if this member leads.
func (l *lostNodeDetector) check(ctx context.Context) {
	current := map[string]uint64{}
	for _, heartbeat := range l.registry.Nodes() {
		current[heartbeat.GetNodeId()] = heartbeat.GetNodeStart()
	}
	former := l.previousStarts
	l.previousStarts = current
	status := l.proposer.Status()
	if status.Leader != status.ID {
		return
	}
	for id, start := range former {
		if current[id] != start {
			l.proposeNodeLost(ctx, id)
		}
	}
}

// proposeNodeLost proposes to mark the node's claims as lost. A proposal that fails is not
// repeated, since the deadline of each claim covers it.
func (l *lostNodeDetector) proposeNodeLost(ctx context.Context, nodeID string) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	_, _, err := l.proposer.Propose(ctx, claims.EncodeNodeLost(nodeID, time.Now()))
	_ = level.Info(l.logger).Log("msg", "node is gone or has started anew", "node", nodeID, "err", err)
}
