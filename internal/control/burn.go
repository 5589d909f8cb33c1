package control

import (
	"time"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

// collectCounts adds the request counts of a node's heartbeat to the burn report, and its
// evidence to the running rollouts.
func (c *Control) collectCounts(heartbeat *wire.Heartbeat) {
	c.burnCollector.Observe(time.Now(), heartbeat.GetNodeId(), heartbeat.GetNodeStart(), heartbeat.GetCounts())
	c.rolloutDriver.observe(heartbeat)
}

// objectives returns the objective of each service in the current document.
func (c *Control) objectives() map[string]document.Objective {
	doc := c.documentMachine.View().Document
	if doc == nil {
		return nil
	}
	objectives := make(map[string]document.Objective, len(doc.Services))
	for name, service := range doc.Services {
		objectives[name] = service.Objective
	}
	return objectives
}
