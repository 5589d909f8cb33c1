package balance

import (
	"math"
	"time"
)

// reportHalfLife is the age at which a report counts half.
const reportHalfLife = 50 * time.Millisecond

// score estimates the time until the response in seconds; the lowest is the best.
func (p *Policy) score(now time.Time, c *Candidate, t *track) float64 {
	limit := float64(c.limit())
	load := math.Max(float64(c.InFlight), t.load(c))
	serviceTime := t.serviceTime(now, c)
	wait := math.Max(0, load+1-limit) / limit * serviceTime
	crowding := load / limit * serviceTime
	return serviceTime + wait + crowding + p.roundTrip(c).Seconds()
}

func (p *Policy) roundTrip(c *Candidate) time.Duration {
	if c.RTT > 0 {
		return c.RTT
	}
	if c.Zone == p.config.Zone {
		return 0
	}
	return p.config.CrossZoneRTT
}

// limit returns the concurrency limit in force as far as the entry knows.
func (c *Candidate) limit() int {
	if c.Report.Limit > 0 {
		return c.Report.Limit
	}
	if c.State == StateCold {
		return 1
	}
	return max(1, c.Slots)
}
