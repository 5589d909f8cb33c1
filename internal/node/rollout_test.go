package node

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

// setRollout distributes a revision with a rollout of the service s to version 2.
func (c *fakeControl) setRollout(t testing.TB, state document.RolloutState, share int) {
	doc := &document.Document{}
	assert.NilError(t, json.Unmarshal([]byte(testDocument), doc))
	doc.Rollouts = map[string]document.Rollout{"s": {TargetVersion: "2", State: state, SharePermille: share, StartedRevision: 2}}
	encoded, err := json.Marshal(doc)
	assert.NilError(t, err)
	c.update(func() { c.document, c.revision = string(encoded), c.revision+1 })
}

// startVersions starts an entry node and nodes with an upstream of version 1 and of version 2.
func startVersions(t *testing.T, handler http.HandlerFunc) (control *fakeControl, entry, other, target *testNode) {
	control = newFakeControl(t)
	control.acknowledges = true
	control.setRollout(t, document.RolloutRunning, 0)
	entry = control.startNode(t, "entry", "a", "")
	other, target = control.startNode(t, "other", "a", ""), control.startNode(t, "target", "a", "")
	other.version, target.version = "1", "2"
	other.serve(t, handler)
	target.serve(t, handler)
	entry.waitForInstances(t, 2)
	eventually(t, func() bool { return entry.subscription.ContactAge(time.Now()) < time.Second })
	return control, entry, other, target
}

func respondOK(http.ResponseWriter, *http.Request) {}

// sendCalls sends requests to the entry node, checks their status, and returns how many of them
// reached each upstream.
func sendCalls(t *testing.T, count, status int, entry, other, target *testNode) (toOther, toTarget int) {
	t.Helper()
	otherBefore, targetBefore := other.requests.Load(), target.requests.Load()
	for range count {
		assert.Equal(t, send(t, http.MethodGet, entry.url("/"), nil).StatusCode, status)
	}
	return int(other.requests.Load() - otherBefore), int(target.requests.Load() - targetBefore)
}

func awaitRevision(t *testing.T, revision uint64, nodes ...*testNode) {
	t.Helper()
	for _, n := range nodes {
		eventually(t, func() bool { return n.directory.View().Revision >= revision })
	}
}

// TestVersionsDuringAndAfterRollout guards against requests to an excluded version after the end
// of a rollout, and against a share that does not hold or outlives the contact to control.
func TestVersionsDuringAndAfterRollout(t *testing.T) {
	control, entry, other, target := startVersions(t, respondOK)
	const calls = 60
	steps := []struct {
		state        document.RolloutState
		share        int
		usesTarget   bool
		acknowledges bool
	}{
		{state: document.RolloutRunning, share: 0, acknowledges: true},
		{state: document.RolloutRunning, share: 1000, acknowledges: true, usesTarget: true},
		{state: document.RolloutRolledBack, share: 1000, acknowledges: true},
		{state: document.RolloutCompleted, share: 0, acknowledges: true, usesTarget: true},
		{state: document.RolloutRunning, share: 1000, acknowledges: false},
		{state: document.RolloutCompleted, share: 0, acknowledges: false, usesTarget: true},
	}
	for _, step := range steps {
		control.update(func() { control.acknowledges = step.acknowledges })
		control.setRollout(t, step.state, step.share)
		awaitRevision(t, control.revision, entry, other, target)
		if !step.acknowledges {
			eventually(t, func() bool { return entry.subscription.ContactAge(time.Now()) > 2*time.Second })
		}
		toOther, toTarget := sendCalls(t, calls, http.StatusOK, entry, other, target)
		if step.usesTarget {
			toOther, toTarget = toTarget, toOther
		}
		assert.Equal(t, toOther, calls, "%+v", step)
		assert.Equal(t, toTarget, 0, "%+v", step)
	}
}

// TestExcludedVersionIsRefused guards against a request that reaches an excluded version because
// its entry node has an old revision, or one from before the rollout. The refused request goes to
// another instance, and the entry node fetches the newer revision.
func TestExcludedVersionIsRefused(t *testing.T) {
	control, entry, other, target := startVersions(t, respondOK)
	control.setRollout(t, document.RolloutRunning, 1000)
	awaitRevision(t, 3, entry, other, target)
	control.update(func() { control.withheldNode = "entry" })
	control.setRollout(t, document.RolloutRolledBack, 0)
	awaitRevision(t, 4, other, target)
	toOther, toTarget := sendCalls(t, 20, http.StatusOK, entry, other, target)
	assert.Equal(t, toOther, 20)
	assert.Equal(t, toTarget, 0)
	assert.Assert(t, target.metrics.refusals[wire.RefusalReason_REFUSAL_VERSION].Get() > 0)
	awaitRevision(t, 4, entry)

	control.update(func() { delete(control.instances, "i-other"); control.withheldNode = "" })
	entry.waitForInstances(t, 1)
	refused := send(t, http.MethodGet, entry.url("/"), nil)
	assert.Equal(t, refused.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, refused.outcome(), httpapi.OutcomeNotRun)
	assert.Equal(t, target.requests.Load(), int32(0))
}

