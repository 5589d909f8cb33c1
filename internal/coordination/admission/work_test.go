package admission

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestWorks guards against estimates that take a slow moment for more work, take the time of
// nested calls for work that a slow upstream stretches, mix routes, or grow without bound.
func TestWorks(t *testing.T) {
	w := Works{}
	assert.Equal(t, w.Of("a", 0), Work{})
	w.Observe("a", 640*time.Millisecond, 0, 4)
	w.Observe("b", 40*time.Millisecond, 0, 0)
	w.Observe("d", 380*time.Millisecond, 60*time.Millisecond, 2)
	assert.Equal(t, w.Of("a", 0), Work{Own: 160 * time.Millisecond})
	assert.Equal(t, w.Of("b", 0), Work{Own: 40 * time.Millisecond})
	assert.Equal(t, w.Of("d", 0), Work{Own: 160 * time.Millisecond, Held: 60 * time.Millisecond})
	other := w.Of("c", 0).Own
	assert.Assert(t, other > w.Of("b", 0).Own && other < w.Of("a", 0).Own)
	assert.Equal(t, w.Of("a", time.Second).Own, 160*time.Millisecond)
	assert.Equal(t, w.Of("c", time.Second).Own, time.Second, "other routes tell less than the prior")
	for i := range 2 * maxWorkRoutes {
		w.Observe(strconv.Itoa(i), time.Millisecond, 0, 1)
	}
	assert.Equal(t, len(w.routes), maxWorkRoutes)
}

// TestColdStretchesOwnWorkOnly guards against taking a request for late because the time of
// its nested calls is doubled at a cold upstream.
func TestColdStretchesOwnWorkOnly(t *testing.T) {
	now := time.Unix(1000, 0)
	m := NewMachine(Config{})
	m.Start(now, "1", 9)
	m.SetWarmup(now, 16, now.Add(time.Hour))
	m.at = now
	request := Request{Work: Work{Own: 100 * time.Millisecond, Held: 150 * time.Millisecond}}
	assert.Equal(t, m.work(request), 350*time.Millisecond)
}
