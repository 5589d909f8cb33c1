package api

import (
	"context"
	"io"
	"maps"
	"net/http"
	"slices"

	"github.com/go-kit/log/level"
	"github.com/gorilla/mux"

	"github.com/chicorylever/chicorylever/internal/protocol/strictjson"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

// maxRolloutBodyBytes bounds the size of the body of a start request.
const maxRolloutBodyBytes = 4096

// RolloutStartBody is the body of POST /v1/rollouts.
type RolloutStartBody struct {
	Service       string `json:"service"`
	TargetVersion string `json:"target_version"`
	DurationMs    int64  `json:"duration_ms"`
}

// Rollout is a rollout with what the control members know of it. ElapsedMs is the current
// elapsed time while the rollout is running.
type Rollout struct {
	Service string `json:"service"`
	document.Rollout
	// Target and Other are the responses of the target version and of all others that the
	// nodes have counted.
	Target VersionResponses `json:"target"`
	Other  VersionResponses `json:"other"`
	// Suspect is set while the share is 0 because the evidence speaks against the target
	// version and the verdict is pending.
	Suspect bool `json:"suspect,omitempty"`
}

// VersionResponses are the responses of instances by version.
type VersionResponses struct {
	// WarmInstances is the number of warm instances that the leader last saw.
	WarmInstances int    `json:"warm_instances"`
	Responses     uint64 `json:"responses"`
	Failed        uint64 `json:"failed"`
}

// RolloutsBody is the response to GET /v1/rollouts, sorted by service.
type RolloutsBody struct {
	Rollouts []Rollout `json:"rollouts"`
}

// readRollout returns the latest rollout of a service, false without one.
func readRollout(documents Documents, view *document.View, service string) (Rollout, bool) {
	r, ok := view.Document.Rollouts[service]
	if !ok {
		return Rollout{}, false
	}
	read := Rollout{Service: service, Rollout: r}
	progress, _ := documents.RolloutProgress(service)
	read.ElapsedMs = max(r.ElapsedMs, progress.ElapsedMs)
	read.Suspect = progress.SuspectMs > 0 && r.State == document.RolloutRunning
	target, other := progress.Sum(r.TargetVersion)
	read.Target = sumResponses(target, progress.Facts.TargetInstances)
	read.Other = sumResponses(other, progress.Facts.OtherInstances)
	return read, true
}

func sumResponses(byRoute map[string]*document.RolloutCounts, warmInstances int) VersionResponses {
	sum := VersionResponses{WarmInstances: warmInstances}
	for _, counts := range byRoute {
		sum.Responses += counts.Responses()
		sum.Failed += counts.Failed
	}
	return sum
}

func readRollouts(documents Documents, view *document.View) []Rollout {
	rollouts := []Rollout{}
	for _, service := range slices.Sorted(maps.Keys(view.Document.Rollouts)) {
		r, _ := readRollout(documents, view, service)
		rollouts = append(rollouts, r)
	}
	return rollouts
}

func (a *api) startRollout(w http.ResponseWriter, r *http.Request, c caller) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRolloutBodyBytes))
	var start RolloutStartBody
	if err == nil {
		err = strictjson.UnmarshalKnown(data, &start)
	}
	if err != nil {
		writeBadRequest(w, `the body must be {"service": NAME, "target_version": VERSION, "duration_ms": NUMBER}`)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), proposalTimeout)
	defer cancel()
	result, err := a.operations.StartRollout(ctx, c.team, start.Service, start.TargetVersion, start.DurationMs)
	_ = level.Info(a.Logger).Log("msg", "rollout start request", "team", c.team, "service", start.Service, "target_version", start.TargetVersion,
		"duration_ms", start.DurationMs, "outcome", string(result.Outcome), "revision", result.Revision, "problem", result.Problem, "err", err)
	if err != nil {
		writeReplicationError(w, err, true)
		return
	}
	writeResult(w, result, false)
}

func (a *api) listRollouts(w http.ResponseWriter, r *http.Request, _ caller) {
	if view, ok := a.viewForRead(w, r); ok {
		writeJSON(w, http.StatusOK, RolloutsBody{Rollouts: readRollouts(a.Documents, view)})
	}
}

func (a *api) getRollout(w http.ResponseWriter, r *http.Request, _ caller) {
	view, ok := a.viewForRead(w, r)
	if !ok {
		return
	}
	rollout, found := readRollout(a.Documents, view, mux.Vars(r)["service"])
	if !found {
		writeError(w, http.StatusNotFound, ErrorBody{Error: "the service has no rollout", Reason: ReasonNotFound})
		return
	}
	writeJSON(w, http.StatusOK, rollout)
}