// TestEntryFromBeforeRollout guards against requests of an entry node that does not know of the
// rollout yet and would use the target version like any other.
func TestEntryFromBeforeRollout(t *testing.T) {
	control := newFakeControl(t)
	entry := control.startNode(t, "entry", "a", "")
	target := control.startNode(t, "target", "a", "")
	target.version = "2"
	target.serve(t, respondOK)
	entry.waitForInstances(t, 1)
	control.update(func() { control.withheldNode = "entry" })
	control.setRollout(t, document.RolloutRunning, 0)
	awaitRevision(t, 2, target)
	refused := send(t, http.MethodGet, entry.url("/"), nil)
	assert.Equal(t, refused.Header.Get(httpapi.HeaderReason), httpapi.ReasonName(wire.RefusalReason_REFUSAL_VERSION))
	assert.Equal(t, target.requests.Load(), int32(0))
	// With the revision of the rollout the target version gets all, as there is no other.
	awaitRevision(t, 2, entry)
	eventually(t, func() bool { return send(t, http.MethodGet, entry.url("/"), nil).StatusCode == http.StatusOK })
}

// TestRepeatsAvoidTarget guards against retries at the target version, which would exceed its
// share when it fails.
func TestRepeatsAvoidTarget(t *testing.T) {
	control, entry, other, target := startVersions(t, func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusBadGateway)
	})
	second := control.startNode(t, "second", "a", "")
	second.version = "2"
	second.serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) })
	entry.waitForInstances(t, 3)
	control.setRollout(t, document.RolloutRunning, 500)
	awaitRevision(t, 3, entry, other, target, second)
	const calls = 100
	toOther, _ := sendCalls(t, calls, http.StatusBadGateway, entry, other, target)
	assert.Assert(t, toOther == calls, "each call is sent to the other version once, first or as a retry: %d", toOther)
}

// TestEvidence guards against evidence that misses failures of the upstream, counts those that
// are not its own, or loses its totals at a restart of the upstream.
func TestEvidence(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	control, entry, _, target := startVersions(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/once/fail":
			w.WriteHeader(http.StatusInternalServerError)
		case "/once/busy":
			w.WriteHeader(http.StatusTooManyRequests)
		case "/once/break":
			panic(http.ErrAbortHandler)
		case "/once/hang":
			select {
			case <-release:
			case <-r.Context().Done():
			}
		}
	})
	control.setRollout(t, document.RolloutRunning, 1000)
	awaitRevision(t, 3, entry, target)
	warmUp := func() {
		eventually(t, func() bool {
			sendCalls(t, 1, http.StatusOK, entry, target, target)
			return target.Node.upstream.gate.Report().GetState() == wire.InstanceState_INSTANCE_WARM
		})
	}
	totals := func() (succeeded, failed uint64) {
		control.mu.Lock()
		defer control.mu.Unlock()
		for _, evidence := range control.evidence["target"] {
			assert.Equal(t, evidence.GetSoftwareVersion(), "2")
			assert.Equal(t, evidence.GetRollout(), uint64(2))
			succeeded, failed = succeeded+evidence.GetSucceeded(), failed+evidence.GetFailed()
		}
		return succeeded, failed
	}
	warmUp()
	target.directory.RequestHeartbeat()
	time.Sleep(2 * stateCheckInterval)
	before, _ := totals()
	for path, timeoutMs := range map[string]string{"/once/ok": "9000", "/once/fail": "9000", "/once/busy": "9000", "/once/break": "9000", "/once/hang": "200"} {
		send(t, http.MethodPost, entry.url(path), nil, httpapi.HeaderTimeout, timeoutMs)
	}
	eventually(t, func() bool { succeeded, failed := totals(); return succeeded == before+1 && failed == 3 })
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	abandoned, err := http.NewRequestWithContext(ctx, http.MethodPost, entry.url("/once/hang"), nil)
	assert.NilError(t, err)
	_, err = http.DefaultClient.Do(abandoned) //nolint:bodyclose // there is no response
	assert.ErrorContains(t, err, "deadline")
	eventually(t, func() bool { succeeded, failed := totals(); return succeeded == before+2 && failed == 3 })

	target.announce(t, target.Node.upstream.currentAnnouncement().Address, "restarted")
	entry.waitForInstances(t, 2)
	warmUp()
	sendCalls(t, 5, http.StatusOK, entry, target, target)
	eventually(t, func() bool { succeeded, failed := totals(); return succeeded >= before+7 && failed == 3 })

	control.setRollout(t, document.RolloutCompleted, 1000)
	awaitRevision(t, 4, target)
	eventually(t, func() bool { succeeded, _ := totals(); return succeeded == 0 })
}
