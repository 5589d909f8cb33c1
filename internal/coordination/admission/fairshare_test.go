package admission_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/coordination/admission"
)

// The load of one organisation that sends seven times its usual, so that all together send
// 1.3 times what the upstreams can serve.
const (
	// fairCapacity is what an upstream serves in a second when it always has requests.
	fairCapacity = 14.0
	// fairUsualPerSecond is the usual load of all organisations at each upstream.
	fairUsualPerSecond = 0.75 * fairCapacity
	fairHotFactor      = 7.0
	// fairHotShare is the part of the usual load that the hot organisation sends.
	fairHotShare = (1.3/0.75 - 1) / (fairHotFactor - 1)
	// fairTarget is the part of what the small ones would get alone that they must get.
	fairTarget      = 0.9
	hotOrganisation = "hot"
)

// fairSizes are the relative sizes of the other organisations.
var fairSizes = []float64{1, 1, 1, 1, 1, 1, 2, 2, 2, 2, 2, 4, 4, 4, 8, 8, 16}

func fairSizeSum() (sum float64) {
	for _, size := range fairSizes {
		sum += size
	}
	return sum
}

// usualSize returns the usual load of an organisation in the unit of fairSizes.
func usualSize(organisation string) float64 {
	if i, err := strconv.Atoi(organisation); err == nil {
		return fairSizes[i]
	}
	return fairHotShare / (1 - fairHotShare) * fairSizeSum()
}

func drawOrganisation(random *rand.Rand) string {
	left := random.Float64() * fairSizeSum()
	last := len(fairSizes) - 1
	for i := range last {
		if left -= fairSizes[i]; left < 0 {
			return strconv.Itoa(i)
		}
	}
	return strconv.Itoa(last)
}

// hotLoad returns the load in which the hot organisation sends a multiple of its usual.
func hotLoad(upstreams int, hotFactor float64) burstLoad {
	perSecond := fairUsualPerSecond * float64(upstreams)
	hot := func(at time.Duration) float64 {
		if at >= burstStart && at < burstEnd {
			return fairHotShare * hotFactor
		}
		return fairHotShare * min(1, hotFactor)
	}
	return burstLoad{
		upstreams: upstreams, objectives: true, ownTime: burstOwnTime, nestedWait: burstNestedWait, length: burstEnd + time.Second, start: burstStart, end: burstEnd, weight: usualSize,
		perSecond: func(at time.Duration) float64 { return perSecond * (1 - fairHotShare + hot(at)) },
		organisation: func(random *rand.Rand, at time.Duration) string {
			if random.Float64() < hot(at)/(1-fairHotShare+hot(at)) {
				return hotOrganisation
			}
			return drawOrganisation(random)
		},
	}
}

// othersInTime returns the share of the requests of all but the hot organisation that meet
// their objective.
func (b *burstSimulation) othersInTime() float64 {
	var sum burstResult
	for organisation, result := range b.byOrganisation {
		if organisation != hotOrganisation {
			sum.requests += result.requests
			sum.inTime += result.inTime
		}
	}
	return sum.inTimeShare()
}

// TestFairShare guards against one organisation that sends far more than usual and so takes
// the places of the others.
func TestFairShare(t *testing.T) {
	for i, upstreams := range []int{22, 39, 94} {
		seed := uint64(i)
		unnamed, equal := hotLoad(upstreams, fairHotFactor), hotLoad(upstreams, fairHotFactor)
		unnamed.hideOrganisations, equal.weight = true, nil
		alone := simulateBurst(seed, hotLoad(upstreams, 0)).othersInTime()
		without, unweighted := simulateBurst(seed, unnamed), simulateBurst(seed, equal)
		with := simulateBurst(seed, hotLoad(upstreams, fairHotFactor))
		t.Logf("%d upstreams: others in time %.2f alone, %.2f without shares, %.2f with equal ones, %.2f by usual size; hot in time %.2f, %.2f, %.2f; all served %.2f, %.2f, %.2f",
			upstreams, alone, without.othersInTime(), unweighted.othersInTime(), with.othersInTime(),
			without.of(hotOrganisation).inTimeShare(), unweighted.of(hotOrganisation).inTimeShare(), with.of(hotOrganisation).inTimeShare(),
			without.result.servedShare(), unweighted.result.servedShare(), with.result.servedShare())
		assert.Check(t, with.othersInTime() >= fairTarget*alone, "%.2f in time, %.2f alone", with.othersInTime(), alone)
	}
}

// TestFullQueueAdmitsOthers guards against slots and a queue that one organisation has filled,
// in which others find no room, and against a queue that grows beyond its bound for them.
func TestFullQueueAdmitsOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	m := warmMachine(now)
	offer := func(organisation string) (admission.Ticket, admission.Verdict) {
		ticket, verdict, _ := m.Offer(now, admission.Request{Organisation: organisation, Objective: now.Add(time.Hour)})
		return ticket, verdict
	}
	small, verdict := offer("small")
	assert.Equal(t, verdict, admission.Admitted)
	m.Release(now, small, admission.Outcome{Result: admission.ResultCancelled})
	for verdict != admission.Refused {
		_, verdict = offer(hotOrganisation)
	}
	full := int(m.Report().GetQueued())
	assert.Equal(t, full, 10)
	_, verdict = offer("small")
	assert.Equal(t, verdict, admission.Admitted, "a slot is left free")
	for range 3 {
		_, verdict = offer("small")
		assert.Equal(t, verdict, admission.Queued)
		refused := 0
		for _, event := range m.Expire(now) {
			assert.Assert(t, !event.Admitted)
			refused++
		}
		assert.Equal(t, refused, 1)
		assert.Equal(t, int(m.Report().GetQueued()), full)
	}
}

// TestSharesAreWithinPriority guards against an organisation of a high priority that waits for
// others, or leaves a slot to others, whose priority is lower.
func TestSharesAreWithinPriority(t *testing.T) {
	now := time.Unix(1000, 0)
	m := warmMachine(now)
	low := admission.Request{Organisation: "low", Priority: 1, Objective: now.Add(time.Hour)}
	high := admission.Request{Organisation: "high", Objective: now.Add(time.Hour)}
	ticket, _, _ := m.Offer(now, low)
	m.Release(now, ticket, admission.Outcome{Result: admission.ResultCancelled})
	var running []admission.Ticket
	for range 4 {
		ticket, verdict, _ := m.Offer(now, high)
		assert.Equal(t, verdict, admission.Admitted)
		running = append(running, ticket)
	}
	_, verdict, _ := m.Offer(now, low)
	assert.Equal(t, verdict, admission.Queued)
	last, verdict, _ := m.Offer(now, high)
	assert.Equal(t, verdict, admission.Queued)
	events := m.Release(now, running[0], admission.Outcome{Result: admission.ResultCancelled})
	assert.Equal(t, len(events), 1)
	assert.Equal(t, events[0].Ticket, last)
}
