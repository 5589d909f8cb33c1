package obs

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/chicorylever/chicorylever/internal/coordination/memlimit"
)

// RegisterMemory adds metrics of what the listeners of a process hold for their clients.
func RegisterMemory(set *metrics.Set, ledgers map[string]*memlimit.Ledger) {
	for name, ledger := range ledgers {
		label := fmt.Sprintf("{listener=%q}", name)
		set.NewGauge("chicorylever_client_memory_bytes"+label, func() float64 { return float64(ledger.Counts().Held) })
		set.NewGauge("chicorylever_client_connections"+label, func() float64 { return float64(ledger.Counts().Connections) })
		set.NewGauge("chicorylever_client_closed_total"+label, func() float64 { return float64(ledger.Counts().Closed) })
		for scope := memlimit.ScopeAddress; scope <= memlimit.ScopeConnections; scope++ {
			set.NewGauge(fmt.Sprintf("chicorylever_client_refused_total{listener=%q,scope=%q}", name, scope), func() float64 {
				return float64(ledger.Counts().Refused[scope])
			})
		}
	}
}

// MemoryReporter logs refusals and closed connections of ledgers.
type MemoryReporter struct {
	logger  log.Logger
	ledgers map[string]*memlimit.Ledger
	last    map[string]memlimit.Counts
}

// NewMemoryReporter returns a reporter for ledgers by the names of their listeners.
func NewMemoryReporter(logger log.Logger, ledgers map[string]*memlimit.Ledger) *MemoryReporter {
	return &MemoryReporter{logger: level.Warn(logger), ledgers: ledgers, last: map[string]memlimit.Counts{}}
}

// Report writes a line for each listener that has refused or closed clients since the last call.
func (r *MemoryReporter) Report() {
	for name, ledger := range r.ledgers {
		counts, last := ledger.Counts(), r.last[name]
		r.last[name] = counts
		if counts.Refused == last.Refused && counts.Closed == last.Closed {
			continue
		}
		_ = r.logger.Log("msg", "clients reached a memory or connection limit", "listener", name,
			"held_bytes", counts.Held, "connections", counts.Connections, "closed", counts.Closed-last.Closed,
			"refused_address", counts.Refused[memlimit.ScopeAddress]-last.Refused[memlimit.ScopeAddress],
			"refused_total", counts.Refused[memlimit.ScopeTotal]-last.Refused[memlimit.ScopeTotal],
			"refused_connections", counts.Refused[memlimit.ScopeConnections]-last.Refused[memlimit.ScopeConnections])
	}
}
