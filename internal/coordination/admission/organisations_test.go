package admission

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestManyOrganisations guards against records of organisations without a bound. Those with
// most of the work must be kept, and all be forgotten after a while.
func TestManyOrganisations(t *testing.T) {
	const seconds = 0.1
	now := time.Unix(1000, 0)
	var f fairShare
	record := func(organisation string) {
		f.record(now, &waiter{organisation: organisation, weight: 1}, seconds)
	}
	for i := range 2000 {
		record(strconv.Itoa(i))
		record("hot")
	}
	assert.Equal(t, len(f.recent), maxTrackedOrganisations)
	assert.Assert(t, f.excess(shareKey{organisation: "hot"}) > 0)
	assert.Equal(t, f.excess(shareKey{organisation: "0"}), 0)
	now = now.Add(time.Minute)
	record("last")
	assert.Equal(t, len(f.recent), 1)
	total := f.totals[0]
	assert.Assert(t, total.seconds > 0.99*seconds && total.seconds < 1.01*seconds, "%v", total.seconds)
	assert.Equal(t, total.weight, 1.0)
}
