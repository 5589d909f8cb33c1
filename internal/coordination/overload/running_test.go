package overload

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestParent guards against a caller that gains precedence merely through the form of its
// request identity: only calls made by a running request are nested.
func TestParent(t *testing.T) {
	r := NewRunning()
	isNested := func(name string) bool {
		parent, nested := r.Parent(name)
		assert.Assert(t, !nested || parent.Rank == 2)
		return nested
	}
	assert.Assert(t, !isNested("parent.child"))
	r.Begin(Parent{Name: "parent", Rank: 2})
	r.Begin(Parent{Name: "parent", Rank: 2})
	assert.Assert(t, isNested("parent.child"))
	assert.Assert(t, !isNested("parent") && !isNested(".child") && !isNested("other.child"))
	r.End("parent")
	assert.Assert(t, isNested("parent.child"))
	r.End("parent")
	assert.Assert(t, !isNested("parent.child"))
	assert.Equal(t, len(r.requests), 0)
}

// TestHeld guards against counting the time of concurrent nested calls more than once, and
// against wrong records when a nested call ends after its parent.
func TestHeld(t *testing.T) {
	r := NewRunning()
	now := time.Now()
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	r.Begin(Parent{Name: "parent"})
	r.CallBegan("parent", at(0))
	r.CallBegan("parent", at(10))
	r.CallEnded("parent", at(30))
	r.CallEnded("parent", at(40))
	r.CallBegan("parent", at(60))
	r.CallEnded("parent", at(70))
	assert.Equal(t, r.Held("parent"), 50*time.Millisecond)
	r.CallBegan("parent", at(80))
	r.End("parent")
	r.CallEnded("parent", at(90))
	assert.Equal(t, len(r.requests), 0)
	assert.Equal(t, r.Held("parent"), time.Duration(0))
}
