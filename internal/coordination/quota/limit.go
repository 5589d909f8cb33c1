// Package quota keeps the request rate of an organisation, summed over all nodes, within
// its limit without a message per request. Each node has a Meter, which counts requests and
// admits a share of them; each control member has a Collector, which sums the counts of its
// nodes; the owner, the leader of the replicated log, has an Allocator, which turns the sums
// into the shares. The package is pure: the time and the source of random numbers are passed
// in.
package quota

import (
	"math"
	"time"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

const (
	// ReportInterval is the time between two reports of a node.
	ReportInterval = 100 * time.Millisecond
	// MemberInterval is the time between two reports of a member to the owner.
	MemberInterval = 50 * time.Millisecond
	// memberTimePerUse stretches the time between two reports of a member that list many
	// organisations: 10,000 of them, 250 KB, are sent four times a second.
	memberTimePerUse  = 25 * time.Microsecond
	maxMemberInterval = 250 * time.Millisecond
	// maxUsesPerReport bounds a report of a node. With about 25 bytes for each use and ten
	// reports a second they take at most 7.5 KB/s; other organisations follow in the next.
	maxUsesPerReport = 30
	// grantValidity is how long a grant holds after the owner has sent it.
	grantValidity = 2 * time.Second
	// silenceTimeout is the time without a report after which a sender counts as silent. Its
	// usage is then charged by estimate; the sender leaves what it could not report in that
	// time out of its next report.
	silenceTimeout = time.Second
	// silenceCharge is how long the usage of a silent sender is charged. It covers a lease
	// of 8 s and the time in which a lost connection is noticed.
	silenceCharge = 10 * time.Second
	// idleReset is the time without a change after which a sender drops the totals of an
	// organisation, which start at zero again. The receiver keeps them for longer, so that it
	// never takes an old total for new requests.
	idleReset     = time.Minute
	idleRetention = 90 * time.Second
	// surgeFactor is the highest demand, in multiples of the rate, for which the bound is
	// kept without contact with the owner: 7.5 times the usual demand, which is the rate
	// divided by 1.6.
	surgeFactor = 4.7
	// defaultWindow, defaultOverage and defaultSlack apply to settings that are 0.
	defaultWindow  = 5 * time.Second
	defaultOverage = 0.1
	defaultSlack   = 20
)

// MemberDelay returns the time from a report of a member to its next one.
func MemberDelay(report *wire.QuotaReport) time.Duration {
	return max(MemberInterval, min(maxMemberInterval, time.Duration(len(report.GetUses()))*memberTimePerUse))
}

// Limit is the quota of an organisation: Rate requests per second and a burst. A rate of 0
// is no limit.
type Limit struct{ Rate, Burst float64 }

// Bound states what must hold for each organisation: in any Window at most (rate x window
// + burst) x (1 + Overage) + Slack requests reach an upstream.
type Bound struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// WithDefaults returns the bound with the defaults for fields that are 0.
func (b Bound) WithDefaults() Bound {
	if b.Window == 0 {
		b.Window = defaultWindow
	}
	if b.Overage == 0 {
		b.Overage = defaultOverage
	}
	if b.Slack == 0 {
		b.Slack = defaultSlack
	}
	return b
}

// Requests returns the number of requests that the bound allows in one window.
func (b Bound) Requests(l Limit) float64 {
	return (l.Rate*b.Window.Seconds()+l.Burst)*(1+b.Overage) + b.Slack
}

// Fractions by which the parts of the system use up the bound. The owner refills a bucket
// by refillFactor of the rate, at most 1 + overage, and lets it hold the burst and
// bufferedSlack of the slack; the rest covers the debt that the delay of reports and
// grants causes.
const (
	refillShare   = 0.4
	bufferedSlack = 0.25
	// detachedRate is the part of the rate that the nodes' own shares use in sum, for which
	// the fractions of the remaining bound below are computed.
	detachedRate = 0.9
	// graceFraction of the remaining bound may be used up by nodes that do not know yet that
	// the owner is lost, detachedBurst by the bursts of their own shares.
	graceFraction = 0.3
	detachedBurst = 0.4
	minGrace      = 300 * time.Millisecond
)

// refill returns the requests per second that the owner adds to the bucket.
func (b Bound) refill(l Limit) float64 { return l.Rate * (1 + refillShare*b.Overage) }

// capacity returns the largest level of the owner's bucket, in requests.
func (b Bound) capacity(l Limit) float64 { return l.Burst + bufferedSlack*b.Slack }

// expected returns the bound less two standard deviations of arrivals at random.
func (b Bound) expected(l Limit) float64 {
	requests := b.Requests(l)
	return max(0, requests-2*math.Sqrt(requests))
}

// remainder returns the part of the expected requests that the nodes' own shares leave.
func (b Bound) remainder(l Limit) float64 {
	return max(0, b.expected(l)-detachedRate*l.Rate*b.Window.Seconds())
}

// grace returns how long nodes may admit all requests of an organisation without news from
// the owner: as long as a surge may last without exceeding the bound.
func (b Bound) grace(l Limit) time.Duration {
	seconds := graceFraction * b.remainder(l) / ((surgeFactor - detachedRate) * l.Rate)
	return min(grantValidity, max(minGrace, time.Duration(seconds*float64(time.Second))))
}
