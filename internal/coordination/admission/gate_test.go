package admission_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chicorylever/chicorylever/internal/coordination/admission"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// TestGate guards against more concurrent permits than slots, lost wake-ups, and permits that
// leak when a queued caller cancels.
func TestGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := admission.NewGate(admission.Config{StepInterval: time.Millisecond}, time.Now)
		g.Start("first", 4)
		random := rand.New(rand.NewPCG(1, 1))
		var mu sync.Mutex
		var wg sync.WaitGroup
		var running, maxRunning, served, refused int
		for range 4000 {
			serviceTime := time.Duration(random.IntN(10)) * time.Millisecond
			cancelAfter := time.Duration(1+random.IntN(20)) * time.Millisecond
			// Whole milliseconds make admissions, expiries and cancellations coincide.
			time.Sleep(time.Duration(random.IntN(2)) * time.Millisecond)
			wg.Go(func() {
				ctx, cancel := context.WithCancel(t.Context())
				defer time.AfterFunc(cancelAfter, cancel).Stop()
				permit, err := g.Acquire(ctx, admission.Request{})
				mu.Lock()
				if err != nil {
					var refusal *admission.Refusal
					assert.Check(t, errors.As(err, &refusal) && permit == nil)
					refused++
					mu.Unlock()
					return
				}
				served++
				running++
				maxRunning = max(maxRunning, running)
				mu.Unlock()
				time.Sleep(serviceTime)
				mu.Lock()
				running--
				mu.Unlock()
				permit.Release(admission.Outcome{})
				permit.Release(admission.Outcome{Result: admission.ResultConnectRefused})
			})
		}
		wg.Wait()
		assert.Equal(t, maxRunning, 4)
		assert.Assert(t, served > 1000 && refused > 100, "%d served, %d refused", served, refused)
		assert.Equal(t, g.Report().InFlight+g.Report().Queued, uint32(0))
		g.SetLeaving(true)
		_, err := g.Acquire(t.Context(), admission.Request{})
		var refusal *admission.Refusal
		assert.Assert(t, errors.As(err, &refusal))
		assert.Equal(t, refusal.Reason, wire.RefusalReason_REFUSAL_LEAVING)
	})
}

// TestMeasurementBudget guards against more measurements in a window than the budget allows.
func TestMeasurementBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 20).Draw(t, "rate")
		now := time.Unix(1000, 0)
		b := admission.NewMeasurementBudget(now, rate)
		var spent []time.Time
		gaps := rapid.SliceOfN(rapid.SampledFrom([]int{0, 1, 10, 400, 10000}), 1, 100).Draw(t, "gaps")
		for _, gap := range gaps {
			now = now.Add(time.Duration(gap) * time.Millisecond)
			if gap == 1 {
				b.SetRate(now, rate)
			}
			if b.Allow(now) {
				spent = append(spent, now)
			}
		}
		for i := range spent {
			for k := i; k < len(spent); k++ {
				window := spent[k].Sub(spent[i]).Seconds()
				assert.Assert(t, float64(k-i+1) <= 1+rate*window+1e-6, "window of %v s", window)
			}
		}
		counters := b.Counters()
		assert.Equal(t, counters.Spent, uint64(len(spent)))
		assert.Equal(t, counters.Spent+counters.Denied, uint64(len(gaps)))
		assert.Assert(t, float64(counters.Spent) <= counters.Budget+1e-6)
	})
}
