package control

import (
	"maps"
	"slices"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

// observe keeps the evidence of a heartbeat for the running rollouts. It does not block.
func (d *rolloutDriver) observe(heartbeat *wire.Heartbeat) {
	if len(heartbeat.GetEvidence()) == 0 {
		return
	}
	rollouts := d.machine.View().Document.Rollouts
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, entry := range heartbeat.GetEvidence() {
		r, ok := rollouts[entry.GetService()]
		if !ok || r.State != document.RolloutRunning || r.StartedRevision != entry.GetRollout() {
			continue
		}
		d.evidenceOf(entry.GetService(), r.StartedRevision).add(heartbeat, entry)
	}
}

// evidenceOf returns the evidence for a rollout. That for an earlier one is dropped.
func (d *rolloutDriver) evidenceOf(service string, startedRevision uint64) *rolloutEvidence {
	evidence := d.evidence[service]
	if evidence == nil || evidence.startedRevision != startedRevision {
		evidence = &rolloutEvidence{
			startedRevision: startedRevision,
			pending:         map[evidenceSource]document.RolloutCounts{},
			sent:            map[evidenceSource]document.RolloutCounts{},
		}
		d.evidence[service] = evidence
	}
	return evidence
}

// add keeps the totals of a source if they are higher than the last ones.
func (e *rolloutEvidence) add(heartbeat *wire.Heartbeat, entry *wire.VersionEvidence) {
	source := evidenceSource{heartbeat.GetNodeId(), heartbeat.GetNodeStart(), entry.GetSoftwareVersion(), entry.GetRoute()}
	counts := document.RolloutCounts{Succeeded: entry.GetSucceeded(), Failed: entry.GetFailed(), Latency: slices.Clone(entry.GetLatencyCounts())}
	known, isPending := e.pending[source]
	if !isPending {
		known, isPending = e.sent[source]
	}
	if counts.Responses() <= known.Responses() || !isPending && len(e.pending)+len(e.sent) >= maxEvidenceSources {
		return
	}
	delete(e.sent, source)
	e.pending[source] = counts
}

// pendingEvidence returns evidence that no accepted proposal holds, sorted by source.
func (d *rolloutDriver) pendingEvidence(service string, startedRevision uint64) []document.RolloutEvidence {
	d.mu.Lock()
	defer d.mu.Unlock()
	held := d.evidenceOf(service, startedRevision)
	sources := slices.SortedFunc(maps.Keys(held.pending), compareSources)
	if len(sources) > maxEvidenceEntries {
		sources = sources[:maxEvidenceEntries]
	}
	evidence := make([]document.RolloutEvidence, 0, len(sources))
	for _, source := range sources {
		evidence = append(evidence, document.RolloutEvidence{
			NodeID: source.node, NodeStart: source.start, Version: source.version, Route: source.route, RolloutCounts: held.pending[source],
		})
	}
	return evidence
}

func compareSources(a, b evidenceSource) int {
	return document.CompareEvidence(a.evidence(), b.evidence())
}

func (s evidenceSource) evidence() document.RolloutEvidence {
	return document.RolloutEvidence{NodeID: s.node, NodeStart: s.start, Version: s.version, Route: s.route}
}

// markSent records that the log holds the evidence of an advance.
func (d *rolloutDriver) markSent(advance document.RolloutAdvance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	held := d.evidence[advance.Service]
	if held == nil || held.startedRevision != advance.StartedRevision {
		return
	}
	for _, entry := range advance.Evidence {
		source := evidenceSource{entry.NodeID, entry.NodeStart, entry.Version, entry.Route}
		if pending := held.pending[source]; pending.Responses() == entry.Responses() {
			delete(held.pending, source)
			held.sent[source] = entry.RolloutCounts
		}
	}
}

func (d *rolloutDriver) dropEvidence(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.evidence, service)
}
