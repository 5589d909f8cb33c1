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

// lostNodeCheckInterval is the interval at which the leader checks for lost nodes.
const lostNodeCheckInterval = time.Second

// lostNodeDetector proposes to mark the claims of nodes that have left the registry or
// restarted as lost, so that a repeated keyed request gets an unknown outcome at once. If
// no leader detects a lost node, each of its claims is lost at its own deadline.
type lostNodeDetector struct {
	registry       *membership.Registry
	proposer       replica.Proposer
	logger         log.Logger
	previousStarts map[string]uint64
}

func newLostNodeDetector(registry *membership.Registry, proposer replica.Proposer, logger log.Logger) *lostNodeDetector {
	return &lostNodeDetector{registry: registry, proposer: proposer, logger: logger, previousStarts: map[string]uint64{}}
}

// run checks for lost nodes every second until ctx ends.
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

// check finds the nodes that have left the registry or changed their start time since the
// last check. If this member leads, it proposes their claims as lost.
func (l *lostNodeDetector) check(ctx context.Context) {
	current := map[string]uint64{}
	for _, heartbeat := range l.registry.Nodes() {
		current[heartbeat.GetNodeId()] = heartbeat.GetNodeStart()
	}
	previous := l.previousStarts
	l.previousStarts = current
	status := l.proposer.Status()
	if status.Leader != status.ID {
		return
	}
	for id, start := range previous {
		if current[id] != start {
			l.proposeNodeLost(ctx, id)
		}
	}
}

// proposeNodeLost proposes to mark the node's claims in progress as lost. A failed
// proposal is not retried, since each claim is lost at its deadline anyway.
func (l *lostNodeDetector) proposeNodeLost(ctx context.Context, nodeID string) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	_, _, err := l.proposer.Propose(ctx, claims.EncodeNodeLost(nodeID, time.Now()))
	_ = level.Info(l.logger).Log("msg", "node left the registry or restarted; proposed to mark its claims as lost", "node", nodeID, "err", err)
}
