package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/coordination/admission"
	"github.com/chicorylever/chicorylever/internal/coordination/overload"
	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// TestNestedCall guards against a caller that goes before others because of the form of
// its identity: only a call of a request that runs at the upstream beside the node does.
func TestNestedCall(t *testing.T) {
	n := &Node{upstream: newUpstream(httpapi.DefaultDialect(), admission.Excess{})}
	isNested := func(name string) bool {
		rank, nested := n.nestedRank(name)
		assert.Assert(t, !nested || rank == 2)
		return nested
	}
	assert.Assert(t, !isNested("parent.child"))
	n.upstream.began("parent", 2)
	n.upstream.began("parent", 2)
	assert.Assert(t, isNested("parent.child"))
	assert.Assert(t, !isNested("parent") && !isNested(".child") && !isNested("other.child"))
	n.upstream.ended("parent")
	assert.Assert(t, isNested("parent.child"))
	n.upstream.ended("parent")
	assert.Assert(t, !isNested("parent.child"))
	assert.Equal(t, len(n.upstream.running), 0)
}

// TestUrgencyOnTheWire guards against an urgency that changes on its way to the node beside
// the upstream.
func TestUrgencyOnTheWire(t *testing.T) {
	for _, urgency := range []overload.Urgency{overload.InTime, overload.Nested, overload.Late} {
		assert.Equal(t, urgencyFromWire(urgencyToWire(urgency)), urgency)
	}
	assert.Equal(t, urgencyFromWire(wire.Urgency(99)), overload.InTime)
}
