package balance_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/coordination/balance"
)

// TestExpectedCostOfTransientSlowdown guards against an estimate that makes an upstream on a
// slow VM look nearly as fast as another. A request runs at the speed of its start, or is
// delayed until the transient slowdown has ended.
func TestExpectedCostOfTransientSlowdown(t *testing.T) {
	slow := balance.Quote{Open: true, Limit: 4, Slowdown: 4}
	assert.Equal(t, slow.Expected(40*time.Millisecond), 160*time.Millisecond)
	assert.Equal(t, slow.Expected(160*time.Millisecond), 460*time.Millisecond)
	busy := balance.Quote{Open: true, Limit: 4, Running: 4, Slowdown: 1, QueueWait: 40 * time.Millisecond}
	assert.Assert(t, busy.Expected(160*time.Millisecond) < slow.Expected(160*time.Millisecond))
}

// TestColdSlowdownNotCountedTwice guards against an estimate that makes a cold upstream look
// slower than one in a transient slowdown. The slowdown that it reports already includes the
// effect of the cold start.
func TestColdSlowdownNotCountedTwice(t *testing.T) {
	const serviceTime = 120 * time.Millisecond
	cold := balance.Quote{Open: true, Limit: 7, Slowdown: 2, Cold: true}
	assert.Equal(t, cold.Expected(serviceTime), 2*serviceTime)
	coldAndSlow := balance.Quote{Open: true, Limit: 7, Slowdown: 8, Cold: true}
	assert.Equal(t, coldAndSlow.Expected(serviceTime), 300*time.Millisecond+2*serviceTime)
	unknown := balance.Quote{Open: true, Limit: 7, Cold: true}
	assert.Equal(t, unknown.Expected(serviceTime), 3*serviceTime)
}

// TestSamplePrefersLocalZone guards against sending large bodies to other zones while the
// zone of the entry node has instances to ask for a quote.
func TestSamplePrefersLocalZone(t *testing.T) {
	p := balance.New(balance.Config{Zone: "a"}, rand.New(rand.NewPCG(1, 1)))
	var candidates []balance.Candidate
	for i := range 12 {
		candidates = append(candidates, balance.Candidate{ID: strconv.Itoa(i), Zone: string(rune('a' + i%4)), Slots: 6})
	}
	for range 100 {
		local := 0
		for _, i := range p.SampleForQuotes(epoch, "svc", candidates, nil, 4, 3) {
			if candidates[i].Zone == "a" {
				local++
			}
		}
		assert.Equal(t, local, 3)
	}
}
