package document

import (
	"maps"
	"slices"
	"strings"
)

// RolloutTerms are the limits of a rollout. The start request carries them, so that all
// members decide by the same ones.
type RolloutTerms struct {
	// SharePermille is the largest part, in thousandths, of the requests between start and
	// deadline that a bad target version may get.
	SharePermille int `json:"share_permille"`
	// Slack is the number of requests that the target version may get in addition.
	Slack int `json:"slack"`
}

// RolloutCounts are the responses of instances of one version.
type RolloutCounts struct {
	Succeeded uint64 `json:"ok,omitempty"`
	Failed    uint64 `json:"failed,omitempty"`
	// Latency is a histogram of the response times of successes. Bucket i counts times
	// below 2^i milliseconds that no lower bucket counts.
	Latency []uint64 `json:"latency,omitempty"`
}

// Responses returns the number of responses.
func (c *RolloutCounts) Responses() uint64 { return c.Succeeded + c.Failed }

// Add adds the counts of other in place, so that c must not share its histogram.
func (c *RolloutCounts) Add(other *RolloutCounts) {
	c.Succeeded += other.Succeeded
	c.Failed += other.Failed
	if missing := len(other.Latency) - len(c.Latency); missing > 0 {
		c.Latency = append(c.Latency, make([]uint64, missing)...)
	}
	for i, count := range other.Latency {
		c.Latency[i] += count
	}
}

// Since returns the counts less those of an earlier time.
func (c *RolloutCounts) Since(earlier *RolloutCounts) RolloutCounts {
	return RolloutCounts{
		Succeeded: saturatingSub(c.Succeeded, earlier.Succeeded),
		Failed:    saturatingSub(c.Failed, earlier.Failed),
		Latency:   combineBuckets(c.Latency, earlier.Latency, saturatingSub),
	}
}

// merged returns the higher of each count.
func (c *RolloutCounts) merged(other *RolloutCounts) RolloutCounts {
	return RolloutCounts{
		Succeeded: max(c.Succeeded, other.Succeeded),
		Failed:    max(c.Failed, other.Failed),
		Latency:   combineBuckets(c.Latency, other.Latency, func(a, b uint64) uint64 { return max(a, b) }),
	}
}

func saturatingSub(a, b uint64) uint64 { return a - min(a, b) }

// combineBuckets returns a new histogram with combine applied to each pair of buckets.
func combineBuckets(a, b []uint64, combine func(a, b uint64) uint64) []uint64 {
	if len(a) == 0 && len(b) == 0 {
		return nil
	}
	combined := make([]uint64, max(len(a), len(b)))
	copy(combined, a)
	for i := range combined {
		var other uint64
		if i < len(b) {
			other = b[i]
		}
		combined[i] = combine(combined[i], other)
	}
	return combined
}

// RolloutEvidence holds the responses of the upstream beside one node to the requests of
// one route. The counts are totals since the node learned of the rollout.
type RolloutEvidence struct {
	NodeID    string `json:"node"`
	NodeStart uint64 `json:"start"`
	Version   string `json:"version,omitempty"`
	Route     string `json:"route,omitempty"`
	RolloutCounts
}

// CompareEvidence orders evidence by the source of its counts.
func CompareEvidence(a, b RolloutEvidence) int {
	if order := strings.Compare(a.NodeID, b.NodeID); order != 0 {
		return order
	}
	if a.NodeStart != b.NodeStart {
		if a.NodeStart < b.NodeStart {
			return -1
		}
		return 1
	}
	if order := strings.Compare(a.Version, b.Version); order != 0 {
		return order
	}
	return strings.Compare(a.Route, b.Route)
}

// RolloutFacts are what the leader knows of the nodes at the time of an advance.
type RolloutFacts struct {
	// TargetInstances and OtherInstances count the warm instances by version.
	TargetInstances int `json:"target_instances"`
	OtherInstances  int `json:"other_instances"`
	// Nodes counts the nodes with a lease, Lagging those of them that don't have
	// StepRevision or a later revision in force.
	Nodes        int    `json:"nodes"`
	Lagging      int    `json:"lagging"`
	StepRevision uint64 `json:"step_revision"`
}

