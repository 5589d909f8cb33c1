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
	// CheckpointInterval is the time between two checkpoints of a member. A loss
	// of all members loses at most this much.
	CheckpointInterval = time.Minute
	// checkpointNodes bounds the nodes in one command, about 30 KB.
	checkpointNodes = 512
	// proposeTimeout bounds one proposal; what it carried is proposed again later.
	proposeTimeout = 10 * time.Second
	// forgetAfter is how long a member keeps the totals of a node that reports
	// to it no more.
	forgetAfter = 10 * time.Minute
)

// Proposer appends a command to the replicated log.
type Proposer interface {
	Propose(ctx context.Context, command []byte) (result []byte, index uint64, err error)
}

// Collector merges the totals that the nodes of a member report and proposes
// them as checkpoints. It is safe for concurrent use.
type Collector struct {
	mu    sync.Mutex
	nodes map[nodeKey]*collected
}

type collected struct {
	seen     time.Time
	services map[string]Totals
	// change grows with each change, sent is its value at the last checkpoint
	// that was accepted.
	change, sent uint64
}

// NewCollector returns a collector without counts.
func NewCollector() *Collector {
	return &Collector{nodes: map[nodeKey]*collected{}}
}

// Observe takes the totals of a node. Totals that are lower than known ones are
// of a delayed report and change nothing.
func (c *Collector) Observe(now time.Time, nodeID string, nodeStart uint64, counts []*wire.BurnCount) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := nodeKey{id: nodeID, start: nodeStart}
	node := c.nodes[key]
	if node == nil {
		if len(c.nodes) >= maxNodes {
			return
		}
		node = &collected{services: map[string]Totals{}}
		c.nodes[key] = node
	}
	node.seen = now
	for _, count := range counts {
		known := node.services[count.GetService()]
		next := Totals{Good: max(known.Good, count.GetGood()), Bad: max(known.Bad, count.GetBad())}
		if next != known {
			node.services[count.GetService()] = next
			node.change++
		}
	}
}

// batch is one command with what it covers.
type batch struct {
	command []byte
	changes map[nodeKey]uint64
}

// batches returns the commands for everything that no accepted checkpoint covers.
func (c *Collector) batches(now time.Time) ([]batch, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var due []nodeKey
	for key, node := range c.nodes {
		if node.change != node.sent {
			due = append(due, key)
		} else if now.Sub(node.seen) > forgetAfter {
			delete(c.nodes, key)
		}
	}
	sort.Slice(due, func(i, j int) bool {
		return due[i].id < due[j].id || due[i].id == due[j].id && due[i].start < due[j].start
	})
	var batches []batch
	for len(due) > 0 {
		size := min(len(due), checkpointNodes)
		b, err := c.encode(now, due[:size])
		if err != nil {
			return nil, err
		}
		batches = append(batches, b)
		due = due[size:]
	}
	return batches, nil
}

func (c *Collector) encode(now time.Time, keys []nodeKey) (batch, error) {
	checkpoint := &wire.BurnCheckpoint{UnixMs: now.UnixMilli()}
	b := batch{changes: map[nodeKey]uint64{}}
	for _, key := range keys {
		node := c.nodes[key]
		b.changes[key] = node.change
		checkpoint.Nodes = append(checkpoint.Nodes, &wire.NodeCounts{
			NodeId: key.id, NodeStart: key.start, Counts: encodeCounts(node.services),
		})
	}
	var err error
	b.command, err = proto.Marshal(checkpoint)
	return b, errors.Wrap(err, "slo: encode checkpoint")
}

func (c *Collector) accepted(b batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, change := range b.changes {
		if node := c.nodes[key]; node != nil {
			node.sent = change
		}
	}
}

// Checkpoint proposes all counts that no accepted checkpoint covers. What fails
// stays due; proposing it again counts nothing twice.
func (c *Collector) Checkpoint(ctx context.Context, now time.Time, proposer Proposer) error {
	batches, err := c.batches(now)
	if err != nil {
		return err
	}
	for _, b := range batches {
		ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		result, _, err := proposer.Propose(ctx, b.command)
		cancel()
		if err != nil {
			return errors.Wrap(err, "slo: checkpoint")
		}
		if len(result) > 0 {
			return errors.Errorf("slo: checkpoint refused: %s", result)
		}
		c.accepted(b)
	}
	return nil
}

// Run makes a checkpoint every CheckpointInterval until ctx ends.
func (c *Collector) Run(ctx context.Context, proposer Proposer, logger log.Logger) {
	ticker := time.NewTicker(CheckpointInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if err := c.Checkpoint(ctx, now, proposer); err != nil && ctx.Err() == nil {
				_ = level.Warn(logger).Log("msg", "counts were not checkpointed", "err", err)
			}
		}
	}
}
