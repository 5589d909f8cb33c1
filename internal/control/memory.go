package control

import (
	"context"
	"time"

	"github.com/chicorylever/chicorylever/internal/coordination/memlimit"
	"github.com/chicorylever/chicorylever/internal/obs"
	"github.com/chicorylever/chicorylever/internal/settings"
)

// memoryCheckInterval is the interval of checks whether requests were refused or connections
// closed for lack of memory, and with it of log lines about them.
const memoryCheckInterval = 10 * time.Second

// memory has the ledgers of the listeners.
type memory struct {
	api, mesh *memlimit.Ledger
}

func newMemory(s *settings.Control) *memory {
	plan := planMemory(s)
	return &memory{api: memlimit.NewLedger(plan.API), mesh: memlimit.NewLedger(plan.Mesh)}
}

func (m *memory) reload(s *settings.Control) {
	plan := planMemory(s)
	m.api.SetLimits(plan.API)
	m.mesh.SetLimits(plan.Mesh)
}

func planMemory(s *settings.Control) memlimit.ControlPlan {
	memoryMB := s.MemoryLimitMB
	if memoryMB == 0 {
		memoryMB = settings.DefaultControlMemoryMB
	}
	return memlimit.PlanControl(int64(memoryMB)<<20, settings.Descriptors(s.MaxDescriptors))
}

// byListener returns the ledgers by the names of their listeners.
func (m *memory) byListener() map[string]*memlimit.Ledger {
	return map[string]*memlimit.Ledger{"api": m.api, "mesh": m.mesh}
}

// watchMemory logs refusals for lack of memory until ctx ends.
func (c *Control) watchMemory(ctx context.Context) {
	reporter := obs.NewMemoryReporter(c.logger, c.memory.byListener())
	ticker := time.NewTicker(memoryCheckInterval)
	defer ticker.Stop()
	for {
		reporter.Report()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
