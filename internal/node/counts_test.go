package node

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// TestBurnCounts guards against counts that are lost between goroutines, and
// against a heartbeat whose totals change while it is sent.
func TestBurnCounts(t *testing.T) {
	counts := &burnCounts{}
	var group sync.WaitGroup
	for i := range 4 {
		group.Go(func() {
			for range 100 {
				counts.add("bookings", i > 0)
			}
		})
	}
	group.Wait()
	sent := counts.totals()
	counts.add("bookings", true)
	assert.Equal(t, sent[0].GetGood(), uint64(300))
	assert.Equal(t, sent[0].GetBad(), uint64(100))
	assert.Equal(t, counts.totals()[0].GetGood(), uint64(301))
}
