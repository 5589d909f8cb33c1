package document

import (
	"encoding/json"
	"maps"
	"strconv"

	"github.com/pkg/errors"
)

const (
	// MaxRolloutDurationMs bounds the duration of a rollout; each smaller number is exact as
	// a float64.
	MaxRolloutDurationMs = 1 << 53
	// MaxVersionBytes bounds the length of a software version.
	MaxVersionBytes = 256
)

// RolloutStart is a start request.
type RolloutStart struct {
	// Team is the team that sends the request: an admin team or the owner of the service.
	Team          string       `json:"team"`
	Service       string       `json:"service"`
	TargetVersion string       `json:"target_version"`
	DurationMs    int64        `json:"duration_ms"`
	Terms         RolloutTerms `json:"terms"`
	// AtMs is the time of the proposal as Unix time in milliseconds.
	AtMs int64 `json:"at_ms"`
}

// RolloutAdvance reports evidence for the running rollout of a service. A member that does
// not lead sets neither ElapsedMs nor Facts.
type RolloutAdvance struct {
	Service         string            `json:"service"`
	StartedRevision uint64            `json:"started_revision"`
	ElapsedMs       int64             `json:"elapsed_ms,omitempty"`
	Evidence        []RolloutEvidence `json:"evidence,omitempty"`
	Facts           *RolloutFacts     `json:"facts,omitempty"`
}

// EncodeRolloutStart returns the command that starts a rollout. Its outcome is Accepted also
// for a repeat of the latest start request of the service, Conflict while another rollout
// of the service is running, Invalid or Forbidden.
func EncodeRolloutStart(start RolloutStart) ([]byte, error) {
	data, err := json.Marshal(command{RolloutStart: &start})
	return data, errors.Wrap(err, "encode rollout start command")
}

// EncodeRolloutAdvance returns the command that advances a rollout. Its outcome is Accepted,
// or Conflict if the rollout is not running any more.
func EncodeRolloutAdvance(advance RolloutAdvance) ([]byte, error) {
	data, err := json.Marshal(command{RolloutAdvance: &advance})
	return data, errors.Wrap(err, "encode rollout advance command")
}

// SetRolloutPolicy sets the policy that decides on advances; without one they only merge
// evidence. All members must have the same policy. It must be called before Apply.
func (m *Machine) SetRolloutPolicy(policy RolloutPolicy) { m.rolloutPolicy = policy }

func rolloutPath(service string) sectionPath { return sectionPath{kindRollouts, service} }

// repeats reports whether the request repeats the one that started the rollout.
func (s *RolloutStart) repeats(r *Rollout) bool {
	return s.TargetVersion == r.TargetVersion && s.DurationMs == r.DurationMs
}

// validate returns a *FieldError for the first invalid field.
func (s *RolloutStart) validate(doc *Document) error {
	switch {
	case !doc.hasService(s.Service):
		return &FieldError{"service", "no service named " + strconv.Quote(s.Service)}
	case s.TargetVersion == "":
		return &FieldError{"target_version", "must not be empty"}
	case len(s.TargetVersion) > MaxVersionBytes:
		return &FieldError{"target_version", "must have at most " + strconv.Itoa(MaxVersionBytes) + " bytes"}
	case s.DurationMs < 1 || s.DurationMs > MaxRolloutDurationMs:
		return &FieldError{"duration_ms", "must be between 1 and " + strconv.Itoa(MaxRolloutDurationMs)}
	}
	return nil
}

func (m *Machine) applyRolloutStart(start RolloutStart) Result {
	view := m.View()
	team, ok := view.Document.Teams[start.Team]
	if !ok {
		return view.rejected(Result{Outcome: Forbidden, Problem: "no such team"})
	}
	if err := start.validate(view.Document); err != nil {
		return view.rejected(invalidResult(err))
	}
	if !team.Admin && view.Document.Services[start.Service].Owner != start.Team {
		return view.rejected(Result{Outcome: Forbidden, Problem: "only an admin team or the owner of the service starts a rollout"})
	}
	path := rolloutPath(start.Service)
	current, exists := view.Document.Rollouts[start.Service]
	if exists && start.repeats(&current) {
		return Result{Outcome: Accepted, Revision: view.Revision, Version: view.versions[path.String()]}
	}
	if exists && current.State == RolloutRunning {
		problem := "a rollout of the service to version " + strconv.Quote(current.TargetVersion) + " is running"
		return view.rejected(Result{Outcome: Conflict, Version: view.versions[path.String()], Problem: problem})
	}
	revision := view.Revision + 1
	m.publishRollout(start.Team, start.Service, Rollout{
		Owner: start.Team, TargetVersion: start.TargetVersion, DurationMs: start.DurationMs,
		State: RolloutRunning, Phase: RolloutCanary, StartedRevision: revision,
	}, RolloutProgress{Terms: start.Terms})
	return Result{Outcome: Accepted, Revision: revision, Version: revision}
}

