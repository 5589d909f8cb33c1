// Package retry decides whether an attempt is repeated or hedged, within budgets.
// The policy is pure: time is passed in and there is no I/O. It is not safe for
// concurrent use; the entry calls it under its own lock.
package retry

import (
	"time"

	"github.com/chicorylever/chicorylever/internal/coordination/balance"
	"github.com/chicorylever/chicorylever/internal/coordination/budget"
)

// Defaults of Config.
const (
	defaultShare         = 0.2
	defaultFloor         = 2.0
	defaultHedgeShare    = 0.02
	defaultMaxAttempts   = 3
	defaultMinHedgeDelay = 2 * time.Millisecond
	// maxRefusals bounds the nodes that may refuse one request.
	maxRefusals = 4
)

// Config holds the parameters of a Policy. Zero values take the defaults.
type Config struct {
	// Share of first attempts that may be retried.
	Share float64
	// Floor is the number of retries per second that is always allowed.
	Floor float64
	// HedgeShare is the share of first attempts that may be hedged.
	HedgeShare float64
	// MaxAttempts of one request at this hop, the first included.
	MaxAttempts int
	// Total bounds the retries and hedges of all nodes together. When it is set, Share,
	// Floor and HedgeShare are not used.
	Total budget.Total
	// Nodes is the number of nodes that divide Total.
	Nodes int
}

func (c Config) withDefaults() Config {
	if c.Share == 0 {
		c.Share = defaultShare
	}
	if c.Floor == 0 {
		c.Floor = defaultFloor
	}
	if c.HedgeShare == 0 {
		c.HedgeShare = defaultHedgeShare
	}
	if c.MaxAttempts == 0 {
		c.MaxAttempts = defaultMaxAttempts
	}
	return c
}

// Failure describes an attempt that gave no complete response.
type Failure struct {
	// NotRun is set when nothing was written to an upstream.
	NotRun bool
	// Repeatable is set when the document's rules allow running the request twice.
	Repeatable bool
	// Resendable is set when the whole body is held and nothing of a response was
	// passed on.
	Resendable bool
	// Retried is set when a hop below already retried (Chicory-Retried).
	Retried bool
	// Attempts made so far at this hop, hedges included. With Refused, those that nodes
	// refused do not count.
	Attempts int
	// MaxAttempts replaces that of the policy when it is not 0.
	MaxAttempts int
	// Refused is set when no upstream has heard of the attempt. Another one then costs
	// no upstream anything.
	Refused bool
	// Refusals counts such attempts.
	Refusals int
	// Remaining time until the deadline.
	Remaining time.Duration
}

// Verdict is the decision on a failed attempt. The zero value allows the retry.
type Verdict uint8

const (
	// VerdictRetry allows another attempt; it was taken from the budget.
	VerdictRetry Verdict = iota
	// VerdictNotRepeatable forbids it: the request may have run.
	VerdictNotRepeatable
	// VerdictNotResendable forbids it: the body is gone or a response has begun.
	VerdictNotResendable
	// VerdictRetriedBelow forbids it: a hop nearer the failure retried already.
	VerdictRetriedBelow
	// VerdictAttempts forbids it: the largest number of attempts was made.
	VerdictAttempts
	// VerdictDeadline forbids it: too little time remains.
	VerdictDeadline
	// VerdictBudget forbids it: the budget is spent.
	VerdictBudget
)

// StopsRetriesAbove reports whether the response of a request that failed for good
// after the given number of attempts must carry Chicory-Retried. It must also when
// the budget was spent here: callers above would otherwise multiply the attempts at
// the very time at which the budgets are spent.
func (v Verdict) StopsRetriesAbove(attempts int) bool {
	switch v {
	case VerdictRetriedBelow, VerdictAttempts, VerdictDeadline, VerdictBudget:
		return true
	default:
		return attempts > 1
	}
}

// Policy holds the budgets and the latency estimate of one service.
type Policy struct {
	config  Config
	retries Budget
	hedges  Budget
	// total replaces both budgets when it is not nil.
	total   *budget.Part
	latency quantile
}

// New returns a policy for one service.
func New(now time.Time, config Config) *Policy {
	config = config.withDefaults()
	p := &Policy{
		config:  config,
		retries: NewBudget(now, config.Share, config.Floor),
		hedges:  NewBudget(now, config.HedgeShare, 0),
	}
	if config.Total.IsSet() {
		p.total = budget.NewPart(now, config.Total, config.Nodes)
	}
	return p
}

// SetNodes takes a new number of nodes that divide the total.
func (p *Policy) SetNodes(nodes int) {
	if p.total != nil {
		p.total.SetNodes(nodes)
	}
}

// SetShares changes the budgets after a new configuration.
func (p *Policy) SetShares(retryShare, hedgeShare float64) {
	p.config.Share = retryShare
	p.config.HedgeShare = hedgeShare
	p.retries.share = retryShare
	p.hedges.share = hedgeShare
}

// FirstAttempt earns budget; it is called once for each request.
func (p *Policy) FirstAttempt(now time.Time) {
	if p.total != nil {
		p.total.Earn(now)
		return
	}
	p.retries.Earn(now)
	p.hedges.Earn(now)
}

// Decide returns whether another attempt may follow. VerdictRetry takes it from the
// budget.
func (p *Policy) Decide(now time.Time, f Failure) Verdict {
	switch {
	case !f.NotRun && !f.Repeatable:
		return VerdictNotRepeatable
	case !f.Resendable:
		return VerdictNotResendable
	case f.Retried:
		return VerdictRetriedBelow
	case f.Attempts >= p.maxAttempts(f) || f.Refusals >= maxRefusals:
		return VerdictAttempts
	case f.Remaining <= p.latency.median():
		return VerdictDeadline
	case !f.Refused && !p.takeRetry(now):
		return VerdictBudget
	}
	return VerdictRetry
}

func (p *Policy) maxAttempts(f Failure) int {
	if f.MaxAttempts > 0 {
		return f.MaxAttempts
	}
	return p.config.MaxAttempts
}

func (p *Policy) takeRetry(now time.Time) bool {
	if p.total != nil {
		return p.total.Take(now)
	}
	return p.retries.Take(now)
}

func (p *Policy) takeHedge(now time.Time) bool {
	if p.total != nil {
		return p.total.Take(now)
	}
	return p.hedges.Take(now)
}

// ObserveLatency records the latency of a complete response.
func (p *Policy) ObserveLatency(latency time.Duration) {
	p.latency.observe(latency)
}

// HedgeDelay returns the time after which an attempt without a response may be
// hedged: near the p95 of the service. It returns false until enough responses were
// seen.
func (p *Policy) HedgeDelay() (time.Duration, bool) {
	return p.latency.p95()
}

// Hedge returns whether an attempt that has been waiting may be duplicated toward
// the candidate. True takes it from the hedging budget.
func (p *Policy) Hedge(now time.Time, repeatable bool, waited time.Duration, candidate *balance.Candidate) bool {
	delay, known := p.HedgeDelay()
	if !repeatable || !known || waited < delay || !hedgeable(candidate) {
		return false
	}
	return p.takeHedge(now)
}

func hedgeable(c *balance.Candidate) bool {
	if c.State != balance.StateWarm {
		return false
	}
	limit := c.Slots
	if c.Report.Limit > 0 {
		limit = c.Report.Limit
	}
	return max(c.InFlight, c.Report.InFlight+c.Report.Queued) < limit
}
