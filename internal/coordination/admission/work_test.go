package admission

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestWorkEstimator guards against estimates that take a slowdown for more work, scale the
// wait for nested calls with the slowdown of the upstream, mix up routes, or track routes
// without bound.
func TestWorkEstimator(t *testing.T) {
	w := WorkEstimator{}
	assert.Equal(t, w.Estimate("a", 0), Work{})
	w.Observe("a", 640*time.Millisecond, 0, 4)
	w.Observe("b", 40*time.Millisecond, 0, 0)
	w.Observe("d", 380*time.Millisecond, 60*time.Millisecond, 2)
	assert.Equal(t, w.Estimate("a", 0), Work{OwnTime: 160 * time.Millisecond})
	assert.Equal(t, w.Estimate("b", 0), Work{OwnTime: 40 * time.Millisecond})
	assert.Equal(t, w.Estimate("d", 0), Work{OwnTime: 160 * time.Millisecond, NestedWait: 60 * time.Millisecond})
	other := w.Estimate("c", 0).OwnTime
	assert.Assert(t, other > w.Estimate("b", 0).OwnTime && other < w.Estimate("a", 0).OwnTime)
	assert.Equal(t, w.Estimate("a", time.Second).OwnTime, 160*time.Millisecond)
	assert.Equal(t, w.Estimate("c", time.Second).OwnTime, time.Second, "the prior goes before the mean of other routes")
	for i := range 2 * maxWorkRoutes {
		w.Observe(strconv.Itoa(i), time.Millisecond, 0, 1)
	}
	assert.Equal(t, len(w.routes), maxWorkRoutes)
}

// TestColdFactorScalesOwnTimeOnly guards against classifying a request as late because the
// wait for its nested calls is doubled at a cold upstream.
func TestColdFactorScalesOwnTimeOnly(t *testing.T) {
	now := time.Unix(1000, 0)
	m := NewMachine(Config{})
	m.Start(now, "1", 9)
	m.SetWarmup(now, 16, now.Add(time.Hour))
	m.updatedAt = now
	request := Request{Work: Work{OwnTime: 100 * time.Millisecond, NestedWait: 150 * time.Millisecond}}
	assert.Equal(t, m.expectedTime(request), 350*time.Millisecond)
}
