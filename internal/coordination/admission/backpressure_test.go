package admission_test

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/coordination/admission"
)

// nestedRoute is the route of the requests that make nested calls.
const nestedRoute = "nested"

// nestedBucket is the room for nested calls.
type nestedBucket struct {
	tokens float64
	at     time.Time
}

// callNested makes the nested call of a request and reports whether it had room.
func (b *burstSimulation) callNested(u *burstUpstream, r *burstRequest) bool {
	if !r.callsNested {
		return true
	}
	n := &b.nestedBucket
	n.tokens = min(b.load.nestedPerSecond/10, n.tokens+b.load.nestedPerSecond*b.now.Sub(n.at).Seconds())
	n.at = b.now
	hasRoom := n.tokens >= 1
	if hasRoom {
		n.tokens--
	}
	u.nested.Observe(b.now, nestedRoute, !hasRoom)
	return hasRoom
}

func (b *burstSimulation) withBackpressure(u *burstUpstream, r *burstRequest, request admission.Request) admission.Request {
	request.GivesWay = b.load.backpressure && r.callsNested && b.random.Float64() < u.nested.RefusedShare(b.now, nestedRoute)
	return request
}

// TestBackpressure guards against requests that take slots in vain, because the service that
// they call has no room, while others wait. Where no others wait they must not be refused.
func TestBackpressure(t *testing.T) {
	const (
		// maxLost is the share of the requests that may miss their objective for it.
		maxLost = 0.02
		// overloaded is a load of 1.3 times what an upstream can serve, in requests a second.
		overloaded = 1.3 * fairCapacity
	)
	for seed, upstreams := range []int{22, 39, 94} {
		for _, perSecond := range []float64{11, overloaded} {
			load := usualBurst(true)
			load.upstreams, load.length, load.start, load.end = upstreams, 10*time.Second, 2*time.Second, 10*time.Second
			load.perSecond = func(time.Duration) float64 { return perSecond * float64(upstreams) }
			load.nestedShare, load.nestedPerSecond = 0.6, 2.5*float64(upstreams)
			before := simulateBurst(uint64(seed), load).result
			load.backpressure = true
			after := simulateBurst(uint64(seed), load).result
			t.Logf("%d upstreams, %v requests a second each: in time %.2f without, %.2f with; served %.2f, %.2f", upstreams, perSecond,
				before.inTimeShare(), after.inTimeShare(), before.servedShare(), after.servedShare())
			assert.Check(t, after.inTimeShare() >= before.inTimeShare()-maxLost, "%.3f", after.inTimeShare())
			assert.Check(t, perSecond < overloaded || after.inTimeShare() > before.inTimeShare(), "%.3f", after.inTimeShare())
		}
	}
}

// TestNestedRoom guards against records of routes without a bound, and of routes whose nested
// calls have room again.
func TestNestedRoom(t *testing.T) {
	now := time.Unix(1000, 0)
	var room admission.NestedRoom
	for i := range 1000 {
		room.Observe(now, strconv.Itoa(i), false)
		assert.Equal(t, room.RefusedShare(now, strconv.Itoa(i)), 0.0)
		room.Observe(now, strconv.Itoa(i), true)
		assert.Equal(t, room.RefusedShare(now, strconv.Itoa(i)) > 0, i < 256)
	}
	now = now.Add(10 * time.Second)
	room.Observe(now, "0", false)
	assert.Equal(t, room.RefusedShare(now, "0"), 0.0)
}
