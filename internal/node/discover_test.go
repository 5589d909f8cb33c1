package node

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/coordination/admission"
	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/settings"
)

const discoveryDocument = `{"zones": {"a": {"state": "in"}}, "services": {"s": {"hosts": ["s.example"], "timeout_ms": 20000, "health_path": "/health"}}}`

// discoveryDialect has the headers with which an upstream identifies itself.
func discoveryDialect() *httpapi.Dialect {
	dialect := httpapi.DefaultDialect()
	dialect.InstanceID, dialect.ColdMs, dialect.Load = "X-Instance", "X-Cold-Ms", "X-Load"
	dialect.ParseLoad = func(value string) (httpapi.UpstreamLoad, bool) {
		return httpapi.UpstreamLoad{Slots: 4, SlowdownPercent: normalSlowdownPercent}, value == "4"
	}
	return dialect
}

// startBesideRunningUpstream starts a node whose upstream runs already and does not announce
// itself, as after a restart of the node alone.
func startBesideRunningUpstream(t *testing.T, healthStatus int, document string) (beside *testNode, control *fakeControl, requests *atomic.Int32) {
	requests = &atomic.Int32{}
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Instance", "i-beside")
		w.Header().Set("X-Load", "4")
		if r.URL.Path == "/health" {
			w.WriteHeader(healthStatus)
			return
		}
		requests.Add(1)
	}))
	t.Cleanup(upstream.Close)
	control = newFakeControl(t)
	control.document = document
	s := &settings.Node{ID: "beside", Zone: "a", Service: "s", UpstreamAddress: upstream.Listener.Addr().String()}
	beside = control.startNodeWith(t, s, "", Options{Dialect: discoveryDialect()})
	beside.upstream = upstream
	return beside, control, requests
}

// TestDiscoverUpstream guards against a restarted node that leaves its running upstream without
// requests until the next announcement, and against a cold start when that arrives.
func TestDiscoverUpstream(t *testing.T) {
	beside, _, requests := startBesideRunningUpstream(t, http.StatusOK, discoveryDocument)
	eventually(t, func() bool { return beside.Node.upstream.currentAnnouncement() != nil })
	beside.waitForInstances(t, 1)
	eventually(t, func() bool { return send(t, http.MethodPost, beside.url("/p"), nil).StatusCode == http.StatusOK })
	assert.Equal(t, requests.Load(), int32(1))
	pool := beside.Node.upstream.pool
	assert.NilError(t, beside.Announce(newAnnouncement(beside, 9)))
	assert.Equal(t, beside.Node.upstream.currentAnnouncement().StartID, "1")
	assert.Assert(t, beside.Node.upstream.pool == pool, "the first announcement of the upstream itself began a new start")
	assert.Assert(t, beside.Node.upstream.isOpen("i-beside"))
}

// TestLeavingUpstreamIsNotDiscovered guards against requests to an upstream that leaves, which a
// restarted node has forgotten.
func TestLeavingUpstreamIsNotDiscovered(t *testing.T) {
	beside, _, _ := startBesideRunningUpstream(t, http.StatusServiceUnavailable, discoveryDocument)
	requireNotDiscovered(t, beside)
}

// TestUpstreamOfUnknownVersionIsNotDiscovered guards against an instance of the target version
// that counts as old after a restart of its node, since a health response states no version.
func TestUpstreamOfUnknownVersionIsNotDiscovered(t *testing.T) {
	rollouts := `, "rollouts": {"s": {"target_version": "2", "state": "rolled_back"}}}`
	beside, _, _ := startBesideRunningUpstream(t, http.StatusOK, strings.TrimSuffix(discoveryDocument, "}")+rollouts)
	requireNotDiscovered(t, beside)
}

func requireNotDiscovered(t *testing.T, n *testNode) {
	eventually(t, func() bool { return n.isReady() })
	time.Sleep(5 * discoveryInterval)
	assert.Assert(t, n.Node.upstream.currentAnnouncement() == nil)
}

// TestProvisionalAnnouncement guards against a provisional announcement that replaces one of the
// upstream, and against a departure listed by control that has no effect before the start ID
// is known, or that closes a later start for good.
func TestProvisionalAnnouncement(t *testing.T) {
	provisional := &httpapi.Announcement{
		Service: "s", Address: "127.0.0.1:1", Instance: "i", StartID: provisionalStartID, Slots: 1, Sequence: provisionalSequence, Provisional: true,
	}
	announced := &httpapi.Announcement{Service: "s", Address: "127.0.0.1:1", Instance: "i", StartID: "1", Slots: 1, Sequence: 7}
	u := newUpstream(httpapi.DefaultDialect(), admission.ColdTolerance{}, log.NewNopLogger())
	assert.NilError(t, u.announce(announced, hasAnyService))
	assert.ErrorIs(t, u.announce(provisional, hasAnyService), errOutdated)
	assert.Equal(t, u.currentAnnouncement(), announced)

	u = newUpstream(httpapi.DefaultDialect(), admission.ColdTolerance{}, log.NewNopLogger())
	assert.NilError(t, u.announce(provisional, hasAnyService))
	assert.Assert(t, !u.isOpen("i"), "control has not reported whether the upstream is departing")
	assert.Assert(t, u.leave(provisionalStartID))
	assert.Equal(t, u.gate.Report().GetState(), wire.InstanceState_INSTANCE_LEAVING)
	assert.NilError(t, u.announce(announced, hasAnyService))
	assert.Assert(t, u.gate.Report().GetState() != wire.InstanceState_INSTANCE_LEAVING, "the departure was of an earlier start")
	assert.Assert(t, !u.isOpen("i"), "control has not reported on this start")
}
