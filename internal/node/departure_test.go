package node

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/coordination/admission"
	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

func announcement(n *testNode, sequence uint64) *httpapi.Announcement {
	return &httpapi.Announcement{
		Service: "s", Address: n.upstream.Listener.Addr().String(), Instance: "i-" + n.settings.ID, StartID: "1",
		Slots: 4, Sequence: sequence, StartedMs: 1000,
	}
}

// TestRestartedNodeSparesDepartedUpstream guards against work for an upstream that has
// told an earlier start of the node beside it that it leaves: the node must not use it
// before control has said what it knows.
func TestRestartedNodeSparesDepartedUpstream(t *testing.T) {
	_, entry, beside := pair(t, func(http.ResponseWriter, *http.Request) {})
	beside.Node.upstream.mu.Lock()
	beside.Node.upstream.announcement = nil // as after a restart
	beside.Node.upstream.mu.Unlock()
	assert.NilError(t, beside.Announce(announcement(beside, 17)))
	pool, reason := beside.Node.upstream.target("s", "i-beside")
	assert.Assert(t, pool == nil)
	assert.Equal(t, reason, wire.RefusalReason_REFUSAL_NO_UPSTREAM)

	sink := (*controlSink)(beside.Node)
	sink.ApplyDiff(&wire.StateDiff{RegistryVersion: 9, Changed: []*wire.Instance{
		{Id: "i-beside", StartId: "1", Service: "s", NodeId: "beside", NodeAddress: beside.settings.MeshAddress, Departing: true},
	}})
	beside.Node.upstream.confirm("1")
	assert.Equal(t, beside.Node.upstream.gate.Report().GetState(), wire.InstanceState_INSTANCE_LEAVING)
	response := send(t, http.MethodPost, entry.url("/p"), nil)
	assert.Equal(t, response.outcome(), httpapi.OutcomeNotRun)
}

// TestLateAnnouncements guards against a delayed announcement of an earlier start, or an
// earlier one of this start, that replaces what is known of the upstream.
func TestLateAnnouncements(t *testing.T) {
	_, _, beside := pair(t, func(http.ResponseWriter, *http.Request) {})
	later := announcement(beside, 5)
	assert.NilError(t, beside.Announce(later))
	earlierStart := announcement(beside, 90)
	earlierStart.StartID, earlierStart.StartedMs = "0", 900
	earlierSequence := announcement(beside, 4)
	earlierSequence.Leaving = true
	for _, late := range []*httpapi.Announcement{earlierStart, earlierSequence} {
		assert.NilError(t, beside.Announce(late))
		assert.Equal(t, beside.Node.upstream.announced(), later)
	}
	assert.Assert(t, beside.Node.upstream.gate.Report().GetState() != wire.InstanceState_INSTANCE_LEAVING)
}

// TestConfirmationOfEarlierStart guards against using an upstream on the word that control
// gave, or failed to give in time, on an earlier start.
func TestConfirmationOfEarlierStart(t *testing.T) {
	u := newUpstream(httpapi.DefaultDialect(), admission.Excess{})
	for _, startID := range []string{"1", "2"} {
		a := &httpapi.Announcement{Service: "s", Address: "127.0.0.1:1", Instance: "i", StartID: startID, Slots: 1, Sequence: 7}
		assert.Assert(t, u.announce(a))
	}
	u.confirm("1")
	assert.Assert(t, !u.isOpen("i"))
	u.confirm("2")
	assert.Assert(t, u.isOpen("i"))
}
