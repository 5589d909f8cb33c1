package admission

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestWorks guards against estimates that take a slowdown for more work, scale the wait for
// nested calls with the slowdown of the upstream, mix up routes, or track routes without
// bound.
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
	assert.Equal(t, w.Of("c", time.Second).Own, time.Second, "the prior goes before the mean of other routes")
	for i := range 2 * maxWorkRoutes {
		w.Observe(strconv.Itoa(i), time.Millisecond, 0, 1)
	}
	assert.Equal(t, len(w.routes), maxWorkRoutes)
}

// TestColdFactorScalesOwnWorkOnly guards against classifying a request as late because the
// wait for its nested calls is doubled at a cold upstream.
func TestColdFactorScalesOwnWorkOnly(t *testing.T) {
	now := time.Unix(1000, 0)
	m := NewMachine(Config{})
	m.Start(now, "1", 9)
	m.SetWarmup(now, 16, now.Add(time.Hour))
	m.updatedAt = now
	request := Request{Work: Work{Own: 100 * time.Millisecond, Held: 150 * time.Millisecond}}
	assert.Equal(t, m.expectedTime(request), 350*time.Millisecond)
}
