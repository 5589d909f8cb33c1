// Package rollout decides how the requests of a service move to another software version.
//
// Control members run Advance as part of the replicated state machine: Judge compares the
// evidence of both versions, Plan raises the share of the target version. Everything here is
// deterministic and has neither clock nor network.
package rollout

import (
	"fmt"

	"github.com/chicorylever/chicorylever/internal/state/document"
)

const (
	// holdMs is the time in milliseconds for which the share stays 0 after evidence against
	// the target version, before the verdict. The evidence of all nodes about the same
	// period has arrived by then.
	holdMs = 1000
	// inForceMs is the time in milliseconds for which the full share must be in force at all
	// nodes before the completion, so that requests of the other versions have ended.
	inForceMs = 1000
	// lastCallMs is the time in milliseconds before the deadline at which a rollout is
	// completed although a minority of the nodes has not acknowledged the full share. The
	// lease of a node out of contact would outlast the deadline.
	lastCallMs = 250
	// acknowledgeMs is the time in milliseconds that the distribution of a step and its
	// acknowledgement usually take.
	acknowledgeMs = 200
	// overtimeMs is the time in milliseconds after the extension at which a promotion that
	// was not completed is rolled back.
	overtimeMs = 10_000
)

var _ document.RolloutPolicy = Advance

// Advance returns a running rollout and its progress after new evidence, facts or elapsed time.
func Advance(r document.Rollout, p document.RolloutProgress) (document.Rollout, document.RolloutProgress) {
	if r.State != document.RolloutRunning {
		return r, p
	}
	sums := newSums(&r, &p)
	p.Marks = sums.updatedMarks(&p)
	reason := ""
	if exposed(&p) {
		strictness := Suspicion
		if p.SuspectMs > 0 {
			strictness = Confirmation
		}
		reason = Judge(sums.series(&p), strictness)
	}
	next := decide(r, &p, sums, reason)
	if next.SharePermille != r.SharePermille {
		p.InForceMs = 0
	}
	switch {
	case next.State != document.RolloutRunning:
		p.Marks, p.Totals = nil, sums.totals(r.TargetVersion)
	case !exposed(&p) && next.SharePermille > 0:
		p.Marks = sums.firstMarks(p.ElapsedMs)
	}
	return next, p
}

// decide returns the rollout after the verdict of the judge, which is empty if nothing speaks
// against the target version.
func decide(r document.Rollout, p *document.RolloutProgress, sums *sums, reason string) document.Rollout {
	switch {
	case p.SuspectMs > 0 && p.ElapsedMs-p.SuspectMs < holdMs:
		return withStep(r, Step{Phase: document.RolloutCanary})
	case p.SuspectMs > 0 && reason != "":
		return ended(r, document.RolloutRolledBack, reason)
	case reason != "":
		p.SuspectMs = max(1, p.ElapsedMs)
		return withStep(r, Step{Phase: document.RolloutCanary})
	}
	p.SuspectMs = 0
	recordInForce(&r, p)
	if mayComplete(&r, p) {
		return ended(r, document.RolloutCompleted, completionReason(p, sums))
	}
	if reason := overdue(&r, p, sums); reason != "" {
		return ended(r, document.RolloutRolledBack, reason)
	}
	return withStep(r, Plan(planInput(&r, p, sums)))
}

func withStep(r document.Rollout, step Step) document.Rollout {
	r.Phase, r.SharePermille = step.Phase, step.SharePermille
	return r
}

func ended(r document.Rollout, state document.RolloutState, reason string) document.Rollout {
	r.State, r.Phase, r.Reason = state, "", reason
	r.SharePermille = 0
	if state == document.RolloutCompleted {
		r.SharePermille = FullShare
	}
	return r
}

// recordInForce records when all nodes have the last step in force.
func recordInForce(r *document.Rollout, p *document.RolloutProgress) {
	known := p.Facts.StepRevision == p.StepRevision && p.Facts.Nodes > 0
	if r.SharePermille == FullShare && known && p.Facts.Lagging == 0 && p.InForceMs == 0 {
		p.InForceMs = max(1, p.ElapsedMs)
	}
}

// mayComplete reports whether the rollout can be completed: the full share has been in force
// everywhere for inForceMs, or the deadline comes and it is in force at most nodes.
func mayComplete(r *document.Rollout, p *document.RolloutProgress) bool {
	if r.Phase != document.RolloutPromoting || r.SharePermille != FullShare || p.Facts.TargetInstances == 0 {
		return false
	}
	if p.InForceMs > 0 && p.ElapsedMs-p.InForceMs >= inForceMs {
		return true
	}
	known := p.Facts.StepRevision == p.StepRevision && p.Facts.Nodes > 0
	return known && 2*p.Facts.Lagging < p.Facts.Nodes &&
		p.ElapsedMs >= r.DurationMs-lastCallMs && p.ElapsedMs-p.StepMs >= inForceMs+acknowledgeMs
}

// overdue returns why a rollout is rolled back whose extension has ended, or "".
func overdue(r *document.Rollout, p *document.RolloutProgress, sums *sums) string {
	if p.ElapsedMs/2 < r.DurationMs {
		return ""
	}
	promoting := r.Phase == document.RolloutPromoting
	if promoting && p.ElapsedMs-overtimeMs < 2*r.DurationMs {
		return ""
	}
	if promoting {
		return fmt.Sprintf("not completed in time: %d of %d nodes lack the full share", p.Facts.Lagging, p.Facts.Nodes)
	}
	return fmt.Sprintf("too little evidence: %d responses of the target version with %d warm instances, %d of the other versions",
		sums.all.target.counts.Responses(), p.Facts.TargetInstances, sums.all.other.counts.Responses())
}

func completionReason(p *document.RolloutProgress, sums *sums) string {
	return fmt.Sprintf("nothing against the target version in %d responses, %d of them failed; %d of %d nodes lag",
		sums.all.target.counts.Responses(), sums.all.target.counts.Failed, p.Facts.Lagging, p.Facts.Nodes)
}

func planInput(r *document.Rollout, p *document.RolloutProgress, sums *sums) PlanInput {
	return PlanInput{
		DurationMs:      r.DurationMs,
		ElapsedMs:       p.ElapsedMs,
		Terms:           p.Terms,
		Current:         Step{r.Phase, r.SharePermille},
		StepMs:          p.StepMs,
		TargetReady:     p.Facts.TargetInstances > 0,
		OtherGone:       p.Facts.OtherInstances == 0,
		TargetResponses: sums.all.target.counts.Responses(),
		OtherResponses:  sums.all.other.counts.Responses(),
	}
}
