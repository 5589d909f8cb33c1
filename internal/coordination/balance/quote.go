package balance

import "time"

const (
	// meanRemainingSlowdownTime is the mean remaining duration of a transient slowdown of a
	// shared VM. The node delays a request until the slowdown has ended when the request then
	// completes earlier.
	meanRemainingSlowdownTime = 300 * time.Millisecond
	// defaultSlowdown is assumed when the slowdown of an upstream is unknown.
	defaultSlowdown = 1.5
	// coldSlowdown is the factor by which requests take longer at a cold upstream.
	coldSlowdown = 2.0
	// utilizationCost is the penalty of a fully utilized upstream as a multiple of the
	// service time. It spreads requests over upstreams that could all start them at once.
	utilizationCost = 0.2
	// failureCost is the penalty of a failed request as a multiple of the service time. An
	// upstream that fails requests fast has few of them and would seem the best choice.
	failureCost = 10.0
	// idealFailureShare is the share of failures up to which an upstream may be ideal.
	idealFailureShare = 0.05
)

// Quote is the current state of an upstream as the node beside it reports it on request.
type Quote struct {
	// Open is set when the upstream accepts new requests.
	Open bool
	// Running is the number of admitted requests, Queued the number of queued ones, and
	// Limit the concurrency limit.
	Running, Queued, Limit int
	// Slowdown is the ratio of the current service time to that at the usual speed, 0 when
	// unknown.
	Slowdown float64
	// ServiceTime is the mean service time of a request at the usual speed, 0 when
	// unknown.
	ServiceTime time.Duration
	// FailureShare is the recent share of the requests that the upstream failed by itself.
	FailureShare float64
	// Cold is set while the upstream is in its cold start.
	Cold bool
	// QueueWait is the expected time that a new request is queued. It does not include the
	// remaining time of a transient slowdown.
	QueueWait time.Duration
	// NetworkCost is the network round trip time to the upstream, plus the penalty for
	// sending a body to another zone.
	NetworkCost time.Duration
}

// Expected estimates the time until the response to a request that is sent now, plus
// penalties for utilization and for failures. The given mean service time of the service is used when that of
// the upstream is unknown.
func (q *Quote) Expected(serviceTime time.Duration) time.Duration {
	if q.ServiceTime > 0 {
		serviceTime = q.ServiceTime
	}
	total := q.NetworkCost + q.QueueWait + q.expectedServiceTime(serviceTime)
	total += time.Duration(failureCost * q.FailureShare * float64(serviceTime))
	if q.Limit <= 0 {
		return total
	}
	return total + time.Duration(utilizationCost*float64(serviceTime)*float64(q.Running)/float64(q.Limit))
}

// IsIdeal reports whether no other upstream can be expected to respond much sooner.
func (q *Quote) IsIdeal() bool {
	return q.Open && !q.Cold && q.FailureShare <= idealFailureShare && q.QueueWait == 0 && q.Slowdown > 0 && q.Slowdown <= 1 && 2*(q.Running+q.Queued) < q.Limit
}

// HasIdeal reports whether one of the quotes is ideal, so that no further upstream needs to be
// asked. A nil quote stands for an upstream whose quote did not arrive.
func HasIdeal(quotes []*Quote) bool {
	for _, quote := range quotes {
		if quote != nil && quote.IsIdeal() {
			return true
		}
	}
	return false
}

// expectedServiceTime returns the time that a request with the given service time at the
// usual speed takes when it is sent now. The request either runs at the speed of its start,
// or is delayed until a transient slowdown has ended. The slowdown that a cold upstream
// reports already includes the effect of the cold start.
func (q *Quote) expectedServiceTime(serviceTime time.Duration) time.Duration {
	baseline, slowdown := 1.0, q.Slowdown
	if q.Cold {
		baseline = coldSlowdown
	}
	if slowdown == 0 {
		slowdown = baseline * defaultSlowdown
	}
	return min(time.Duration(slowdown*float64(serviceTime)), meanRemainingSlowdownTime+time.Duration(baseline*float64(serviceTime)))
}

// Best returns the index of the open quote with the shortest expected time, or -1. A nil
// quote stands for an upstream whose quote did not arrive.
func Best(quotes []*Quote, serviceTime time.Duration) int {
	best, shortest := -1, time.Duration(0)
	for i, quote := range quotes {
		if quote == nil || !quote.Open {
			continue
		}
		if expected := quote.Expected(serviceTime); best < 0 || expected < shortest {
			best, shortest = i, expected
		}
	}
	return best
}

// SampleForQuotes returns the indexes of up to count random candidates to ask for a quote.
// The first localCount of them are in the entry node's zone, as far as there are any. If
// there is a single index, the caller uses that candidate without asking for a quote. The
// caller passes the chosen candidate to RecordSent.
func (p *Policy) SampleForQuotes(now time.Time, service string, candidates []Candidate, tried map[string]bool, count, localCount int) []int {
	svc := p.serviceFor(service)
	svc.instanceCount = len(candidates)
	p.groupCandidates(candidates, tried)
	if chosen := p.pickCold(now, svc, candidates); chosen >= 0 {
		return []int{chosen}
	}
	var sample []int
	for _, pool := range []*candidatePool{&p.warm, &p.cold} {
		for len(pool.indexes) > 0 && len(sample) < count {
			i := pool.draw(p.random, len(sample) < localCount)
			c := &candidates[i]
			inst := p.instanceFor(svc, c.ID)
			if inst.isExcluded(now, c) || c.State == StateEjected || !inst.admitsTraffic(now, p.random) {
				continue
			}
			sample = append(sample, i)
		}
	}
	return sample
}

// RecordSent records that a request is sent to a candidate of a sample. The caller calls
// Observe once when the attempt has ended.
func (p *Policy) RecordSent(c *Candidate) {
	if inst, known := p.instances[c.ID]; known {
		inst.recordSent(c)
	}
}
