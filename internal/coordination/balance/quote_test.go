package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chicorylever/chicorylever/internal/coordination/admission"
	"github.com/chicorylever/chicorylever/internal/coordination/balance"
)

// Parameters of the simulation of noisy neighbours: upstreams on shared VMs whose speed
// changes several times a second, with requests that take about as long as a transient
// slowdown lasts.
const (
	noisyStep              = time.Millisecond
	noisyDuration          = 60 * time.Second
	noisyUpstreamCount     = 5
	noisyConcurrencyLimit  = 4
	noisySlowShare         = 0.35 // share of the time in which an upstream is slow
	noisySlowdown          = 4.0
	noisySpeedInterval     = 300 * time.Millisecond // mean time between changes of the speed
	noisyServiceTime       = 160 * time.Millisecond // mean at the usual speed
	noisyLatencyObjective  = 500 * time.Millisecond
	noisyRequestsPerSecond = 40.0
)

type noisyRequest struct {
	arrived          time.Duration // arrival time; step replaces it by the latency at the end
	remainingSeconds float64       // remaining service time at the usual speed
}

type noisyUpstream struct {
	slowdown float64
	running  []noisyRequest
	queue    []noisyRequest
}

// step advances the upstream by noisyStep and passes the requests that end to finished.
func (u *noisyUpstream) step(random *rand.Rand, now time.Duration, finished func(noisyRequest)) {
	if random.Float64() < noisyStep.Seconds()/noisySpeedInterval.Seconds() {
		u.slowdown = 1
		if random.Float64() < noisySlowShare {
			u.slowdown = noisySlowdown
		}
	}
	unfinished := u.running[:0]
	for _, r := range u.running {
		r.remainingSeconds -= noisyStep.Seconds() / u.slowdown
		if r.remainingSeconds > 0 {
			unfinished = append(unfinished, r)
		} else {
			r.arrived = now - r.arrived
			finished(r)
		}
	}
	u.running = unfinished
	for len(u.queue) > 0 && len(u.running) < noisyConcurrencyLimit {
		u.running = append(u.running, u.queue[0])
		u.queue = u.queue[1:]
	}
}

// objectiveMissRate runs the simulation and returns the share of completed requests that
// miss the latency objective.
func objectiveMissRate(seed uint64, choose func(random *rand.Rand, upstreams []*noisyUpstream) int) float64 {
	random := rand.New(rand.NewPCG(seed, 7))
	upstreams := make([]*noisyUpstream, noisyUpstreamCount)
	for i := range upstreams {
		upstreams[i] = &noisyUpstream{slowdown: 1}
	}
	missed, completed := 0, 0
	for now := time.Duration(0); now < noisyDuration; now += noisyStep {
		for _, u := range upstreams {
			u.step(random, now, func(r noisyRequest) {
				completed++
				if r.arrived > noisyLatencyObjective {
					missed++
				}
			})
		}
		if random.Float64() < noisyRequestsPerSecond*noisyStep.Seconds() {
			r := noisyRequest{arrived: now, remainingSeconds: noisyServiceTime.Seconds() * (0.5 + random.Float64())}
			u := upstreams[choose(random, upstreams)]
			u.queue = append(u.queue, r)
		}
	}
	return float64(missed) / float64(completed)
}

func quoteFrom(u *noisyUpstream) *balance.Quote {
	wait := time.Duration(0)
	if ahead := len(u.running) + len(u.queue) - noisyConcurrencyLimit; ahead >= 0 {
		wait = time.Duration(ahead+1) * noisyServiceTime / noisyConcurrencyLimit
	}
	return &balance.Quote{
		QueueWait: wait, Open: true, Running: len(u.running), Queued: len(u.queue), Limit: noisyConcurrencyLimit, ServiceTime: noisyServiceTime, Slowdown: u.slowdown,
	}
}

// TestNoisyNeighbours guards against sending requests to upstreams that are slow at the
// moment. With quotes, less than half as many requests may miss the latency objective as
// with the less loaded of two random upstreams, the choice of an entry node that knows the
// load but not the speed.
func TestNoisyNeighbours(t *testing.T) {
	leastLoadedOfTwo := func(random *rand.Rand, upstreams []*noisyUpstream) int {
		i, j := random.IntN(len(upstreams)), random.IntN(len(upstreams))
		if len(upstreams[i].running)+len(upstreams[i].queue) <= len(upstreams[j].running)+len(upstreams[j].queue) {
			return i
		}
		return j
	}
	bestQuoted := func(_ *rand.Rand, upstreams []*noisyUpstream) int {
		quotes := make([]*balance.Quote, len(upstreams))
		for i, u := range upstreams {
			quotes[i] = quoteFrom(u)
		}
		return balance.Best(quotes, noisyServiceTime)
	}
	for seed := range uint64(3) {
		byLoad, byQuote := objectiveMissRate(seed, leastLoadedOfTwo), objectiveMissRate(seed, bestQuoted)
		t.Logf("seed %d: share of requests over the objective by load %.3f, by quote %.3f", seed, byLoad, byQuote)
		assert.Assert(t, byQuote < byLoad/2, "share of requests over the objective by load %.3f, by quote %.3f", byLoad, byQuote)
	}
}

