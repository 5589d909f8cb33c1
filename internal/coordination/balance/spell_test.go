package balance_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/coordination/balance"
)

// TestExpectedCostOfTransientSlowdown guards against an estimate that takes a slow VM for nearly as
// quick as another: work takes the speed at its start, or waits for the end of the spell.
func TestExpectedCostOfTransientSlowdown(t *testing.T) {
	slow := balance.Quote{Open: true, Limit: 4, Slowdown: 4}
	assert.Equal(t, slow.Expected(40*time.Millisecond), 160*time.Millisecond)
	assert.Equal(t, slow.Expected(160*time.Millisecond), 460*time.Millisecond)
	busy := balance.Quote{Open: true, Limit: 4, Running: 4, Slowdown: 1, Wait: 40 * time.Millisecond}
	assert.Assert(t, busy.Expected(160*time.Millisecond) < slow.Expected(160*time.Millisecond))
}

// TestColdSlowdownNotCountedTwice guards against an estimate that takes a cold upstream for slower than
// one in a slow spell: the speed that it tells includes that it is cold.
func TestColdSlowdownNotCountedTwice(t *testing.T) {
	const work = 120 * time.Millisecond
	cold := balance.Quote{Open: true, Limit: 7, Slowdown: 2, Cold: true}
	assert.Equal(t, cold.Expected(work), 2*work)
	coldSpell := balance.Quote{Open: true, Limit: 7, Slowdown: 8, Cold: true}
	assert.Equal(t, coldSpell.Expected(work), 300*time.Millisecond+2*work)
	unknown := balance.Quote{Open: true, Limit: 7, Cold: true}
	assert.Equal(t, unknown.Expected(work), 3*work)
}

// TestSamplePrefersLocalZone guards against large bodies that cross zones while their own zone has
// instances to ask.
func TestSamplePrefersLocalZone(t *testing.T) {
	p := balance.New(balance.Config{Zone: "a"}, rand.New(rand.NewPCG(1, 1)))
	var candidates []balance.Candidate
	for i := range 12 {
		candidates = append(candidates, balance.Candidate{ID: strconv.Itoa(i), Zone: string(rune('a' + i%4)), Slots: 6})
	}
	for range 100 {
		home := 0
		for _, i := range p.Sample(epoch, "svc", candidates, nil, 4, 3) {
			if candidates[i].Zone == "a" {
				home++
			}
		}
		assert.Equal(t, home, 3)
	}
}
