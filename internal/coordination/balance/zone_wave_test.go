package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/coordination/balance"
)

// zoneWave is a load that is uneven between availability zones: the callers of zone 0 send
// 1.55 times the mean while those of zone 2 send 0.45 times the mean. A quarter of the
// upstreams is slow at any time.
type zoneWave struct {
	random *rand.Rand
	// endsAt holds the end times of the running requests by upstream.
	endsAt [][]time.Duration
	// slowUntil and fastUntil give the current noise phase by upstream.
	slowUntil, fastUntil []time.Duration
}

const (
	waveZones       = 4
	waveUpstreams   = 40
	waveSlots       = 13
	waveServiceTime = 150 * time.Millisecond
	waveObjective   = 500 * time.Millisecond
	waveRoundTrip   = 8 * time.Millisecond
	wavePerSecond   = 1600.0
)

// quote returns the quote of an upstream for an entry in the given zone.
func (w *zoneWave) quote(now time.Duration, upstream, zone int) *balance.Quote {
	running := w.endsAt[upstream][:0]
	for _, end := range w.endsAt[upstream] {
		if end > now {
			running = append(running, end)
		}
	}
	w.endsAt[upstream] = running
	for w.fastUntil[upstream] <= now {
		w.slowUntil[upstream] = w.fastUntil[upstream] + 300*time.Millisecond
		w.fastUntil[upstream] = w.slowUntil[upstream] + time.Duration(w.random.ExpFloat64()*900)*time.Millisecond
	}
	q := &balance.Quote{Open: true, Running: len(running), Limit: waveSlots, Slowdown: 1, ServiceTime: waveServiceTime}
	if now < w.slowUntil[upstream] {
		q.Slowdown = 4
	}
	if excess := len(running) - waveSlots + 1; excess > 0 {
		q.QueueWait = time.Duration(excess) * waveServiceTime / waveSlots
	}
	if upstream%waveZones != zone {
		q.NetworkCost = waveRoundTrip
	}
	return q
}

// sample returns two upstreams of the zone and two of others.
func (w *zoneWave) sample(zone int) []int {
	var upstreams []int
	for i := range 4 {
		z := zone
		if i >= 2 {
			z = (zone + 1 + w.random.IntN(waveZones-1)) % waveZones
		}
		upstreams = append(upstreams, z+waveZones*w.random.IntN(waveUpstreams/waveZones))
	}
	return upstreams
}

// play returns the shares of requests that are late, that leave the zone, and the number of
// quotes for each request.
func (w *zoneWave) play(sameZoneFirst bool) (late, crossed, asked float64) {
	zoneShares := []float64{1.55, 1, 0.45, 1}
	count := 0.0
	for now := time.Duration(0); now < 20*time.Second; now += time.Duration(w.random.ExpFloat64() / wavePerSecond * float64(time.Second)) {
		zone := w.random.IntN(waveZones)
		if w.random.Float64()*1.55 > zoneShares[zone] {
			continue
		}
		upstreams := w.sample(zone)
		var quotes []*balance.Quote
		for i, upstream := range upstreams {
			if sameZoneFirst && i == 2 && balance.HasIdeal(quotes) {
				break
			}
			quotes = append(quotes, w.quote(now, upstream, zone))
		}
		best := balance.Best(quotes, waveServiceTime)
		took := quotes[best].QueueWait + quotes[best].NetworkCost + time.Duration(quotes[best].Slowdown*float64(waveServiceTime))
		w.endsAt[upstreams[best]] = append(w.endsAt[upstreams[best]], now+took)
		count++
		asked += float64(len(quotes))
		if took > waveObjective {
			late++
		}
		if quotes[best].NetworkCost > 0 {
			crossed++
		}
	}
	return late / count, crossed / count, asked / count
}

func newZoneWave(seed uint64) *zoneWave {
	return &zoneWave{
		random: rand.New(rand.NewPCG(seed, 1)), endsAt: make([][]time.Duration, waveUpstreams),
		slowUntil: make([]time.Duration, waveUpstreams), fastUntil: make([]time.Duration, waveUpstreams),
	}
}

// TestSameZoneFirstUnderZoneWave guards against asking every zone for each request, and
// against keeping requests in a zone whose upstreams have no room. Load: waves of demand that
// differ between zones, upstreams that are slow in turn.
func TestSameZoneFirstUnderZoneWave(t *testing.T) {
	for seed := range uint64(5) {
		lateAll, crossedAll, askedAll := newZoneWave(seed).play(false)
		lateFirst, crossedFirst, askedFirst := newZoneWave(seed).play(true)
		t.Logf("seed %d: late %.4f and %.4f, crossed %.3f and %.3f, asked %.2f and %.2f",
			seed, lateAll, lateFirst, crossedAll, crossedFirst, askedAll, askedFirst)
		assert.Assert(t, lateFirst <= lateAll+0.005)
		assert.Assert(t, crossedFirst < crossedAll)
		assert.Assert(t, askedFirst < 0.8*askedAll)
	}
}
