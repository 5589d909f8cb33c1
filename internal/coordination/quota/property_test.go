package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// TestAdmittedSumKeepsBound guards against more requests than the bound, whatever order
// reports, losses, duplicates, reconnects and restarts of nodes have, while one organisation
// raises its demand to at most 7.5 times the usual. A lost message breaks its stream, which
// at the highest rate of losses happens to each stream every 25 s.
func TestAdmittedSumKeepsBound(t *testing.T) { checkAdmittedSum(t, 0.002) }

// TestAdmittedSumUnderHeavyLoss is TestAdmittedSumKeepsBound where each stream breaks every
// few seconds, so that most nodes have no valid grant for most of the time.
func TestAdmittedSumUnderHeavyLoss(t *testing.T) { checkAdmittedSum(t, 0.02) }

// checkAdmittedSum checks the bound for losses of up to the share mostLost of the messages.
func checkAdmittedSum(t *testing.T, mostLost float64) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		random := rand.New(rand.NewPCG(seed, 3))
		entries := rapid.SampledFrom([]int{5, 22, 39, 91}).Draw(t, "entries")
		rate := rapid.SampledFrom([]float64{5, 12, 21, 66, 244}).Draw(t, "rate")
		factor := rapid.Float64Range(1, 7.5).Draw(t, "factor")
		begin := time.Duration(rapid.IntRange(1000, 20000).Draw(t, "begin")) * time.Millisecond
		lost := rapid.Float64Range(0, mostLost).Draw(t, "lost")
		repeated := rapid.Float64Range(0, 0.3).Draw(t, "repeated")
		reconnects := rapid.Float64Range(0, 0.05).Draw(t, "reconnects")
		restarts := rapid.Float64Range(0, 0.02).Draw(t, "restarts")
		m := newModel(random, entries, []Limit{{rate, rate}})
		m.disturb = func(sent message) []message { return disturb(random, sent, lost, repeated) }
		l := load{
			factor: func(_ int, at time.Duration) float64 {
				if at >= begin && at < begin+6*time.Second {
					return factor
				}
				return 1
			},
			event: func(m *model, now time.Time, _ time.Duration) {
				if random.Float64() < reconnects {
					m.connect(now, random.IntN(entries))
				}
				if random.Float64() < restarts {
					m.restart(now, random.IntN(entries))
				}
				m.endSilentStreams(now)
			},
		}
		r := run(m, l, entries, []Limit{{rate, rate}}, seed)
		assert.Assert(t, r.worst <= 1, "%.3f of the bound", r.worst)
	})
}

// disturb loses a message or delivers it again later.
func disturb(random *rand.Rand, sent message, lost, repeated float64) []message {
	if random.Float64() < lost {
		return nil
	}
	if random.Float64() >= repeated {
		return []message{sent}
	}
	again := sent
	again.at = again.at.Add(time.Duration(random.IntN(20)) * step)
	return []message{sent, again}
}

// endSilentStreams opens a new stream in place of each on which a message was lost.
func (m *model) endSilentStreams(now time.Time) {
	for entry, meter := range m.meters {
		if meter.pending && now.Sub(meter.acknowledgedAt) > 1600*time.Millisecond {
			m.connect(now, entry)
		}
	}
	for _, member := range m.members {
		if member.pending && now.Sub(member.grantedAt) > 200*time.Millisecond {
			member.Connect()
		}
	}
}

// TestEachRequestIsCountedOnce guards against a node whose requests count twice, or not at
// all, after it has connected to another member with a report unanswered, and against
// repeated and late reports.
func TestEachRequestIsCountedOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	meter := NewMeter("node", Bound{}, func() float64 { return 0 })
	first, second := NewCollector("first", 1, nil), NewCollector("second", 1, nil)
	meter.Connect(now, 1)
	admit := func(count int) {
		for range count {
			assert.Assert(t, meter.Admit(now, "o", 100, 100).Admitted)
		}
	}
	admit(3)
	report := meter.Report(now)
	first.Observe(now, report)
	first.Observe(now, report)
	meter.Apply(now, first.Grant(now, "node", report.GetSequence()))
	admit(2)
	assert.Assert(t, meter.Report(now) != nil) // lost with the stream
	admit(1)
	meter.Return(now, "o")
	meter.Connect(now, 2)
	report = meter.Report(now)
	second.Observe(now, report)
	second.Observe(now, report)
	assert.Equal(t, first.Report(now).GetUses()[0].GetAdmitted(), uint64(3))
	admit(2)
	meter.Apply(now, second.Grant(now, "node", report.GetSequence()))
	second.Observe(now, meter.Report(now))
	second.Observe(now, report)
	uses := second.Report(now).GetUses()[0]
	assert.Assert(t, uses.GetAdmitted() == 5 && uses.GetOffered() == 5 && uses.GetReturned() == 1)
}

// TestSilentMemberIsChargedOnce guards against a member that was cut off from the owner and
// whose usage counts twice: by estimate, and once it reports again.
func TestSilentMemberIsChargedOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	allocator := NewAllocator(Bound{})
	allocator.SetLimits(now, map[string]Limit{"o": {Rate: 100, Burst: 1000}})
	report := func(sequence, total uint64) {
		allocator.Observe(now, &wire.QuotaReport{Sender: "m", SenderStart: 1, Sequence: sequence, Uses: []*wire.QuotaUse{{Organisation: "o", Offered: total, Admitted: total}}})
	}
	for i := range uint64(200) { // 50 requests a second for 10 s
		now = now.Add(50 * time.Millisecond)
		report(i+1, 5*(i+1)/2)
	}
	silentSince, before := now, allocator.buckets["o"].level
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		allocator.Grant(now, 1)
	}
	charged := before + 104*now.Sub(silentSince).Seconds() - allocator.buckets["o"].level
	assert.Assert(t, charged > 230 && charged < 270, "%v", charged)
	level := allocator.buckets["o"].level
	report(201, 500+250)
	assert.Assert(t, level-allocator.buckets["o"].level < 20, "%v", level-allocator.buckets["o"].level)
}

// TestReturnedCreditIsUsable guards against requests that were refused without having run and
// still use up the quota: at twice the rate, of which two thirds are returned, all are
// admitted.
func TestReturnedCreditIsUsable(t *testing.T) {
	m := newModel(rand.New(rand.NewPCG(1, 1)), 10, []Limit{{50, 50}})
	now := time.Unix(1000, 0)
	for s := range 4000 {
		now = now.Add(step)
		if s%2 == 0 {
			entry := m.random.IntN(10)
			assert.Assert(t, m.admit(now, entry, 0, Limit{50, 50}), "after %v", time.Duration(s)*step)
			if s%6 != 0 {
				m.meters[entry].Return(now, m.names[0])
			}
		}
		m.step(now)
	}
}

// TestPeekCountsNothing guards against an explanation that uses up a quota or differs from
// the decision on the next request.
func TestPeekCountsNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	peeked, plain := NewMeter("node", Bound{}, func() float64 { return 0 }), NewMeter("node", Bound{}, func() float64 { return 0 })
	refused := 0
	for i := range 400 {
		at := now.Add(time.Duration(i) * 10 * time.Millisecond)
		expected := plain.Admit(at, "acme", 5, 5)
		if i > 0 {
			for range 3 {
				assert.Equal(t, peeked.Peek(at, "acme", 5, 5), expected)
			}
		}
		assert.Equal(t, peeked.Admit(at, "acme", 5, 5), expected)
		if !expected.Admitted {
			refused++
		}
	}
	assert.Assert(t, refused > 0)
}
