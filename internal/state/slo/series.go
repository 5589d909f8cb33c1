// Package slo counts good and bad responses per service in time buckets and
// reports how fast services burn their error budgets.
package slo

import (
	"time"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

const (
	// minuteBuckets keeps one-minute buckets for 6 h.
	minuteBuckets = 6 * 60
	// hourBuckets keeps one-hour buckets for 30 d.
	hourBuckets = 30 * 24
)

// Totals are numbers of good and bad responses.
type Totals struct {
	Good, Bad uint64
}

// All returns the number of all responses.
func (t Totals) All() uint64 { return t.Good + t.Bad }

func (t Totals) plus(other Totals) Totals {
	return Totals{Good: t.Good + other.Good, Bad: t.Bad + other.Bad}
}

// bucket holds the counts from start on, in units of the ring since 1970.
type bucket struct {
	start int64
	Totals
}

// ring is a fixed number of buckets of one length; the oldest are overwritten.
type ring struct {
	unit    time.Duration
	buckets []bucket
}

func newRing(unit time.Duration, size int) ring {
	return ring{unit: unit, buckets: make([]bucket, size)}
}

func (r *ring) index(at time.Time) int64 { return at.UnixMilli() / r.unit.Milliseconds() }

// add counts at a time. Counts older than the ring are left out.
func (r *ring) add(start int64, counts Totals) {
	b := &r.buckets[start%int64(len(r.buckets))]
	switch {
	case b.start > start:
		return
	case b.start < start:
		*b = bucket{start: start}
	}
	b.Totals = b.plus(counts)
}

// sum returns the counts of the last buckets, the one at now included.
func (r *ring) sum(now time.Time, window time.Duration) Totals {
	last := r.index(now)
	first := last - int64(window/r.unit) + 1
	var total Totals
	for _, b := range r.buckets {
		if b.start >= first && b.start <= last {
			total = total.plus(b.Totals)
		}
	}
	return total
}

// at returns the counts of the bucket that lies back buckets before now.
func (r *ring) at(now time.Time, back int64) Totals {
	start := r.index(now) - back
	if b := r.buckets[start%int64(len(r.buckets))]; b.start == start {
		return b.Totals
	}
	return Totals{}
}

func (r *ring) encode() []*wire.BurnBucket {
	var encoded []*wire.BurnBucket
	for _, b := range r.buckets {
		// A bucket without counts matters too: it refuses counts of an older round.
		if b != (bucket{}) {
			encoded = append(encoded, &wire.BurnBucket{Start: b.start, Good: b.Good, Bad: b.Bad})
		}
	}
	return encoded
}

func (r *ring) decode(buckets []*wire.BurnBucket) {
	for _, b := range buckets {
		if b.GetStart() >= 0 {
			r.add(b.GetStart(), Totals{Good: b.GetGood(), Bad: b.GetBad()})
		}
	}
}

// series holds the counts of one service.
type series struct {
	minutes, hours ring
}

func newSeries() *series {
	return &series{minutes: newRing(time.Minute, minuteBuckets), hours: newRing(time.Hour, hourBuckets)}
}

func (s *series) add(at time.Time, counts Totals) {
	s.minutes.add(s.minutes.index(at), counts)
	s.hours.add(s.hours.index(at), counts)
}

// sum takes windows of up to 6 h from the minutes and longer ones from the hours.
func (s *series) sum(now time.Time, window time.Duration) Totals {
	if window <= minuteBuckets*time.Minute {
		return s.minutes.sum(now, window)
	}
	return s.hours.sum(now, window)
}
