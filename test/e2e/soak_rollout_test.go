package e2e

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/chicorylever/chicorylever/internal/control/api"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

const (
	// soakTargetNodeCount is the number of further nodes, beside which rollouts start upstreams.
	soakTargetNodeCount = 2
	soakFirstVersion    = "v1"
	// soakRolloutDuration is the time of a rollout from its start to the deadline.
	soakRolloutDuration = 12 * time.Second
	// soakRolloutTimeout bounds a rollout that is extended once.
	soakRolloutTimeout = 2*soakRolloutDuration + 20*time.Second
	// versionGrace is the time after the end of a rollout in which requests that callers send may
	// still reach an excluded version: rollback_ms of docs/requirements.md, section 1.1.
	versionGrace = 5 * time.Second
	// exposureShare and exposureSlack bound the requests to a bad version by those to all versions
	// (docs/requirements.md, section 1.1).
	exposureShare, exposureSlack = 0.1, 50
)

// soakVersions checks which versions get requests. It is safe for concurrent use.
type soakVersions struct {
	mu sync.Mutex
	// target is the version of the latest rollout.
	target string
	// total and toTarget count the requests since the start of the rollout.
	total, toTarget int
	// endedAt is when a control member reported the end of the rollout, zero before.
	endedAt     time.Time
	isCompleted bool
	// late counts the requests to the excluded version after the end, whatever the grace; latest
	// is the time from the end to the last one.
	late   int
	latest time.Duration
}

func (v *soakVersions) begin(target string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.target, v.total, v.toTarget, v.endedAt = target, 0, 0, time.Time{}
	v.late, v.latest = 0, 0
}

// end records the end of the rollout and returns the counts.
func (v *soakVersions) end(isCompleted bool) (total, toTarget int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.endedAt, v.isCompleted = time.Now(), isCompleted
	return v.total, v.toTarget
}

// checkArrival checks a request that reaches an upstream of the version.
func (v *soakVersions) checkArrival(u *soakUpstream, version string, r *http.Request) {
	v.mu.Lock()
	defer v.mu.Unlock()
	isTarget := version == v.target
	v.total++
	if isTarget {
		v.toTarget++
	}
	sentAtNs, _ := strconv.ParseInt(r.URL.Query().Get("sent_ns"), 10, 64)
	late := time.Unix(0, sentAtNs).Sub(v.endedAt)
	if v.endedAt.IsZero() || isTarget == v.isCompleted {
		return
	}
	v.late, v.latest = v.late+1, time.Since(v.endedAt)
	if late > versionGrace {
		u.recorder.addProblem("request %s was sent %v after the end of the rollout to %s and reached %s of version %s", r.URL.Path, late, v.target, u.instance, version)
	}
}

// runRollouts rolls out a bad version and then a good one.
func (s *soak) runRollouts() {
	if s.runRollout("v2", true) == document.RolloutCompleted {
		s.recorder.addProblem("a bad version was completed")
	}
	state := s.runRollout("v3", false)
	s.t.Logf("rollout of the good version ended as %s", state)
}

// runRollout starts a rollout and the instances of its version, waits for its end and stops the
// instances of the version that lost: at once after a completion, and some seconds later after a
// rollback.
func (s *soak) runRollout(version string, isBad bool) document.RolloutState {
	s.versions.begin(version)
	if err := s.startRollout(version); err != nil {
		s.recorder.addProblem("rollout to %s: %v", version, err)
		return ""
	}
	for _, id := range s.targetIDs {
		s.upstreams[id].runVersion(version, isBad)
	}
	rollout, err := s.waitRollout()
	if err != nil {
		s.recorder.addProblem("rollout to %s: %v", version, err)
	}
	isCompleted := rollout.State == document.RolloutCompleted
	total, toTarget := s.versions.end(isCompleted)
	s.t.Logf("rollout to %s: %s after %d ms: %q; %d of %d requests reached it", version, rollout.State, rollout.ElapsedMs, rollout.Reason, toTarget, total)
	if isBad && float64(toTarget) > exposureShare*float64(total)+exposureSlack {
		s.recorder.addProblem("%d of %d requests reached the bad version", toTarget, total)
	}
	if isCompleted {
		s.stopUpstreams(soakFirstVersion)
	}
	time.Sleep(versionGrace + 2*time.Second) // requests after the grace are problems
	if !isCompleted {
		s.stopUpstreams(version)
	}
	s.versions.mu.Lock()
	defer s.versions.mu.Unlock()
	s.t.Logf("%d requests reached the excluded version after the end, the last one %v after it", s.versions.late, s.versions.latest)
	return rollout.State
}

// startRollout sends the start request to the members in turn until one accepts or rejects it.
func (s *soak) startRollout(version string) error {
	body := fmt.Sprintf(`{"service": "drafts", "target_version": %q, "duration_ms": %d}`, version, soakRolloutDuration.Milliseconds())
	for attempt := range 400 {
		status, err := s.apiRequest(attempt%len(s.memberSettings), http.MethodPost, "/v1/rollouts", body, nil, &api.EditBody{})
		switch status {
		case http.StatusOK:
			return nil
		case http.StatusServiceUnavailable, http.StatusGatewayTimeout, 0:
			time.Sleep(50 * time.Millisecond)
		default:
			return fmt.Errorf("start request: status %d: %w", status, err)
		}
	}
	return fmt.Errorf("no member accepted the start request")
}

// waitRollout returns the rollout once it has ended.
func (s *soak) waitRollout() (api.Rollout, error) {
	deadline := time.Now().Add(soakRolloutTimeout)
	for attempt := 0; time.Now().Before(deadline); attempt++ {
		var rollout api.Rollout
		status, _ := s.apiRequest(attempt%len(s.memberSettings), http.MethodGet, "/v1/rollouts/drafts", "", nil, &rollout)
		if status == http.StatusOK && rollout.State != document.RolloutRunning {
			return rollout, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return api.Rollout{}, fmt.Errorf("not ended after %v", soakRolloutTimeout)
}

// stopUpstreams stops all upstreams of the version for good, without a departure.
func (s *soak) stopUpstreams(version string) {
	for _, upstream := range s.upstreams {
		upstream.mu.Lock()
		isStopped := upstream.version == version
		if isStopped {
			upstream.version = ""
		}
		upstream.mu.Unlock()
		if isStopped {
			upstream.crash()
		}
	}
}

// runVersion starts the upstream with a software version.
func (u *soakUpstream) runVersion(version string, isBad bool) {
	u.mu.Lock()
	u.version, u.isBad = version, isBad
	u.mu.Unlock()
	u.start()
}
