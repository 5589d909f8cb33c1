package admission

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestWorks guards against estimates that take a slow moment for more work, mix routes, or
// grow without bound.
func TestWorks(t *testing.T) {
	w := Works{}
	assert.Equal(t, w.Of("a", 0), time.Duration(0))
	w.Observe("a", 640*time.Millisecond, 4)
	w.Observe("b", 40*time.Millisecond, 0)
	assert.Equal(t, w.Of("a", 0), 160*time.Millisecond)
	assert.Equal(t, w.Of("b", 0), 40*time.Millisecond)
	assert.Assert(t, w.Of("c", 0) > w.Of("b", 0) && w.Of("c", 0) < w.Of("a", 0))
	assert.Equal(t, w.Of("a", time.Second), 160*time.Millisecond)
	assert.Equal(t, w.Of("c", time.Second), time.Second, "other routes tell less than the prior")
	for i := range 2 * maxWorkRoutes {
		w.Observe(strconv.Itoa(i), time.Millisecond, 1)
	}
	assert.Equal(t, len(w.routes), maxWorkRoutes)
}