// RolloutMark holds the counts of both versions at an earlier time.
type RolloutMark struct {
	// AtMs is the elapsed time.
	AtMs   int64         `json:"at_ms"`
	Target RolloutCounts `json:"target"`
	Other  RolloutCounts `json:"other"`
}

// RolloutProgress is the state of a rollout that only the control members need. It is
// replicated, but neither part of the document nor distributed to nodes. It must not be
// modified once the machine has returned it.
type RolloutProgress struct {
	Terms RolloutTerms `json:"terms"`
	// ElapsedMs is the time since the start in milliseconds, by the members' clocks.
	ElapsedMs int64 `json:"elapsed_ms"`
	// Totals holds the evidence, sorted by node, start, version and route.
	Totals []RolloutEvidence `json:"totals,omitempty"`
	Facts  RolloutFacts      `json:"facts"`
	// StepRevision and StepMs are the revision and the elapsed time of the last change that
	// was distributed to the nodes.
	StepRevision uint64 `json:"step_revision"`
	StepMs       int64  `json:"step_ms"`
	// InForceMs is the elapsed time at which StepRevision was known to be in force at all
	// nodes, 0 before.
	InForceMs int64 `json:"in_force_ms,omitempty"`
	// SuspectMs is the elapsed time at which the evidence first spoke against the target
	// version, 0 if it does not.
	SuspectMs int64 `json:"suspect_ms,omitempty"`
	// Marks holds earlier counts by route, oldest first.
	Marks map[string][]RolloutMark `json:"marks,omitempty"`
}

// RolloutPolicy returns the rollout and its progress after an advance. It must be
// deterministic and leave its arguments unmodified. The machine never lets a rollout that
// has ended change its state, and sets StepRevision and StepMs itself.
type RolloutPolicy func(rollout Rollout, progress RolloutProgress) (Rollout, RolloutProgress)

// maxRolloutEvidence bounds the entries of RolloutProgress.Totals. It covers 100 nodes with
// 320 routes each in both versions; further sources are ignored.
const maxRolloutEvidence = 65536

// WithEvidence returns the progress with the evidence merged: for each source the highest
// counts win, so that neither a resend nor a delayed message counts twice.
func (p RolloutProgress) WithEvidence(evidence []RolloutEvidence) RolloutProgress {
	if len(evidence) == 0 {
		return p
	}
	p.Totals = slices.Clone(p.Totals)
	for _, next := range evidence {
		i, found := slices.BinarySearchFunc(p.Totals, next, CompareEvidence)
		switch {
		case found:
			p.Totals[i].RolloutCounts = p.Totals[i].merged(&next.RolloutCounts)
		case len(p.Totals) < maxRolloutEvidence:
			p.Totals = slices.Insert(p.Totals, i, next)
		}
	}
	return p
}

// Sum returns the counts of both versions over all nodes, by route.
func (p *RolloutProgress) Sum(targetVersion string) (target, other map[string]*RolloutCounts) {
	target, other = map[string]*RolloutCounts{}, map[string]*RolloutCounts{}
	for i := range p.Totals {
		byRoute := other
		if p.Totals[i].Version == targetVersion {
			byRoute = target
		}
		counts := byRoute[p.Totals[i].Route]
		if counts == nil {
			counts = &RolloutCounts{}
			byRoute[p.Totals[i].Route] = counts
		}
		counts.Add(&p.Totals[i].RolloutCounts)
	}
	return target, other
}

// RolloutProgress returns the progress of the latest rollout of a service, false without
// one. Any goroutine may call it.
func (m *Machine) RolloutProgress(service string) (RolloutProgress, bool) {
	progress, ok := (*m.progress.Load())[service]
	return progress, ok
}

// setProgress replaces the progress of one rollout.
func (m *Machine) setProgress(service string, progress RolloutProgress) {
	next := maps.Clone(*m.progress.Load())
	next[service] = progress
	m.progress.Store(&next)
}
