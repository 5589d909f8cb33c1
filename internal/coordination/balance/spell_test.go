package balance_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/coordination/balance"
)

// TestSlowSpellCostsItsWork guards against an estimate that takes a slow VM for nearly as
// quick as another: work takes the speed at its start, or waits for the end of the spell.
func TestSlowSpellCostsItsWork(t *testing.T) {
	slow := balance.Quote{Open: true, Limit: 4, Slowdown: 4}
	assert.Equal(t, slow.Expected(40*time.Millisecond), 160*time.Millisecond)
	assert.Equal(t, slow.Expected(160*time.Millisecond), 460*time.Millisecond)
	busy := balance.Quote{Open: true, Limit: 4, Running: 4, Slowdown: 1, Wait: 40 * time.Millisecond}
	assert.Assert(t, busy.Expected(160*time.Millisecond) < slow.Expected(160*time.Millisecond))
}
