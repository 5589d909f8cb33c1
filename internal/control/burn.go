package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/state/document"
	"github.com/chicorylever/chicorylever/internal/state/slo"
)

// collectCounts takes the counts of a heartbeat.
func (c *Control) collectCounts(heartbeat *wire.Heartbeat) {
	c.collector.Observe(time.Now(), heartbeat.GetNodeId(), heartbeat.GetNodeStart(), heartbeat.GetCounts())
}

// objectives returns the objectives of the services in the current document.
func (c *Control) objectives() map[string]document.Objective {
	_, data := c.source.Current()
	doc := &document.Document{}
	if err := json.Unmarshal(data, doc); err != nil {
		_ = level.Error(c.logger).Log("msg", "objectives cannot be read", "err", err)
	}
	objectives := make(map[string]document.Objective, len(doc.Services))
	for name, service := range doc.Services {
		objectives[name] = service.Objective
	}
	return objectives
}

// unreplicated applies checkpoints to this member only; it stands in for the
// replicated log while a member runs without one.
type unreplicated struct {
	machine *slo.Machine
}

func (u unreplicated) Propose(_ context.Context, command []byte) ([]byte, uint64, error) {
	return u.machine.Apply(0, command), 0, nil
}
