package node

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// TestBurnCounts guards against counts that are lost between goroutines, and
// against a heartbeat whose totals change while it is sent.
func TestBurnCounts(t *testing.T) {
	counts := &burnCounts{}
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for range 100 {
				counts.add([]*wire.BurnCount{{Service: "bookings", Good: 3, Bad: 1}})
			}
		})
	}
	group.Wait()
	sent := counts.totals()
	counts.add([]*wire.BurnCount{{Service: "bookings", Good: 1}})
	assert.Equal(t, sent[0].GetGood(), uint64(1200))
	assert.Equal(t, sent[0].GetBad(), uint64(400))
	assert.Equal(t, counts.totals()[0].GetGood(), uint64(1201))
}
