package node

import (
	"net/http"
	"testing"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/coordination/admission"
	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// newAnnouncement returns an announcement of the upstream beside the node.
func newAnnouncement(n *testNode, sequence uint64) *httpapi.Announcement {
	return &httpapi.Announcement{
		Service: "s", Address: n.upstream.Listener.Addr().String(), Instance: "i-" + n.settings.ID, StartID: "1",
		Slots: 4, Sequence: sequence, StartedMs: 1000,
	}
}

// TestRestartedNodeAvoidsLeavingUpstream guards against requests to an upstream that
// announced before a restart of the node beside it that it is leaving. The restarted node
// must not use it before control has reported whether the upstream is departing.
func TestRestartedNodeAvoidsLeavingUpstream(t *testing.T) {
	_, entry, upstreamNode := startPair(t, func(http.ResponseWriter, *http.Request) {})
	upstreamNode.Node.upstream.mu.Lock()
	upstreamNode.Node.upstream.announcement = nil // as after a restart
	upstreamNode.Node.upstream.mu.Unlock()
	assert.NilError(t, upstreamNode.Announce(newAnnouncement(upstreamNode, 17)))
	pool, reason := upstreamNode.Node.upstream.poolFor("s", "i-beside")
	assert.Assert(t, pool == nil)
	assert.Equal(t, reason, wire.RefusalReason_REFUSAL_NO_UPSTREAM)

	sink := (*controlSink)(upstreamNode.Node)
	sink.ApplyDiff(&wire.StateDiff{RegistryVersion: 9, Changed: []*wire.Instance{
		{Id: "i-beside", StartId: "1", Service: "s", NodeId: "beside", NodeAddress: upstreamNode.settings.MeshAddress, Departing: true},
	}})
	upstreamNode.Node.upstream.confirmStart("1")
	assert.Equal(t, upstreamNode.Node.upstream.gate.Report().GetState(), wire.InstanceState_INSTANCE_LEAVING)
	response := send(t, http.MethodPost, entry.url("/p"), nil)
	assert.Equal(t, response.outcome(), httpapi.OutcomeNotRun)
}

// TestOutdatedAnnouncements guards against applying a delayed announcement of an earlier
// start, or an announcement of this start with a lower sequence number.
func TestOutdatedAnnouncements(t *testing.T) {
	_, _, upstreamNode := startPair(t, func(http.ResponseWriter, *http.Request) {})
	current := newAnnouncement(upstreamNode, 5)
	assert.NilError(t, upstreamNode.Announce(current))
	earlierStart := newAnnouncement(upstreamNode, 90)
	earlierStart.StartID, earlierStart.StartedMs = "0", 900
	earlierSequence := newAnnouncement(upstreamNode, 4)
	earlierSequence.Leaving = true
	for _, outdated := range []*httpapi.Announcement{earlierStart, earlierSequence} {
		assert.NilError(t, upstreamNode.Announce(outdated))
		assert.Equal(t, upstreamNode.Node.upstream.currentAnnouncement(), current)
	}
	assert.Assert(t, upstreamNode.Node.upstream.gate.Report().GetState() != wire.InstanceState_INSTANCE_LEAVING)
}

// TestConfirmationOfEarlierStart guards against using an upstream because of a confirmation
// of control, or of its timeout, that applies to an earlier start.
func TestConfirmationOfEarlierStart(t *testing.T) {
	u := newUpstream(httpapi.DefaultDialect(), admission.ColdTolerance{}, log.NewNopLogger())
	for _, startID := range []string{"1", "2"} {
		a := &httpapi.Announcement{Service: "s", Address: "127.0.0.1:1", Instance: "i", StartID: startID, Slots: 1, Sequence: 7}
		assert.NilError(t, u.announce(a, hasAnyService))
	}
	u.endSignalWait("2")
	u.confirmStart("1")
	assert.Assert(t, !u.isOpen("i"))
	u.confirmStart("2")
	assert.Assert(t, u.isOpen("i"))
}
