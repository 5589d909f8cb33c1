package suspension

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDetector guards against executing requests whose deadline passed while the
// process was suspended: a request head that waited in the kernel states more time than
// is left.
func TestDetector(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	cases := []struct {
		name  string
		ticks []int
		read  int
		age   time.Duration
	}{
		{"running", []int{0, 100, 200}, 250, 0},
		{"read before the next tick", []int{0, 100}, 5000, 4900 * time.Millisecond},
		{"read after the next tick", []int{0, 100, 5000}, 5010, 4900 * time.Millisecond},
		{"read long after", []int{0, 100, 5000, 5100, 5200, 5300, 5400, 5500, 5600}, 5610, 0},
	}
	for _, c := range cases {
		detector := &Detector{}
		for _, ms := range c.ticks {
			detector.tick(at(ms))
		}
		assert.Equal(t, detector.MaxMessageDelay(at(c.read)), c.age, c.name)
	}
}
