package balance

import "time"

const (
	// slowRest is how much longer a slow spell of a shared VM lasts on average. A node
	// lets work wait for its end where that is quicker.
	slowRest = 300 * time.Millisecond
	// unknownSlowdown is assumed of an upstream that does not tell its speed.
	unknownSlowdown = 1.5
	// coldFactor is how much longer work takes at a cold upstream.
	coldFactor = 2.0
	// crowdingCost times the work is the price of the last free slot. It spreads work
	// over upstreams that could all start it at once.
	crowdingCost = 0.2
)

// Quote is what the node beside an upstream says of it at this moment.
type Quote struct {
	// Open is set when the upstream takes new work.
	Open bool
	// Running, Queued and Limit count the requests that are admitted and waiting, and
	// those that may run at once.
	Running, Queued, Limit int
	// Slowdown is how long work takes now compared to the usual, 0 when unknown.
	Slowdown float64
	// Work is the mean time of a request at the usual speed, 0 when unknown.
	Work time.Duration
	Cold bool
	// Wait is the time until a request can start, without what is left of a slow spell.
	Wait time.Duration
	// Path is the time to and from the upstream.
	Path time.Duration
}

// Expected estimates the time until the response to a request that is sent now. The
// work is that of the service where the upstream's own is unknown.
func (q *Quote) Expected(work time.Duration) time.Duration {
	if q.Work > 0 {
		work = q.Work
	}
	total := q.Path + q.Wait + q.stretched(work)
	if q.Limit <= 0 {
		return total
	}
	return total + time.Duration(crowdingCost*float64(work)*float64(q.Running)/float64(q.Limit))
}

// IsIdeal reports whether no other upstream can be expected to be much faster.
func (q *Quote) IsIdeal() bool {
	return q.Open && !q.Cold && q.Wait == 0 && q.Slowdown > 0 && q.Slowdown <= 1 && 2*(q.Running+q.Queued) < q.Limit
}

// stretched returns the time that work takes that is sent now. It takes the speed at its
// start, or waits for the end of a slow spell. What a cold upstream tells of its speed
// includes that it is cold.
func (q *Quote) stretched(work time.Duration) time.Duration {
	usual, slowdown := 1.0, q.Slowdown
	if q.Cold {
		usual = coldFactor
	}
	if slowdown == 0 {
		slowdown = usual * unknownSlowdown
	}
	return min(time.Duration(slowdown*float64(work)), slowRest+time.Duration(usual*float64(work)))
}

// Best returns the index of the open quote with the shortest expected time, or -1. A
// nil quote is one that did not arrive.
func Best(quotes []*Quote, work time.Duration) int {
	best, shortest := -1, time.Duration(0)
	for i, quote := range quotes {
		if quote == nil || !quote.Open {
			continue
		}
		if expected := quote.Expected(work); best < 0 || expected < shortest {
			best, shortest = i, expected
		}
	}
	return best
}

// Sample returns the indexes of up to count candidates that are worth asking for a
// quote, the first home ones from the entry's zone as far as it has them. A single index is to be used without
// asking. The chosen candidate is passed to Chosen.
func (p *Policy) Sample(now time.Time, service string, candidates []Candidate, tried map[string]bool, count, home int) []int {
	state := p.service(service)
	state.size = len(candidates)
	p.collect(candidates, tried)
	if chosen := p.chooseCold(now, state, candidates); chosen >= 0 {
		return []int{chosen}
	}
	var sample []int
	for _, from := range []*pool{&p.eligible, &p.cold} {
		for len(from.indexes) > 0 && len(sample) < count {
			i := from.draw(p.random, len(sample) < home)
			c := &candidates[i]
			t := p.track(state, c.ID)
			if t.closed(now, c) || c.State == StateEjected || !t.accepts(now, p.random) {
				continue
			}
			sample = append(sample, i)
		}
	}
	return sample
}

// Chosen records that a request is sent to a candidate of a sample. It is followed by
// one Observe.
func (p *Policy) Chosen(c *Candidate) {
	if t, known := p.tracks[c.ID]; known {
		t.sent(c)
	}
}
