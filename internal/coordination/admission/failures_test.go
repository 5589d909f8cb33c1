package admission_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/coordination/admission"
)

// TestFailureTracker guards against a failing upstream that is noticed late, against a single
// failure that counts as a failing upstream, and against one that is never tried again.
func TestFailureTracker(t *testing.T) {
	now := time.Unix(1000, 0)
	f := &admission.FailureTracker{}
	assert.Equal(t, f.Share(now), 0.0)
	f.Observe(now, true)
	assert.Assert(t, f.Share(now) <= 0.25)
	for i := range 10 {
		now = now.Add(100 * time.Millisecond)
		f.Observe(now, i%2 == 0)
	}
	assert.Assert(t, f.Share(now) > 0.3)
	assert.Assert(t, f.Share(now.Add(5*time.Second)) < 0.15)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		f.Observe(now, false)
	}
	assert.Assert(t, f.Share(now) < 0.01)
}
