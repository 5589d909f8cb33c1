package node

import (
	"context"
	"net/http"
	"time"

	"github.com/chicorylever/chicorylever/internal/coordination/memlimit"
	"github.com/chicorylever/chicorylever/internal/obs"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/settings"
)

const (
	// streamedBodyBytes are held for a streamed body beside the part that is read ahead: the
	// buffers of its senders and the messages on their way.
	streamedBodyBytes = 384 << 10
	// streamedResponseBytes are held for a response that is sent while it arrives: the receive
	// window of its stream, or the messages of an attempt within this node.
	streamedResponseBytes = 512 << 10
	// memoryCheckInterval is the interval of checks whether requests were refused or
	// connections closed for lack of memory, and with it of log lines about them.
	memoryCheckInterval = 10 * time.Second
)

// memory has the ledgers of the listeners.
type memory struct {
	callers, local, admin, mesh *memlimit.Ledger
}

func newMemory(s *settings.Node) *memory {
	plan := planMemory(s)
	return &memory{
		callers: memlimit.NewLedger(plan.Callers),
		local:   memlimit.NewLedger(plan.Local),
		admin:   memlimit.NewLedger(plan.Admin),
		mesh:    memlimit.NewLedger(plan.Mesh),
	}
}

func (m *memory) reload(s *settings.Node) {
	plan := planMemory(s)
	m.callers.SetLimits(plan.Callers)
	m.local.SetLimits(plan.Local)
	m.admin.SetLimits(plan.Admin)
	m.mesh.SetLimits(plan.Mesh)
}

func planMemory(s *settings.Node) memlimit.NodePlan {
	memoryMB := s.MemoryLimitMB
	if memoryMB == 0 {
		memoryMB = settings.DefaultNodeMemoryMB
	}
	return memlimit.PlanNode(int64(memoryMB)<<20, settings.Descriptors(s.MaxDescriptors))
}

// byListener returns the ledgers by the names of their listeners.
func (m *memory) byListener() map[string]*memlimit.Ledger {
	return map[string]*memlimit.Ledger{"callers": m.callers, "local": m.local, "admin": m.admin, "mesh": m.mesh}
}

// refuseForMemory responds to a request that was not run for lack of memory.
func (n *Node) refuseForMemory(w http.ResponseWriter, _ *http.Request) {
	n.metrics.countRefusal(wire.RefusalReason_REFUSAL_MEMORY)
	n.writeRetryAfter(w, time.Second)
	writeRefusal(w, wire.RefusalReason_REFUSAL_MEMORY, "no memory for the request")
}

// watchMemory logs refusals for lack of memory.
func (n *Node) watchMemory(ctx context.Context) {
	reporter := obs.NewMemoryReporter(n.logger, n.memory.byListener())
	for sleep(ctx, memoryCheckInterval) {
		reporter.Report()
	}
	reporter.Report()
}
