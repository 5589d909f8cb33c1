package retry

import (
	"time"

	"github.com/chicorylever/chicorylever/internal/coordination/balance"
)

const (
	// minHedgeDelay is the shortest time after which an attempt is hedged.
	minHedgeDelay = 2 * time.Millisecond
	// lateHedgeFactor is the multiple of the p95 latency after which an attempt is hedged
	// although its upstream works at its usual speed: the response may be lost.
	lateHedgeFactor = 2
	// slowHedgeSlowdown is the slowdown from which an upstream counts as slow.
	slowHedgeSlowdown = 1.5
	// maxHedgeUtilization is the share of the places of the quoted upstreams up to which the
	// service has room for hedges. Its load then stays far below that at which queues form.
	maxHedgeUtilization = 0.75
)

// Primary is what the entry node knows of the upstream of the first attempt. The zero value
// means that nothing is known.
type Primary struct {
	// Asked is set when the node beside the upstream was asked for a quote.
	Asked bool
	// Quote is its answer, nil when none has arrived in time.
	Quote *balance.Quote
	// Sent is set when it was asked after the attempt was sent.
	Sent bool
	// Responded is set when the upstream has responded to another request since then.
	Responded bool
	// SlowAtStart is set when it was slow when the attempt was sent. The attempt then remains
	// slow after the upstream has recovered.
	SlowAtStart bool
}

// pace is what Primary says about the response to the first attempt.
type pace uint8

const (
	// paceUnknown means that nothing is known, or only what was known before the attempt.
	paceUnknown pace = iota
	// paceNormal means that the upstream works at its usual speed: the request takes long by
	// itself, or its response is lost.
	paceNormal
	// paceSlow means that the upstream is slow or its queue is long.
	paceSlow
	// paceSilent means that the node beside the upstream has not answered.
	paceSilent
)

// pace returns what is known about the response. The usual latency is the median of the
// service.
func (p Primary) pace(usualLatency time.Duration) pace {
	switch {
	case p.Asked && p.Quote == nil && !p.Responded:
		return paceSilent
	case p.isSlow(usualLatency):
		return paceSlow
	case !p.SlowAtStart && (p.Responded || p.Sent && p.Quote != nil):
		return paceNormal
	default:
		return paceUnknown
	}
}

// isSlow reports whether the quote is that of an upstream that is slow or has a long queue.
func (p Primary) isSlow(usualLatency time.Duration) bool {
	return p.Quote != nil && (p.Quote.Slowdown >= slowHedgeSlowdown || p.Quote.QueueWait >= max(usualLatency, minHedgeDelay))
}

// AfterSending returns what is known once the node beside the upstream was asked again, or
// could not be asked.
func (p Primary) AfterSending(asked bool, quote *balance.Quote, responded bool) Primary {
	wasSlow := p.SlowAtStart || p.Quote != nil && p.Quote.Slowdown >= slowHedgeSlowdown
	return Primary{Asked: asked, Quote: quote, Sent: true, Responded: responded, SlowAtStart: wasSlow}
}

// HedgeDelay returns the time after which an attempt without a response may be hedged: the
// estimated p95 latency of the service; the median if the upstream is silent or slow; and
// lateHedgeFactor times the p95 if it works at its usual speed. It returns false until there
// are enough responses for an estimate, and while hedging is off.
func (p *Policy) HedgeDelay(primary Primary) (time.Duration, bool) {
	p95, known := p.latencies.p95()
	if !known || p.config.HedgeShare == 0 {
		return 0, false
	}
	median := p.latencies.median()
	switch primary.pace(median) {
	case paceSilent, paceSlow:
		return min(p95, max(minHedgeDelay, median)), true
	case paceNormal:
		return lateHedgeFactor * p95, true
	default:
		return p95, true
	}
}

// Hedge describes a second attempt that may be sent.
type Hedge struct {
	// Repeatable is set when the rules of the configuration document allow the request to run
	// more than once.
	Repeatable bool
	// Waited is the time since the first attempt.
	Waited  time.Duration
	Primary Primary
	// Target is the upstream of the second attempt, and TargetQuote its quote, nil without
	// one.
	Target      *balance.Candidate
	TargetQuote *balance.Quote
	// Quotes are those of the upstreams that were asked for the second attempt, nil for those
	// that have not answered.
	Quotes []*balance.Quote
}

// HedgeVerdict is the decision whether a second attempt is sent.
type HedgeVerdict uint8

const (
	// HedgeSend allows the second attempt, which was charged to the budget.
	HedgeSend HedgeVerdict = iota
	// HedgeTooEarly forbids it until HedgeDelay has passed, and for good if the request is not
	// repeatable or hedging is off.
	HedgeTooEarly
	// HedgeNoRoom forbids it: the service is short of places.
	HedgeNoRoom
	// HedgeTargetBusy forbids it: the target is not warm, slow or has no free place.
	HedgeTargetBusy
	// HedgeNoBudget forbids it: the hedge share or the retry limit is used up.
	HedgeNoBudget
)

// HedgeVerdictNames are the names of the verdicts in logs and metrics.
var HedgeVerdictNames = [...]string{"sent", "too_early", "no_room", "target_busy", "no_budget"}

// String implements fmt.Stringer.
func (v HedgeVerdict) String() string { return HedgeVerdictNames[v] }

// TakeHedge decides whether a second attempt is sent.
func (p *Policy) TakeHedge(now time.Time, h Hedge) HedgeVerdict {
	delay, known := p.HedgeDelay(h.Primary)
	switch {
	case !h.Repeatable || !known || h.Waited < delay:
		return HedgeTooEarly
	case !hasRoom(h.Quotes):
		return HedgeNoRoom
	case !canReceiveHedge(h.Target, h.TargetQuote):
		return HedgeTargetBusy
	case !p.takeHedgeToken(now):
		return HedgeNoBudget
	}
	return HedgeSend
}

// hasRoom reports whether the upstreams that have answered have free places for more than
// the requests that are already there. Without an answer it returns true.
func hasRoom(quotes []*balance.Quote) bool {
	busy, places := 0, 0
	for _, quote := range quotes {
		if quote == nil || !quote.Open {
			continue
		}
		busy += quote.Running + quote.Queued
		places += quote.Limit
	}
	return places == 0 || float64(busy) <= maxHedgeUtilization*float64(places)
}

// canReceiveHedge reports whether the candidate is warm and below its concurrency limit, by
// its quote if there is one.
func canReceiveHedge(c *balance.Candidate, quote *balance.Quote) bool {
	if quote != nil {
		return quote.Open && !quote.Cold && quote.QueueWait == 0 && quote.Slowdown < slowHedgeSlowdown &&
			quote.Running+quote.Queued < quote.Limit
	}
	if c.State != balance.StateWarm {
		return false
	}
	limit := c.Slots
	if c.Report.Limit > 0 {
		limit = c.Report.Limit
	}
	return max(c.InFlight, c.Report.InFlight+c.Report.Queued) < limit
}
