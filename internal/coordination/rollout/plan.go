package rollout

import "github.com/chicorylever/chicorylever/internal/state/document"

// Durations are in milliseconds, shares in thousandths.
const (
	// MinResponses is the number of responses of each version without which no step is
	// taken, as required by docs/requirements.md, section 1.2 ("Plan").
	MinResponses = 20
	// firstShare and secondShare are the shares of the steps before the last one.
	firstShare, secondShare = 300, 600
	// minPromotedLeadMs is how long before the deadline the last step is due. It covers the
	// distribution of the step, inForceMs and the commit of the completion. Longer rollouts have
	// exposure left for up to maxPromotedLeadMs, in which evidence of the full share arrives.
	minPromotedLeadMs, maxPromotedLeadMs = 1500, 3000
	// latestStepLeadMs is how long before the deadline the last step may be taken and still
	// be completed by it.
	latestStepLeadMs = 1400
	// minStepMs and maxStepMs bound the time between two steps, which is stepPart of the
	// duration. A node reports evidence every 500 ms, so that a longer step shows its effect
	// before the next one.
	minStepMs, maxStepMs, stepPart = 250, 2000, 75
	// ampleResponses is the number of responses of the target version from which on the
	// smaller canary share is enough.
	ampleResponses = 150
	// wantedResponses is the number of responses of the target version that the canary share
	// aims at; it exceeds MinResponses by the variance of the draws.
	wantedResponses = 30
	// maxCanaryShare bounds the canary share of a service with few requests.
	maxCanaryShare = 500
	// evidenceDelayMs is the time from a response to its evidence in the log: a heartbeat
	// interval of 500 ms and the commit.
	evidenceDelayMs = 700
)

// PlanInput is what a step of a running rollout depends on.
type PlanInput struct {
	DurationMs, ElapsedMs int64
	Terms                 document.RolloutTerms
	Current               Step
	// StepMs is the elapsed time of the last step.
	StepMs int64
	// TargetReady is set if the target version has a warm instance, OtherGone if the other
	// versions have none.
	TargetReady, OtherGone bool
	// TargetResponses and OtherResponses count the responses since the start.
	TargetResponses, OtherResponses uint64
}

// Step is the phase and the share of a running rollout.
type Step struct {
	Phase         document.RolloutPhase
	SharePermille int
}

// Plan returns the step of a running rollout whose evidence does not speak against the
// target version. Shares rise late, so that a version that turns bad during the promotion
// stays within its exposure. After the deadline, the promotion begins as soon as there is
// enough evidence.
func Plan(in PlanInput) Step {
	if !in.TargetReady {
		return Step{Phase: document.RolloutCanary}
	}
	if in.Current.Phase != document.RolloutPromoting && (!in.enoughEvidence() || in.ElapsedMs < in.firstStepMs()) {
		return Step{document.RolloutCanary, in.canaryShare()}
	}
	return Step{document.RolloutPromoting, in.promotionShare()}
}

func (in *PlanInput) enoughEvidence() bool {
	return in.TargetResponses >= MinResponses && (in.OtherResponses >= MinResponses || in.OtherGone)
}

// stepMs returns the time between two steps.
func (in *PlanInput) stepMs() int64 { return min(max(in.DurationMs/stepPart, minStepMs), maxStepMs) }

// lastStepMs returns the elapsed time at which the last step is due.
func (in *PlanInput) lastStepMs() int64 {
	const usualDurationMs, part = 30_000, 60
	lead := minPromotedLeadMs + max(0, in.DurationMs-usualDurationMs)/part
	return in.DurationMs - min(lead, maxPromotedLeadMs)
}

// firstStepMs returns the elapsed time at which the promotion begins.
func (in *PlanInput) firstStepMs() int64 { return max(0, in.lastStepMs()-2*in.stepMs()) }

// promotionShare returns the share that is due. The steps follow the time left to the deadline;
// once it cannot be kept, one step follows the other at the usual distance.
func (in *PlanInput) promotionShare() int {
	current := 0
	if in.Current.Phase == document.RolloutPromoting {
		current = in.Current.SharePermille
	}
	if in.ElapsedMs > in.DurationMs-latestStepLeadMs {
		return in.pacedShare(current)
	}
	due := firstShare
	if in.ElapsedMs >= in.lastStepMs() {
		due = FullShare
	} else if in.ElapsedMs >= in.lastStepMs()-in.stepMs() {
		due = secondShare
	}
	return max(current, due)
}

// pacedShare returns the share after current, or current if that is too recent.
func (in *PlanInput) pacedShare(current int) int {
	switch {
	case current < firstShare:
		return firstShare
	case in.ElapsedMs-in.StepMs < in.stepMs():
		return current
	case current < secondShare:
		return secondShare
	default:
		return FullShare
	}
}

// canaryShare returns the share before the promotion: 0.6 of the exposure, 0.45 of it once the
// version has served ampleResponses, which leaves more of the exposure for the promotion. For a
// service with few requests it is higher, so that the evidence is enough at the deadline; the
// additional requests are covered by the slack.
func (in *PlanInput) canaryShare() int {
	usual := in.Terms.SharePermille * 6 / 10
	if in.TargetResponses >= ampleResponses {
		return usual * 3 / 4
	}
	current := in.Current.SharePermille
	wanted := max(usual, min(in.shareForEvidence(), maxCanaryShare))
	if current >= usual && wanted < 2*current && current < 2*wanted {
		return current // a small correction is not worth a revision
	}
	return wanted
}

// shareForEvidence returns the share that brings the wanted responses before the promotion
// begins, at the rate of requests since the start; 0 while the rate is unknown.
func (in *PlanInput) shareForEvidence() int {
	wanted := min(wantedResponses, int64(in.Terms.Slack)*6/10)
	missing := wanted - int64(in.TargetResponses) //nolint:gosec // below ampleResponses
	end := in.firstStepMs()
	if in.ElapsedMs > end {
		end = 2 * in.DurationMs
	}
	left := end - in.ElapsedMs - evidenceDelayMs
	responses := int64(min(in.TargetResponses+in.OtherResponses, 1<<40)) //nolint:gosec // bounded
	if in.OtherResponses < MinResponses || missing <= 0 || in.ElapsedMs <= 0 {
		return 0
	}
	if left <= 0 {
		return maxCanaryShare
	}
	expected := responses * min(left, 1<<20) / in.ElapsedMs
	if expected <= missing {
		return maxCanaryShare
	}
	return int(missing*FullShare/expected) + in.Terms.SharePermille*2/10
}
