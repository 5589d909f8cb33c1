// Package retry decides whether a failed attempt is retried and whether a slow one is
// hedged, within budgets. The policy is deterministic: the caller passes in the time, and
// there is no I/O. It is not safe for concurrent use; the entry node calls it under its
// own lock.
package retry

import (
	"time"

	"github.com/chicorylever/chicorylever/internal/coordination/budget"
)

// Defaults of Config and fixed limits.
const (
	defaultRetryShare          = 0.2
	defaultMinRetriesPerSecond = 2.0
	defaultHedgeShare          = 0.02
	defaultMaxAttempts         = 3
	// maxRefusals is the number of refusals by nodes after which a request is not retried.
	maxRefusals = 4
)

// Config holds the parameters of a Policy. Zero values take the defaults.
type Config struct {
	// RetryShare is the share of first attempts that may be retried.
	RetryShare float64
	// MinRetriesPerSecond is the rate of retries that is allowed in addition to RetryShare.
	MinRetriesPerSecond float64
	// HedgeShare is the share of first attempts that may be hedged, summed over all nodes.
	HedgeShare float64
	// MaxAttempts is the largest number of attempts of one request at this hop, the first
	// one included.
	MaxAttempts int
	// ClusterLimit bounds the retries and hedges of all nodes together. When it is set,
	// RetryShare and MinRetriesPerSecond are not used; HedgeShare applies in addition.
	ClusterLimit budget.Limit
	// Nodes is the number of nodes between which ClusterLimit is divided.
	Nodes int
}

func (c Config) withDefaults() Config {
	if c.RetryShare == 0 {
		c.RetryShare = defaultRetryShare
	}
	if c.MinRetriesPerSecond == 0 {
		c.MinRetriesPerSecond = defaultMinRetriesPerSecond
	}
	if c.HedgeShare == 0 {
		c.HedgeShare = defaultHedgeShare
	}
	if c.MaxAttempts == 0 {
		c.MaxAttempts = defaultMaxAttempts
	}
	return c
}

// Failure describes an attempt that did not produce a complete response.
type Failure struct {
	// NotRun is set when nothing was written to an upstream.
	NotRun bool
	// Repeatable is set when the rules of the configuration document allow the request to
	// run more than once.
	Repeatable bool
	// Resendable is set when the whole request body is buffered and no part of a response
	// was forwarded to the caller.
	Resendable bool
	// Retried is set when a called service already retried (Chicory-Retried header).
	Retried bool
	// Attempts is the number of attempts made so far at this hop, hedges included. A caller
	// that sets Refused leaves out the attempts that nodes refused.
	Attempts int
	// MaxAttempts overrides the limit of the policy when it is not 0.
	MaxAttempts int
	// Refused is set when the attempt did not reach an upstream. Retrying it then adds no
	// load to an upstream, so that it needs no budget.
	Refused bool
	// Refusals is the number of attempts that did not reach an upstream.
	Refusals int
	// Remaining is the time until the deadline.
	Remaining time.Duration
}

// Verdict is the decision whether a failed attempt is retried. The zero value allows the
// retry.
type Verdict uint8

const (
	// VerdictRetry allows a retry. It was charged to the budget unless the attempt was
	// refused.
	VerdictRetry Verdict = iota
	// VerdictNotRepeatable forbids a retry: the request may have run and must not run twice.
	VerdictNotRepeatable
	// VerdictNotResendable forbids a retry: the body is no longer buffered or a part of the
	// response was forwarded.
	VerdictNotResendable
	// VerdictRetriedByCallee forbids a retry: a called service nearer to the failure
	// already retried.
	VerdictRetriedByCallee
	// VerdictMaxAttempts forbids a retry: the maximum number of attempts or of refusals is
	// reached.
	VerdictMaxAttempts
	// VerdictDeadlineTooClose forbids a retry: the remaining time is not above the median
	// latency.
	VerdictDeadlineTooClose
	// VerdictBudgetExhausted forbids a retry: the budget has no token left.
	VerdictBudgetExhausted
)

