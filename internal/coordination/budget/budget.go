// Package budget divides a limit on retries that holds for the sum over all nodes into
// shares that each node enforces on its own. It is pure: time is passed in.
package budget

import "time"

const (
	// usableRatio is the fraction of the retry ratio that nodes spend on their own retries.
	// The rest is left for calls that retried requests make to other services.
	usableRatio = 0.3
	// usableSlack is the fraction of the slack that is divided among the nodes. The rest
	// covers the tokens that each node may have saved.
	usableSlack = 0.5
	// bucketSize is the number of retries that a node may save up.
	bucketSize = 1.0
	// roundingTolerance covers the rounding error of summed fractions.
	roundingTolerance = 1e-9
)

// Total is the retry limit of a service over all nodes: in any window, at most Ratio times
// the number of requests plus Slack. The zero value means no limit.
type Total struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// IsSet reports whether there is a limit.
func (t Total) IsSet() bool { return t.Window > 0 }

// Part is one node's share of the retry limit of a service, kept as a token bucket. It
// saves at most one retry, so that nodes that were restarted or idle do not together exceed
// the limit.
type Part struct {
	total      Total
	nodes      int
	tokens     float64
	refilledAt time.Time
}

// NewPart returns the share of one of the nodes, with an empty token bucket.
func NewPart(now time.Time, total Total, nodes int) *Part {
	return &Part{total: total, nodes: max(1, nodes), refilledAt: now}
}

// SetNodes changes the number of nodes that share the limit.
func (p *Part) SetNodes(nodes int) { p.nodes = max(1, nodes) }

// Earn adds the retry tokens that one request earns.
func (p *Part) Earn(now time.Time) {
	p.refill(now)
	p.tokens = min(bucketSize, p.tokens+usableRatio*p.total.Ratio)
}

// Take takes the token for one retry, or returns false when there is none.
func (p *Part) Take(now time.Time) bool {
	p.refill(now)
	if p.tokens < 1-roundingTolerance {
		return false
	}
	p.tokens = max(0, p.tokens-1)
	return true
}

func (p *Part) refill(now time.Time) {
	elapsed := now.Sub(p.refilledAt)
	if elapsed <= 0 {
		return
	}
	p.refilledAt = now
	perSecond := usableSlack * p.total.Slack / p.total.Window.Seconds() / float64(p.nodes)
	p.tokens = min(bucketSize, p.tokens+perSecond*elapsed.Seconds())
}
