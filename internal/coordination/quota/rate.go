package quota

import (
	"math"
	"time"
)

// average is an exponentially weighted rate in events per second. The zero value has seen
// no event.
type average struct {
	value     float64
	updatedAt time.Time
}

// add counts events at now. constant is the time in which the weight of an event falls to
// 1/e.
func (a *average) add(now time.Time, events float64, constant time.Duration) {
	a.value = a.at(now, constant) + events/constant.Seconds()
	if now.After(a.updatedAt) {
		a.updatedAt = now
	}
}

// at returns the rate at now.
func (a *average) at(now time.Time, constant time.Duration) float64 {
	elapsed := now.Sub(a.updatedAt)
	if elapsed <= 0 || a.value == 0 {
		return a.value
	}
	return a.value * math.Exp(-elapsed.Seconds()/constant.Seconds())
}
