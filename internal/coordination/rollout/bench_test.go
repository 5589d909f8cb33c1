package rollout

import (
	"fmt"
	"testing"

	"github.com/chicorylever/chicorylever/internal/state/document"
)

// BenchmarkAdvance measures one advance of a service with 47 instances of each version and 140
// routes, all of which have evidence.
func BenchmarkAdvance(b *testing.B) {
	r := document.Rollout{TargetVersion: versionNew, DurationMs: 60_000, State: document.RolloutRunning, Phase: document.RolloutCanary, SharePermille: 60}
	var evidence []document.RolloutEvidence
	for node := range 94 {
		version := versionOld
		if node >= 47 {
			version = versionNew
		}
		for route := range 140 {
			evidence = append(evidence, document.RolloutEvidence{
				NodeID: fmt.Sprintf("node-%03d", node), Version: version, Route: fmt.Sprintf("route-%03d", route),
				RolloutCounts: counts(1, fast(40), slow(4)),
			})
		}
	}
	p := document.RolloutProgress{Terms: document.RolloutTerms{SharePermille: 100, Slack: 50}, ElapsedMs: 9000}
	p.Facts = document.RolloutFacts{TargetInstances: 47, OtherInstances: 47, Nodes: 94}
	r, p = Advance(r, p)
	p = p.WithEvidence(evidence)
	for b.Loop() {
		Advance(r, p)
	}
}