// TestExpectedIsMonotonic guards against an estimate that prefers the upstream with the
// larger slowdown, queue wait or network delay, or the one that is cold.
func TestExpectedIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 16).Draw(t, "limit")
		q := balance.Quote{
			Open: true, Limit: limit, Running: rapid.IntRange(0, limit).Draw(t, "running"),
			Slowdown:    float64(rapid.IntRange(100, 800).Draw(t, "slowdown")) / 100,
			ServiceTime: time.Duration(rapid.IntRange(1, 2000).Draw(t, "service time")) * time.Millisecond,
		}
		expected := q.Expected(time.Second)
		worse := []balance.Quote{q, q, q, q}
		worse[0].Slowdown *= 1.5
		worse[1].QueueWait += time.Millisecond
		worse[2].Cold = true
		worse[3].NetworkCost += time.Millisecond
		for i := range worse {
			assert.Assert(t, worse[i].Expected(time.Second) >= expected, "worse quote %d is expected sooner", i)
		}
	})
}

// TestBestQuote guards against choosing an upstream that accepts no requests or whose quote
// did not arrive.
func TestBestQuote(t *testing.T) {
	closed := &balance.Quote{}
	slow := &balance.Quote{Open: true, Limit: 4, Slowdown: 4}
	fast := &balance.Quote{Open: true, Limit: 4, Slowdown: 1}
	assert.Equal(t, balance.Best([]*balance.Quote{nil, closed, slow, fast}, time.Second), 3)
	assert.Equal(t, balance.Best([]*balance.Quote{nil, closed}, time.Second), -1)
	assert.Equal(t, balance.Best(nil, time.Second), -1)
	assert.Assert(t, fast.IsIdeal() && !slow.IsIdeal() && !closed.IsIdeal())
}

// Parameters of the simulation of failing upstreams: a part of many upstreams fails some
// requests at once, without a sign in its load or its health.
const (
	greyUpstreamCount     = 94
	greyFailingCount      = 28
	greyFailingShare      = 0.45 // share of the requests that a failing upstream fails
	greyLimit             = 6
	greyRequestsPerSecond = 486.0
	greyServiceTime       = 300 * time.Millisecond
	greySampleSize        = 4
	greyWarmUp            = 4 * time.Second // until the nodes beside the upstreams have observed failures
	greyDuration          = 20 * time.Second
)

// failedShare runs the simulation and returns the share of the requests after greyWarmUp that
// fail. With observed set, quotes contain the failures that the node beside the upstream saw.
func failedShare(seed uint64, observed bool) float64 {
	random := rand.New(rand.NewPCG(seed, 11))
	now := time.Unix(1000, 0)
	start := now
	trackers := make([]admission.FailureTracker, greyUpstreamCount)
	ends := make([][]time.Time, greyUpstreamCount)
	running := func(i int) int {
		unfinished := ends[i][:0]
		for _, end := range ends[i] {
			if end.After(now) {
				unfinished = append(unfinished, end)
			}
		}
		ends[i] = unfinished
		return len(unfinished)
	}
	requests, failed := 0, 0
	for now.Sub(start) < greyDuration {
		now = now.Add(time.Duration(random.ExpFloat64() / greyRequestsPerSecond * float64(time.Second)))
		sample := random.Perm(greyUpstreamCount)[:greySampleSize]
		quotes := make([]*balance.Quote, greySampleSize)
		for k, i := range sample {
			quotes[k] = &balance.Quote{Open: true, Running: running(i), Limit: greyLimit, Slowdown: 1, ServiceTime: greyServiceTime}
			quotes[k].QueueWait = greyServiceTime * time.Duration(max(0, running(i)+1-greyLimit)) / greyLimit
			if observed {
				quotes[k].FailureShare = trackers[i].Share(now)
			}
		}
		chosen := sample[balance.Best(quotes, greyServiceTime)]
		fails := chosen < greyFailingCount && random.Float64() < greyFailingShare
		trackers[chosen].Observe(now, fails)
		if !fails {
			ends[chosen] = append(ends[chosen], now.Add(time.Duration((0.5+random.Float64())*float64(greyServiceTime))))
		}
		if now.Sub(start) < greyWarmUp {
			continue
		}
		requests++
		if fails {
			failed++
		}
	}
	return float64(failed) / float64(requests)
}

// TestFailingUpstreamsAvoided guards against a failing upstream that gets more requests than
// others because failed requests leave it idle. No entry node sees enough of its requests to
// notice by itself.
func TestFailingUpstreamsAvoided(t *testing.T) {
	for seed := range uint64(3) {
		without, with := failedShare(seed, false), failedShare(seed, true)
		t.Logf("seed %d: share of requests that fail: %.3f by load alone, %.3f with observed failures", seed, without, with)
		assert.Assert(t, with < without/4, "%.3f of the requests fail, %.3f by load alone", with, without)
	}
}
