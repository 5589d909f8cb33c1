package overload

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestReturns guards against taking a caller's first attempt for a return, and against
// one long time that makes all later callers of the route count as returned for good.
func TestReturns(t *testing.T) {
	r, now := NewReturns(), time.Unix(1000, 0)
	assert.Assert(t, !r.Observe(now, "a", 4*time.Second))
	assert.Assert(t, !r.Observe(now, "a", 3500*time.Millisecond), "callers differ")
	assert.Assert(t, r.Observe(now, "a", 2700*time.Millisecond))
	assert.Assert(t, !r.Observe(now, "b", time.Second), "routes differ")
	assert.Assert(t, !r.Observe(now, "a", time.Hour))
	assert.Assert(t, r.Observe(now, "a", 4*time.Second))
	r.Observe(now.Add(statedMemory), "a", 4*time.Second)
	assert.Assert(t, !r.Observe(now.Add(2*statedMemory), "a", 4*time.Second))
	r.Keep(func(route string) bool { return route == "b" })
	assert.Equal(t, len(r.routes), 1)
}
