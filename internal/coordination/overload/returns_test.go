package overload

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestReturns guards against classifying a caller's first attempt as a retry, and against
// one long timeout after which all later callers of the route count as retrying forever.
func TestReturns(t *testing.T) {
	r, now := NewReturns(), time.Unix(1000, 0)
	assert.Assert(t, !r.Observe(now, "a", 4*time.Second))
	assert.Assert(t, !r.Observe(now, "a", 3500*time.Millisecond), "timeouts of first attempts may differ slightly")
	assert.Assert(t, r.Observe(now, "a", 2700*time.Millisecond))
	assert.Assert(t, !r.Observe(now, "b", time.Second), "timeouts of another route are not compared")
	assert.Assert(t, !r.Observe(now, "a", time.Hour))
	assert.Assert(t, r.Observe(now, "a", 4*time.Second))
	r.Observe(now.Add(timeoutWindow), "a", 4*time.Second)
	assert.Assert(t, !r.Observe(now.Add(2*timeoutWindow), "a", 4*time.Second))
	r.Keep(func(route string) bool { return route == "b" })
	assert.Equal(t, len(r.routes), 1)
}