// StopsCallerRetries reports whether the response to a request that finally failed after
// the given number of attempts must carry Chicory-Retried, which stops the callers'
// retries. This includes an exhausted budget: retries by callers would otherwise multiply
// the attempts just when the budgets are exhausted.
func (v Verdict) StopsCallerRetries(attempts int) bool {
	switch v {
	case VerdictRetriedByCallee, VerdictMaxAttempts, VerdictDeadlineTooClose, VerdictBudgetExhausted:
		return true
	default:
		return attempts > 1
	}
}

// Policy holds the retry and hedge budgets and the latency estimates of one service.
type Policy struct {
	config  Config
	retries Budget
	hedges  Budget
	// nodeBudget is this node's share of Config.ClusterLimit. It replaces retries when it is
	// not nil, and hedgeBudget then replaces hedges.
	nodeBudget  *budget.Share
	hedgeBudget *budget.Share
	latencies   latencyQuantiles
}

// New returns a policy for one service.
func New(now time.Time, config Config) *Policy {
	config = config.withDefaults()
	p := &Policy{
		config:  config,
		retries: NewBudget(now, config.RetryShare, config.MinRetriesPerSecond),
		hedges:  NewBudget(now, config.HedgeShare, 0),
	}
	if config.ClusterLimit.IsSet() {
		p.nodeBudget = budget.NewShare(now, config.ClusterLimit, config.Nodes)
		p.hedgeBudget = budget.NewHedgeShare(now, config.HedgeShare)
	}
	return p
}

// SetNodes updates the number of nodes between which Config.ClusterLimit is divided.
func (p *Policy) SetNodes(nodes int) {
	if p.nodeBudget != nil {
		p.nodeBudget.SetNodes(nodes)
	}
}

// SetShares updates the shares of both budgets, as after a change of the configuration. A
// hedge share of 0 switches hedging off.
func (p *Policy) SetShares(retryShare, hedgeShare float64) {
	p.config.RetryShare = retryShare
	p.config.HedgeShare = hedgeShare
	p.retries.share = retryShare
	p.hedges.setShare(hedgeShare)
	if p.hedgeBudget != nil {
		p.hedgeBudget.SetPerRequest(hedgeShare)
	}
}

// RecordFirstAttempt adds the tokens that one request earns to the budgets. It is called
// once for each request.
func (p *Policy) RecordFirstAttempt(now time.Time) {
	if p.nodeBudget != nil {
		p.nodeBudget.Earn(now)
		p.hedgeBudget.Earn(now)
		return
	}
	p.retries.Earn(now)
	p.hedges.Earn(now)
}

// Decide returns whether a failed attempt may be retried. VerdictRetry means that the
// retry was charged to the budget, unless Refused is set.
func (p *Policy) Decide(now time.Time, f Failure) Verdict {
	switch {
	case !f.NotRun && !f.Repeatable:
		return VerdictNotRepeatable
	case !f.Resendable:
		return VerdictNotResendable
	case f.Retried:
		return VerdictRetriedByCallee
	case f.Attempts >= p.maxAttempts(f) || f.Refusals >= maxRefusals:
		return VerdictMaxAttempts
	case f.Remaining <= p.latencies.median():
		return VerdictDeadlineTooClose
	case !f.Refused && !p.takeRetryToken(now):
		return VerdictBudgetExhausted
	}
	return VerdictRetry
}

func (p *Policy) maxAttempts(f Failure) int {
	if f.MaxAttempts > 0 {
		return f.MaxAttempts
	}
	return p.config.MaxAttempts
}

func (p *Policy) takeRetryToken(now time.Time) bool {
	if p.nodeBudget != nil {
		return p.nodeBudget.Take(now)
	}
	return p.retries.Take(now)
}

// takeHedgeToken takes the tokens of one hedge: with a ClusterLimit one of the hedge share
// and one of the retry limit, or neither.
func (p *Policy) takeHedgeToken(now time.Time) bool {
	if p.nodeBudget == nil {
		return p.hedges.Take(now)
	}
	return p.hedgeBudget.CanTake(now) && p.nodeBudget.Take(now) && p.hedgeBudget.Take(now)
}

// ObserveLatency updates the latency estimates with a complete response.
func (p *Policy) ObserveLatency(latency time.Duration) {
	p.latencies.observe(latency)
}
