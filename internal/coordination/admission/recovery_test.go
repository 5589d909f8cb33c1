package admission_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/coordination/admission"
	"github.com/chicorylever/chicorylever/internal/coordination/overload"
)

// The load when power returns: all upstreams are cold, and the callers of the outage come
// back at once, besides the usual load.
const (
	recoveryColdFor   = 8 * time.Second
	recoveryLength    = 10 * time.Second
	recoveryOutage    = 2 * time.Second // age of the oldest of the callers that come back
	recoveryPerSecond = 12.0            // that a cold upstream states
	// recoveryTarget is the share of the new requests that must meet their objective, the
	// same as in a burst.
	recoveryTarget = burstTarget
)

// recoveryWork is a kind of requests, with the number of them in a second at each upstream.
type recoveryWork struct {
	ownTime, nestedWait time.Duration
	perSecond           float64
}

func recoveryLoad(upstreams int, work recoveryWork, objectives bool) burstLoad {
	perSecond := work.perSecond * float64(upstreams)
	return burstLoad{
		upstreams: upstreams, objectives: objectives, ownTime: work.ownTime, nestedWait: work.nestedWait,
		perSecond: func(time.Duration) float64 { return perSecond },
		length:    recoveryLength, end: recoveryColdFor, coldFor: recoveryColdFor, coldPerSecond: recoveryPerSecond,
		returning: int(perSecond * recoveryOutage.Seconds()), returningAge: recoveryOutage,
	}
}

// TestRecovery guards against a return of power after which most responses are late: requests
// that can't meet their objective any more must leave the slots and the rate of cold
// upstreams to those that can. Requests without objectives miss the target. As many as with
// these must be served at all.
func TestRecovery(t *testing.T) {
	limitedBySlots := recoveryWork{ownTime: burstOwnTime, nestedWait: burstNestedWait, perSecond: 9.5}
	limitedByRate := recoveryWork{ownTime: 50 * time.Millisecond, nestedWait: 30 * time.Millisecond, perSecond: 22}
	for seed, upstreams := range []int{22, 39, 94} {
		for _, work := range []recoveryWork{limitedBySlots, limitedByRate} {
			plain := simulateBurst(uint64(seed), recoveryLoad(upstreams, work, false)).result
			ordered := simulateBurst(uint64(seed), recoveryLoad(upstreams, work, true)).result
			t.Logf("%d upstreams, work %v: new ones in time %.2f plain, %.2f ordered; late %.2f, %.2f; all served %.2f, %.2f",
				upstreams, work.ownTime, plain.inTimeShare(), ordered.inTimeShare(),
				plain.servedShare()-plain.inTimeShare(), ordered.servedShare()-ordered.inTimeShare(),
				plain.allServedShare(), ordered.allServedShare())
			assert.Check(t, ordered.inTimeShare() >= recoveryTarget, "%.2f", ordered.inTimeShare())
			assert.Check(t, ordered.allServedShare() >= plain.allServedShare(), "%.2f served", ordered.allServedShare())
		}
	}
}

// TestColdLateGivesWay guards against late requests that take the slots of a cold upstream, or
// all places in its queue, so that requests with a chance to be in time find none.
func TestColdLateGivesWay(t *testing.T) {
	now := time.Unix(1000, 0)
	m := admission.NewMachine(admission.Config{ColdTolerance: admission.ColdTolerance{Factor: 1, Slack: 64}})
	m.Start(now, "1", 5)
	m.SetWarmup(now, 100, now.Add(time.Hour))
	now = now.Add(time.Second)
	late := admission.Request{Urgency: overload.Late, Deadline: now.Add(time.Minute)}
	verdicts := map[admission.Verdict]int{}
	for range 20 {
		_, verdict, _ := m.Offer(now, late)
		verdicts[verdict]++
	}
	assert.DeepEqual(t, verdicts, map[admission.Verdict]int{admission.Admitted: 2, admission.Queued: 10, admission.Refused: 8})
	inTime := admission.Request{Objective: now.Add(time.Minute), Work: admission.Work{OwnTime: time.Millisecond}}
	for range 2 {
		_, verdict, _ := m.Offer(now, inTime)
		assert.Equal(t, verdict, admission.Admitted)
	}
	_, verdict, _ := m.Offer(now, inTime)
	assert.Equal(t, verdict, admission.Queued)
	events := m.Expire(now)
	assert.Equal(t, len(events), 1, "a late request gives way")
	assert.Assert(t, !events[0].Admitted)
}
