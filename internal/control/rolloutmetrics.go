package control

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"github.com/chicorylever/chicorylever/internal/state/document"
)

// writeRolloutMetrics writes the metrics of the latest rollout of each service. Services come
// and go, so that a new set is built for each response.
func (c *Control) writeRolloutMetrics(w io.Writer) {
	set := metrics.NewSet()
	rollouts := c.documentMachine.View().Document.Rollouts
	running := 0
	for _, service := range slices.Sorted(maps.Keys(rollouts)) {
		r := rollouts[service]
		if r.State == document.RolloutRunning {
			running++
		}
		label := fmt.Sprintf("{service=%q}", service)
		set.NewGauge("chicorylever_control_rollout_share"+label, func() float64 { return float64(r.SharePermille) / 1000 })
		progress, _ := c.documentMachine.RolloutProgress(service)
		target, other := totalCounts(r, &progress)
		writeResponses(set, service, "target", target)
		writeResponses(set, service, "other", other)
	}
	set.NewGauge("chicorylever_control_rollouts_running", func() float64 { return float64(running) })
	set.WritePrometheus(w)
}

func writeResponses(set *metrics.Set, service, version string, counts document.RolloutCounts) {
	counter := func(outcome string, value uint64) {
		name := fmt.Sprintf("chicorylever_control_rollout_responses_total{service=%q,version=%q,outcome=%q}", service, version, outcome)
		set.NewCounter(name).Set(value)
	}
	counter("succeeded", counts.Succeeded)
	counter("failed", counts.Failed)
}
