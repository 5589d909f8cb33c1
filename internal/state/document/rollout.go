package document

import "time"

// RolloutState is the state of a rollout. It never reverts: a rollout that is not running
// stays as it is until the next start request for the service.
type RolloutState string

const (
	// RolloutRunning means that both versions may be used, as the phase and the share say.
	RolloutRunning RolloutState = "running"
	// RolloutCompleted means that only the target version gets requests.
	RolloutCompleted RolloutState = "completed"
	// RolloutRolledBack means that the target version gets no requests.
	RolloutRolledBack RolloutState = "rolled_back"
)

// RolloutPhase is the part of a running rollout.
type RolloutPhase string

const (
	// RolloutCanary means that the target version gets a small share of the first attempts.
	RolloutCanary RolloutPhase = "canary"
	// RolloutPromoting means that the share of the target version is raised in steps to 1,000.
	RolloutPromoting RolloutPhase = "promoting"
)

// Rollout moves the requests of a service to instances of another software version. Nodes
// act on State, Phase and SharePermille alone. It is changed by the commands of rollouts
// only, not by edits and batches of operators.
type Rollout struct {
	// Owner is the team that sent the start request.
	Owner string `json:"owner"`
	// TargetVersion is the software version that the rollout moves to. An instance that
	// has announced no version counts as old.
	TargetVersion string `json:"target_version"`
	// DurationMs is the time in milliseconds from the start to the deadline.
	DurationMs int64        `json:"duration_ms"`
	State      RolloutState `json:"state"`
	// Phase is empty when the rollout is not running.
	Phase RolloutPhase `json:"phase,omitempty"`
	// SharePermille is the share, in thousandths, of the first attempts that goes to the
	// target version.
	SharePermille int `json:"share_permille"`
	// StartedRevision is the revision of the document that the start request produced. It
	// identifies the rollout among those of the service.
	StartedRevision uint64 `json:"started_revision"`
	// ElapsedMs is the time in milliseconds since the start, as of the last change of the
	// rollout that was distributed to the nodes.
	ElapsedMs int64 `json:"elapsed_ms"`
	// Reason says why the rollout ended, empty while it is running.
	Reason string `json:"reason,omitempty"`
}

// Duration returns DurationMs as a duration.
func (r *Rollout) Duration() time.Duration { return time.Duration(r.DurationMs) * time.Millisecond }
