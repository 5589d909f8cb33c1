package balance_test

import (
	"math/rand/v2"
	"time"

	"github.com/chicorylever/chicorylever/internal/coordination/balance"
)

// baselinePicker is a simple policy for the comparison. It excludes only instances that are
// leaving, in a zone that is out, or already tried.
type baselinePicker struct {
	choose func(p *baselinePicker, allowed []balance.Candidate) balance.Candidate
	random *rand.Rand
	next   int
}

func (p *baselinePicker) Observe(time.Time, string, balance.Outcome) {}

func (p *baselinePicker) Pick(_ time.Time, _ string, candidates []balance.Candidate, tried map[string]bool) (balance.Candidate, bool) {
	var allowed []balance.Candidate
	for _, c := range candidates {
		if c.State != balance.StateZoneOut && c.State != balance.StateLeaving && !tried[c.ID] {
			allowed = append(allowed, c)
		}
	}
	if len(allowed) == 0 {
		return balance.Candidate{}, false
	}
	return p.choose(p, allowed), true
}

func pickRandom(p *baselinePicker, allowed []balance.Candidate) balance.Candidate {
	return allowed[p.random.IntN(len(allowed))]
}

func pickRoundRobin(p *baselinePicker, allowed []balance.Candidate) balance.Candidate {
	p.next++
	return allowed[p.next%len(allowed)]
}

// pickLeastInFlight chooses the candidate to which the entry node has the fewest requests in
// flight. It breaks ties at random, so that not all entry nodes prefer the first candidate.
func pickLeastInFlight(p *baselinePicker, allowed []balance.Candidate) balance.Candidate {
	offset := p.random.IntN(len(allowed))
	best := allowed[offset]
	for i := range allowed {
		if c := allowed[(offset+i)%len(allowed)]; c.InFlight < best.InFlight {
			best = c
		}
	}
	return best
}

// pickTwoChoices chooses the less loaded of two random candidates, by the load report and
// the entry node's own requests in flight.
func pickTwoChoices(p *baselinePicker, allowed []balance.Candidate) balance.Candidate {
	a, b := pickRandom(p, allowed), pickRandom(p, allowed)
	if knownLoad(b) < knownLoad(a) {
		return b
	}
	return a
}

func knownLoad(c balance.Candidate) int {
	return max(c.InFlight, c.Report.InFlight+c.Report.Queued)
}
