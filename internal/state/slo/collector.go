package slo

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

const (
	// CheckpointInterval is the time between two checkpoints of a member. If all
	// members fail, at most the counts of one interval are lost.
	CheckpointInterval = time.Minute
	// maxCheckpointNodes is the maximum number of nodes in one command, about 30 KB.
	maxCheckpointNodes = 512
	// proposeTimeout is the timeout of one proposal. The counts of a failed proposal
	// are proposed again at the next checkpoint.
	proposeTimeout = 10 * time.Second
	// collectorNodeRetention is how long a member keeps the checkpointed totals of a
	// node after the node's last report to it.
	collectorNodeRetention = 10 * time.Minute
)

// Proposer appends a command to the replicated log.
type Proposer interface {
	Propose(ctx context.Context, command []byte) (result []byte, index uint64, err error)
}

// Collector merges the totals that nodes report to one member and proposes them
// as checkpoints. It is safe for concurrent use.
type Collector struct {
	mu    sync.Mutex
	nodes map[nodeIncarnation]*collectedNode
}

// collectedNode holds the latest totals of a node incarnation by service.
type collectedNode struct {
	lastReport time.Time
	services   map[string]ResponseCounts
	// version increases with each change of the totals; checkpointedVersion is the
	// version in the last accepted checkpoint.
	version, checkpointedVersion uint64
}

// NewCollector returns a collector without counts.
func NewCollector() *Collector {
	return &Collector{nodes: map[nodeIncarnation]*collectedNode{}}
}

// Observe merges the totals that a node reports. Totals that are lower than the known
// ones come from a delayed report and are ignored, as are new nodes beyond
// maxNodeIncarnations.
func (c *Collector) Observe(now time.Time, nodeID string, nodeStart uint64, counts []*wire.BurnCount) {
	c.mu.Lock()
	defer c.mu.Unlock()
	incarnation := nodeIncarnation{id: nodeID, start: nodeStart}
	node := c.nodes[incarnation]
	if node == nil {
		if len(c.nodes) >= maxNodeIncarnations {
			return
		}
		node = &collectedNode{services: map[string]ResponseCounts{}}
		c.nodes[incarnation] = node
	}
	node.lastReport = now
	for _, count := range counts {
		previous := node.services[count.GetService()]
		merged := ResponseCounts{Good: max(previous.Good, count.GetGood()), Bad: max(previous.Bad, count.GetBad())}
		if merged != previous {
			node.services[count.GetService()] = merged
			node.version++
		}
	}
}

// batch is one checkpoint command with the version of each node's totals that it contains.
type batch struct {
	command  []byte
	versions map[nodeIncarnation]uint64
}

// pendingBatches returns commands with the totals of all nodes whose current version is
// not in an accepted checkpoint. It removes idle nodes that have none pending.
func (c *Collector) pendingBatches(now time.Time) ([]batch, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var pending []nodeIncarnation
	for incarnation, node := range c.nodes {
		if node.version != node.checkpointedVersion {
			pending = append(pending, incarnation)
		} else if now.Sub(node.lastReport) > collectorNodeRetention {
			delete(c.nodes, incarnation)
		}
	}
	sort.Slice(pending, func(i, j int) bool {
		return pending[i].id < pending[j].id || pending[i].id == pending[j].id && pending[i].start < pending[j].start
	})
	var batches []batch
	for len(pending) > 0 {
		size := min(len(pending), maxCheckpointNodes)
		b, err := c.encodeBatch(now, pending[:size])
		if err != nil {
			return nil, err
		}
		batches = append(batches, b)
		pending = pending[size:]
	}
	return batches, nil
}

func (c *Collector) encodeBatch(now time.Time, incarnations []nodeIncarnation) (batch, error) {
	checkpoint := &wire.BurnCheckpoint{UnixMs: now.UnixMilli()}
	b := batch{versions: map[nodeIncarnation]uint64{}}
	for _, incarnation := range incarnations {
		node := c.nodes[incarnation]
		b.versions[incarnation] = node.version
		checkpoint.Nodes = append(checkpoint.Nodes, &wire.NodeCounts{
			NodeId: incarnation.id, NodeStart: incarnation.start, Counts: encodeCounts(node.services),
		})
	}
	var err error
	b.command, err = proto.Marshal(checkpoint)
	return b, errors.Wrap(err, "slo: encode checkpoint")
}

func (c *Collector) markCheckpointed(b batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for incarnation, version := range b.versions {
		if node := c.nodes[incarnation]; node != nil {
			node.checkpointedVersion = version
		}
	}
}

// Checkpoint proposes all totals that are not in an accepted checkpoint. Totals of a
// failed proposal remain pending; proposing them again does not count them twice.
func (c *Collector) Checkpoint(ctx context.Context, now time.Time, proposer Proposer) error {
	batches, err := c.pendingBatches(now)
	if err != nil {
		return err
	}
	for _, b := range batches {
		ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		result, _, err := proposer.Propose(ctx, b.command)
		cancel()
		if err != nil {
			return errors.Wrap(err, "slo: propose checkpoint")
		}
		if len(result) > 0 {
			return errors.Errorf("slo: checkpoint rejected by the state machine: %s", result)
		}
		c.markCheckpointed(b)
	}
	return nil
}

// Run calls Checkpoint every CheckpointInterval until ctx is done.
func (c *Collector) Run(ctx context.Context, proposer Proposer, logger log.Logger) {
	ticker := time.NewTicker(CheckpointInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if err := c.Checkpoint(ctx, now, proposer); err != nil && ctx.Err() == nil {
				_ = level.Warn(logger).Log("msg", "checkpoint of response counts failed; retrying at the next interval", "err", err)
			}
		}
	}
}