// applyRolloutAdvance merges the evidence and lets the policy decide on it, so that a
// verdict and its record are one entry of the log.
func (m *Machine) applyRolloutAdvance(advance RolloutAdvance) Result {
	view := m.View()
	current, exists := view.Document.Rollouts[advance.Service]
	if !exists || current.State != RolloutRunning || current.StartedRevision != advance.StartedRevision {
		return view.rejected(Result{Outcome: Conflict, Problem: "the rollout is not running"})
	}
	progress, _ := m.RolloutProgress(advance.Service)
	next, progress := m.advancedRollout(current, progress.Advanced(advance))
	if next == current {
		m.setProgress(advance.Service, progress)
		return Result{Outcome: Accepted, Revision: view.Revision}
	}
	next.ElapsedMs = progress.ElapsedMs
	m.publishRollout("", advance.Service, next, progress)
	return Result{Outcome: Accepted, Revision: view.Revision + 1, Version: view.Revision + 1}
}

// advancedRollout returns what the policy decides, with the identity of the rollout unchanged.
func (m *Machine) advancedRollout(current Rollout, progress RolloutProgress) (Rollout, RolloutProgress) {
	if m.rolloutPolicy == nil {
		return current, progress
	}
	decided, progress := m.rolloutPolicy(current, progress)
	next := current
	next.State, next.Phase = decided.State, decided.Phase
	next.SharePermille, next.Reason = decided.SharePermille, decided.Reason
	return next, progress
}

// Advanced returns the progress with what an advance reports. Elapsed time never decreases.
func (p RolloutProgress) Advanced(advance RolloutAdvance) RolloutProgress {
	p = p.WithEvidence(advance.Evidence)
	p.ElapsedMs = max(p.ElapsedMs, advance.ElapsedMs)
	if advance.Facts != nil {
		p.Facts = *advance.Facts
	}
	return p
}

// publishRollout makes a new revision with the rollout. The progress is stored first, so that
// a reader of the new view finds it.
func (m *Machine) publishRollout(team, service string, rollout Rollout, progress RolloutProgress) {
	view := m.View()
	path := rolloutPath(service)
	next := newView()
	next.Revision = view.Revision + 1
	next.Document = view.Document.withSection(path, rollout)
	next.items = view.items
	next.versions = maps.Clone(view.versions)
	next.versions[path.String()] = next.Revision
	change := Change{Revision: next.Revision, AtMs: m.nowMs, Team: team, Section: path.String(), Action: actionCreate}
	if old, existed := view.Document.Rollouts[service]; existed {
		change.Action, change.Fields = actionReplace, changedFields(old, rollout)
	}
	next.history = appendChange(view.history, change)
	progress.StepRevision, progress.StepMs = next.Revision, progress.ElapsedMs
	m.setProgress(service, progress)
	m.publish(next)
}

// withoutOrphanedRollouts removes the rollouts of services that no longer exist, so that a
// service that is created under the name later starts without one.
func (v *View) withoutOrphanedRollouts() {
	for _, name := range sortedKeys(v.Document.Rollouts) {
		if !v.Document.hasService(name) {
			v.Document = v.Document.withSection(rolloutPath(name), nil)
			delete(v.versions, rolloutPath(name).String())
		}
	}
}

// dropProgress removes the progress of rollouts that are not in the document.
func (m *Machine) dropProgress(doc *Document) {
	kept := maps.Clone(*m.progress.Load())
	maps.DeleteFunc(kept, func(service string, _ RolloutProgress) bool {
		_, exists := doc.Rollouts[service]
		return !exists
	})
	m.progress.Store(&kept)
}
