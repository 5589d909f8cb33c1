package overload

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRetryDetector guards against classifying a caller's first attempt as a retry, and
// against one long timeout after which all later callers of the route count as retrying
// forever.
func TestRetryDetector(t *testing.T) {
	d, now := NewRetryDetector(), time.Unix(1000, 0)
	assert.Assert(t, !d.Observe(now, "a", 4*time.Second))
	assert.Assert(t, !d.Observe(now, "a", 3500*time.Millisecond), "timeouts of first attempts may differ slightly")
	assert.Assert(t, d.Observe(now, "a", 2700*time.Millisecond))
	assert.Assert(t, !d.Observe(now, "b", time.Second), "timeouts of another route are not compared")
	assert.Assert(t, !d.Observe(now, "a", time.Hour))
	assert.Assert(t, d.Observe(now, "a", 4*time.Second))
	d.Observe(now.Add(timeoutWindow), "a", 4*time.Second)
	assert.Assert(t, !d.Observe(now.Add(2*timeoutWindow), "a", 4*time.Second))
	d.Keep(func(route string) bool { return route == "b" })
	assert.Equal(t, len(d.routes), 1)
}
