package node

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/coordination/admission"
	"github.com/chicorylever/chicorylever/internal/coordination/overload"
	"github.com/chicorylever/chicorylever/internal/coordination/routing"
	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

// TestUrgencyWireRoundTrip checks that an urgency reaches the node beside the upstream
// unchanged, and that an unknown one counts as in time.
func TestUrgencyWireRoundTrip(t *testing.T) {
	for _, urgency := range []overload.Urgency{overload.InTime, overload.Nested, overload.Late} {
		assert.Equal(t, urgencyFromWire(urgencyToWire(urgency)), urgency)
	}
	assert.Equal(t, urgencyFromWire(wire.Urgency(99)), overload.InTime)
}

// TestNestedCallInheritsParentObjective guards against a nested call that is served by
// the objective of its own route instead of its parent's, or that loses its urgency when
// its parent is late.
func TestNestedCallInheritsParentObjective(t *testing.T) {
	n := &Node{upstream: newUpstream(httpapi.DefaultDialect(), admission.ColdTolerance{}, log.NewNopLogger())}
	now := time.Now()
	newCall := func() *call {
		c := &call{requestID: "parent.1", started: now, route: &routing.Route{Route: document.Route{Priority: 1, ObjectiveMs: 120}}}
		n.setUrgency(c)
		return c
	}
	n.upstream.requestTracker.Begin(overload.Parent{RequestID: "parent", Priority: 2, Objective: now.Add(time.Hour)})
	c := newCall()
	assert.Equal(t, c.urgency, overload.Nested)
	assert.Equal(t, c.objectiveDeadline, now.Add(time.Hour-nestedCallMargin))
	n.upstream.requestTracker.End("parent")
	n.upstream.requestTracker.Begin(overload.Parent{RequestID: "parent", Priority: 2, Objective: now})
	c = newCall()
	assert.Equal(t, c.objectiveRemaining(), minObjectiveRemaining)
	assert.Equal(t, c.currentUrgency(), overload.Nested)
	n.upstream.requestTracker.End("parent")
	n.upstream.requestTracker.Begin(overload.Parent{RequestID: "parent", Priority: 2})
	assert.Equal(t, newCall().objectiveRemaining(), time.Duration(0))
}

// TestNestedRefusalIsRecorded guards against requests that keep going before others although
// their nested calls have no room, and against taking another failure of a call for that.
func TestNestedRefusalIsRecorded(t *testing.T) {
	for _, c := range []struct {
		result  attemptResult
		isNoted bool
	}{
		{attemptResult{outcome: outcomeNotRun, reason: wire.RefusalReason_REFUSAL_QUEUE_FULL}, true},
		{attemptResult{outcome: outcomeNotRun, reason: wire.RefusalReason_REFUSAL_CONNECT}, false},
		{attemptResult{outcome: outcomeAnswered}, false},
	} {
		n := &Node{upstream: newUpstream(httpapi.DefaultDialect(), admission.ColdTolerance{}, log.NewNopLogger())}
		for range 100 {
			n.upstream.requestTracker.Begin(overload.Parent{RequestID: "parent"})
			n.recordNestedFailure(&call{urgency: overload.Nested, parentRequestID: "parent"}, c.result)
			n.upstream.observeNestedRoom("route", "parent")
			n.upstream.requestTracker.End("parent")
		}
		assert.Equal(t, n.upstream.nestedRoom.RefusedShare(time.Now(), "route") > 0.9, c.isNoted)
		assert.Assert(t, !n.upstream.drawGivesWay("other"))
	}
}
