package rollout

import (
	"flag"
	"fmt"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/state/document"
)

// cell sums the outcomes of one row of the table in docs/policy.md.
type cell struct {
	runs, rolledBack, completed, over, late int
	worstExposed, worstLimit                int
	worstShare                              float64
	worstLastMs, worstEndMs                 int64
}

func (c *cell) add(s scenario, o outcome) {
	c.runs++
	limit := o.requests/10 + 50
	switch o.rollout.State {
	case document.RolloutRolledBack:
		c.rolledBack++
	case document.RolloutCompleted:
		c.completed++
	}
	if o.endMs > s.durationMs {
		c.late++
	}
	if o.exposed > limit {
		c.over++
	}
	if share := float64(o.exposed) / float64(o.requests); share > c.worstShare {
		c.worstShare, c.worstExposed, c.worstLimit = share, o.exposed, limit
	}
	c.worstLastMs = max(c.worstLastMs, o.lastAfterBadMs)
	c.worstEndMs = max(c.worstEndMs, o.endMs)
}

func runMany(s scenario) *cell {
	c := &cell{}
	runs := *runsPerCell
	if s.pattern == "good" {
		runs *= goodRuns
	}
	var mu sync.Mutex
	var group sync.WaitGroup
	slots := make(chan struct{}, 4)
	for i := range max(1, runs) {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			seeded := s
			seeded.seed = *firstSeed + uint64(i)
			o := run(seeded)
			mu.Lock()
			defer mu.Unlock()
			c.add(seeded, o)
		})
	}
	group.Wait()
	return c
}

func (c *cell) row(s scenario) string {
	return fmt.Sprintf("| %s | %d | %s | %d s | %d | %d | %d | %d | %.1f %% (%d of %d) | %d | %d |", s.pattern, s.instances, s.load, s.durationMs/1000,
		c.runs, c.completed, c.rolledBack, c.late, 100*c.worstShare, c.worstExposed, c.worstLimit, c.over, c.worstLastMs)
}

// runsPerCell is the number of runs of each row, 0 for one. A good version has goodRuns times as
// many: 1,008 in all with the 16 of the table in docs/policy.md.
var runsPerCell = flag.Int("rollout-runs", 0, "runs of each row of the table of rollouts")

// firstSeed is the seed of the first run of each row.
var firstSeed = flag.Uint64("rollout-seed", 0, "seed of the first run of each row")

const goodRuns = 7

// TestTable guards against a bad version that gets more than its exposure or a request later than
// rollback_ms after its 50th bad response, and against a good one that is rolled back or late, for
// each pattern, size and load. It prints the rows of the table in docs/policy.md.
func TestTable(t *testing.T) {
	for _, load := range []string{"calm", "burst", "evacuation"} {
		for _, instances := range []int{3, 17, 47} {
			for _, pattern := range []string{"good", "at once", "later", "under load", "one route", "slow at once", "slow later"} {
				s := scenario{instances: instances, durationMs: 30_000, load: load, pattern: pattern}
				c := runMany(s)
				t.Log(c.row(s))
				if pattern == "good" {
					assert.Check(t, c.completed == c.runs && c.late == 0, "%+v", s)
					continue
				}
				assert.Check(t, c.over == 0, "%+v", s)
				assert.Check(t, c.worstLastMs <= 5000, "%+v", s)
			}
		}
	}
}

// TestDurations guards against a rollout of a good version that misses a deadline from 5 s on, and
// prints the exposure for a bad one.
func TestDurations(t *testing.T) {
	for _, duration := range []int64{5000, 10_000, 120_000} {
		for _, pattern := range []string{"good", "at once", "later", "under load", "one route", "slow at once", "slow later"} {
			s := scenario{instances: 17, durationMs: duration, load: "calm", pattern: pattern}
			c := runMany(s)
			t.Log(c.row(s))
			if pattern == "good" {
				assert.Check(t, c.completed == c.runs && c.late == 0, "%+v", s)
			}
		}
	}
}
