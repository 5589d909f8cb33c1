package control

import (
	"time"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

// collectCounts takes the counts of a heartbeat.
func (c *Control) collectCounts(heartbeat *wire.Heartbeat) {
	c.burnCollector.Observe(time.Now(), heartbeat.GetNodeId(), heartbeat.GetNodeStart(), heartbeat.GetCounts())
}

// objectives returns the objectives of the services in the current document.
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
