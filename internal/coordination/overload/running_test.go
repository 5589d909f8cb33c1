package overload

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestParent guards against a caller that gains precedence merely through the form of its
// request ID: only calls made by a running request are nested.
func TestParent(t *testing.T) {
	tracker := NewRequestTracker()
	isNested := func(callID string) bool {
		parent, nested := tracker.Parent(callID)
		assert.Assert(t, !nested || parent.Priority == 2)
		return nested
	}
	assert.Assert(t, !isNested("parent.child"))
	tracker.Begin(Parent{RequestID: "parent", Priority: 2})
	tracker.Begin(Parent{RequestID: "parent", Priority: 2})
	assert.Assert(t, isNested("parent.child"))
	assert.Assert(t, !isNested("parent") && !isNested(".child") && !isNested("other.child"))
	tracker.End("parent")
	assert.Assert(t, isNested("parent.child"))
	tracker.End("parent")
	assert.Assert(t, !isNested("parent.child"))
	assert.Equal(t, len(tracker.requests), 0)
}

// TestNestedWait guards against counting the time of concurrent nested calls more than
// once, and against wrong records when a nested call ends after its parent.
func TestNestedWait(t *testing.T) {
	tracker := NewRequestTracker()
	now := time.Now()
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	tracker.Begin(Parent{RequestID: "parent"})
	tracker.CallBegan("parent", at(0))
	tracker.CallBegan("parent", at(10))
	tracker.CallEnded("parent", at(30))
	tracker.CallEnded("parent", at(40))
	tracker.CallBegan("parent", at(60))
	tracker.CallEnded("parent", at(70))
	assert.Equal(t, tracker.NestedWait("parent"), 50*time.Millisecond)
	tracker.CallBegan("parent", at(80))
	tracker.End("parent")
	tracker.CallEnded("parent", at(90))
	assert.Equal(t, len(tracker.requests), 0)
	assert.Equal(t, tracker.NestedWait("parent"), time.Duration(0))
}
