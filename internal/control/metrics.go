package control

import (
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/chicorylever/chicorylever/internal/obs"
)

// metricsHandler returns the handler that serves the member's metrics in the Prometheus
// text format.
func (c *Control) metricsHandler() http.Handler {
	set := metrics.NewSet()
	obs.RegisterMemory(set, c.memory.byListener())
	gauge := func(name string, read func() float64) { set.NewGauge("chicorylever_control_"+name, read) }
	gauge("leader", func() float64 {
		status := c.replicatedLog.Status()
		return float64FromBool(status.Leader == status.ID)
	})
	gauge("quorum_contact", func() float64 { return float64FromBool(c.replicatedLog.Status().QuorumContact) })
	gauge("term", func() float64 { return float64(c.replicatedLog.Status().Term) })
	gauge("commit_index", func() float64 { return float64(c.replicatedLog.Status().Commit) })
	gauge("applied_index", func() float64 { return float64(c.replicatedLog.Status().Applied) })
	gauge("members", func() float64 { return float64(len(c.replicatedLog.Status().Members)) })
	gauge("voters", func() float64 { return float64(c.replicatedLog.Status().VoterCount()) })
	gauge("silent_voters", func() float64 { return float64(c.replicatedLog.Status().SilentVoters) })
	gauge("log_generation", func() float64 { return float64(c.replicatedLog.Status().LogGeneration) })
	gauge("configuration_revision", func() float64 { return float64(c.documentMachine.View().Revision) })
	gauge("nodes", func() float64 { return float64(c.registry.Status(time.Now()).Nodes) })
	gauge("nodes_connected", func() float64 { return float64(c.registry.Status(time.Now()).Local) })
	gauge("nodes_late", func() float64 { return float64(c.registry.Status(time.Now()).Late) })
	gauge("nodes_lagging", func() float64 { return float64(c.distributor.Progress().LaggingNodes) })
	gauge("registry_stale", func() float64 { return float64FromBool(c.registry.Status(time.Now()).Stale) })
	gauge("claim_records", func() float64 { return float64(c.claimMachine.Stats().Records) })
	gauge("claim_bytes", func() float64 { return float64(c.claimMachine.Stats().UsedBytes) })
	gauge("quota_limited", func() float64 { return float64(c.quotas.collector.Limited()) })
	set.NewGauge("chicorylever_log_lines_dropped_total", func() float64 { return float64(c.options.DroppedLogLines()) })
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		c.writeRolloutMetrics(w)
		metrics.WriteProcessMetrics(w)
	})
}

// float64FromBool returns 1 for true and 0 for false, the Prometheus convention for
// boolean gauges.
func float64FromBool(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
