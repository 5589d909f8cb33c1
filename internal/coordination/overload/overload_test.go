package overload

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestRetryDelay guards against refused callers that retry immediately, all at the same
// time, or too late to be served.
func TestRetryDelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		wait := time.Duration(rapid.IntRange(0, 5000).Draw(t, "wait")) * time.Millisecond
		distinct := map[time.Duration]bool{}
		for range 20 {
			delay := RetryDelay(random, wait)
			assert.Assert(t, delay >= 20*time.Millisecond && delay <= time.Second, "%v", delay)
			distinct[delay] = true
		}
		assert.Assert(t, len(distinct) > 10)
	})
}
