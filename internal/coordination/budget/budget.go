// Package budget divides a limit on repeated requests that holds for the sum over all
// nodes into parts that each node keeps by itself. It is pure: time is passed in.
package budget

import "time"

const (
	// usedRatio is the part of the ratio that nodes spend on their own repeats. The rest
	// is left for calls that repeated requests make at other services.
	usedRatio = 0.3
	// usedSlack is the part of the slack that is divided between the nodes. The rest
	// covers what each node has saved.
	usedSlack = 0.5
	// saved is the number of repeats that a node may save.
	saved = 1.0
	// rounding covers the error of added fractions.
	rounding = 1e-9
)

// Total is the limit for a service: in any window, repeats of at most Ratio times the
// requests plus Slack. The zero value is no limit.
type Total struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// IsSet reports whether there is a limit.
func (t Total) IsSet() bool { return t.Window > 0 }

// Part is what one node keeps of the total of a service. It saves at most one repeat, so
// that nodes that were restarted or idle do not spend more together than the limit allows.
type Part struct {
	total  Total
	nodes  int
	tokens float64
	at     time.Time
}

// NewPart returns the part of one of the nodes, with nothing saved.
func NewPart(now time.Time, total Total, nodes int) *Part {
	return &Part{total: total, nodes: max(1, nodes), at: now}
}

// SetNodes takes a new number of nodes.
func (p *Part) SetNodes(nodes int) { p.nodes = max(1, nodes) }

// Earn records a request.
func (p *Part) Earn(now time.Time) {
	p.refill(now)
	p.tokens = min(saved, p.tokens+usedRatio*p.total.Ratio)
}

// Take takes one repeat, or returns false.
func (p *Part) Take(now time.Time) bool {
	p.refill(now)
	if p.tokens < 1-rounding {
		return false
	}
	p.tokens = max(0, p.tokens-1)
	return true
}

func (p *Part) refill(now time.Time) {
	elapsed := now.Sub(p.at)
	if elapsed <= 0 {
		return
	}
	p.at = now
	perSecond := usedSlack * p.total.Slack / p.total.Window.Seconds() / float64(p.nodes)
	p.tokens = min(saved, p.tokens+perSecond*elapsed.Seconds())
}
