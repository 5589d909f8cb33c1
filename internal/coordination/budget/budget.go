// Package budget divides a limit on repeated requests that holds for the sum over all
// nodes into parts that each node keeps by itself. It is pure: time is passed in.
package budget

import "time"

const (
	// urgentRatio and otherRatio are the parts of the ratio that repeats of the highest
	// rank and of other ranks may use of the requests of their rank. Requests of the
	// highest rank are made by requests that run already, which fail with them; other
	// callers come back by themselves. What is left covers calls that repeated requests
	// make at other services.
	urgentRatio = 0.9
	otherRatio  = 0.3
	// usedSlack is the part of the slack that is divided between nodes and ranks. The
	// rest covers what each node has saved.
	usedSlack = 0.5
	// saved is the number of repeats that a node may save for each rank.
	saved = 1.0
	// rounding covers the error of added fractions.
	rounding = 1e-9
)

// Rank tells apart the requests that share a limit.
type Rank int

const (
	// Urgent requests are those of priority 0.
	Urgent Rank = iota
	// Other requests have a lower rank.
	Other
	ranks
)

// RankOf returns the rank of requests of a route's priority, 0 being the highest.
func RankOf(priority int) Rank {
	if priority == 0 {
		return Urgent
	}
	return Other
}

// Total is the limit for a service: in any window, repeats of at most Ratio times the
// requests plus Slack. The zero value is no limit.
type Total struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// IsSet reports whether there is a limit.
func (t Total) IsSet() bool { return t.Window > 0 }

// Part is what one node keeps of the total of a service. For each rank it saves at most
// one repeat, so that nodes that were restarted or idle do not spend more together than
// the limit allows.
type Part struct {
	total  Total
	nodes  int
	tokens [ranks]float64
	at     time.Time
}

// NewPart returns the part of one of the nodes, with nothing saved.
func NewPart(now time.Time, total Total, nodes int) *Part {
	return &Part{total: total, nodes: max(1, nodes), at: now}
}

// SetNodes takes a new number of nodes.
func (p *Part) SetNodes(nodes int) { p.nodes = max(1, nodes) }

// Earn records a request.
func (p *Part) Earn(now time.Time, rank Rank) {
	p.refill(now)
	ratio := otherRatio
	if rank == Urgent {
		ratio = urgentRatio
	}
	p.add(rank, ratio*p.total.Ratio)
}

// Take takes one repeat, or returns false.
func (p *Part) Take(now time.Time, rank Rank) bool {
	p.refill(now)
	if p.tokens[rank] < 1-rounding {
		return false
	}
	p.tokens[rank] = max(0, p.tokens[rank]-1)
	return true
}

func (p *Part) refill(now time.Time) {
	elapsed := now.Sub(p.at)
	if elapsed <= 0 {
		return
	}
	p.at = now
	perSecond := usedSlack * p.total.Slack / p.total.Window.Seconds() / float64(p.nodes) / float64(ranks)
	for rank := range ranks {
		p.add(rank, perSecond*elapsed.Seconds())
	}
}

func (p *Part) add(rank Rank, tokens float64) {
	p.tokens[rank] = min(saved, p.tokens[rank]+tokens)
}
