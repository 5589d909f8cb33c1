// Package slo counts good and bad responses per service in time buckets and reports
// the rate at which services consume (burn) their error budgets.
package slo

import (
	"time"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

const (
	// minuteBuckets is the number of one-minute buckets, which cover 6 h.
	minuteBuckets = 6 * 60
	// hourBuckets is the number of one-hour buckets, which cover 30 d.
	hourBuckets = 30 * 24
)

// ResponseCounts holds the numbers of good and bad responses.
type ResponseCounts struct {
	Good, Bad uint64
}

// All returns the number of all responses.
func (c ResponseCounts) All() uint64 { return c.Good + c.Bad }

func (c ResponseCounts) plus(other ResponseCounts) ResponseCounts {
	return ResponseCounts{Good: c.Good + other.Good, Bad: c.Bad + other.Bad}
}

// bucket holds the counts of one time interval. index is the start of the interval,
// counted in bucket lengths since the start of 1970 (Unix epoch).
type bucket struct {
	index int64
	ResponseCounts
}

// bucketRing is a ring buffer of buckets of one length; the oldest are overwritten. The
// position of a bucket is its index modulo the size of the ring.
type bucketRing struct {
	bucketLength time.Duration
	buckets      []bucket
}

func newBucketRing(bucketLength time.Duration, size int) bucketRing {
	return bucketRing{bucketLength: bucketLength, buckets: make([]bucket, size)}
}

func (r *bucketRing) bucketIndex(at time.Time) int64 {
	return at.UnixMilli() / r.bucketLength.Milliseconds()
}

// add adds counts to the bucket with the index. It ignores counts whose bucket has been
// overwritten by a newer one.
func (r *bucketRing) add(index int64, counts ResponseCounts) {
	b := &r.buckets[index%int64(len(r.buckets))]
	switch {
	case b.index > index:
		return
	case b.index < index:
		*b = bucket{index: index}
	}
	b.ResponseCounts = b.plus(counts)
}

// sum returns the counts of the buckets of a window that ends with the bucket that
// contains now.
func (r *bucketRing) sum(now time.Time, window time.Duration) ResponseCounts {
	last := r.bucketIndex(now)
	first := last - int64(window/r.bucketLength) + 1
	var total ResponseCounts
	for _, b := range r.buckets {
		if b.index >= first && b.index <= last {
			total = total.plus(b.ResponseCounts)
		}
	}
	return total
}

// bucketCounts returns the counts of the bucket that is age buckets older than the one
// that contains now.
func (r *bucketRing) bucketCounts(now time.Time, age int64) ResponseCounts {
	index := r.bucketIndex(now) - age
	if b := r.buckets[index%int64(len(r.buckets))]; b.index == index {
		return b.ResponseCounts
	}
	return ResponseCounts{}
}

func (r *bucketRing) encode() []*wire.BurnBucket {
	var encoded []*wire.BurnBucket
	for _, b := range r.buckets {
		// A bucket without counts is encoded too: its index makes add ignore counts of
		// older buckets at the same position.
		if b != (bucket{}) {
			encoded = append(encoded, &wire.BurnBucket{Start: b.index, Good: b.Good, Bad: b.Bad})
		}
	}
	return encoded
}

func (r *bucketRing) decode(buckets []*wire.BurnBucket) {
	for _, b := range buckets {
		if b.GetStart() >= 0 {
			r.add(b.GetStart(), ResponseCounts{Good: b.GetGood(), Bad: b.GetBad()})
		}
	}
}

// series holds the counts of one service.
type series struct {
	minutes, hours bucketRing
}

func newSeries() *series {
	return &series{minutes: newBucketRing(time.Minute, minuteBuckets), hours: newBucketRing(time.Hour, hourBuckets)}
}

func (s *series) add(at time.Time, counts ResponseCounts) {
	s.minutes.add(s.minutes.bucketIndex(at), counts)
	s.hours.add(s.hours.bucketIndex(at), counts)
}

// sum uses the minute buckets for windows of up to 6 h and the hour buckets for longer ones.
func (s *series) sum(now time.Time, window time.Duration) ResponseCounts {
	if window <= minuteBuckets*time.Minute {
		return s.minutes.sum(now, window)
	}
	return s.hours.sum(now, window)
}
