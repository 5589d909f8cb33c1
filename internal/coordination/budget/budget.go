// Package budget divides a limit on retries that holds for the sum over all nodes into
// shares that each node enforces on its own. It is pure: time is passed in.
package budget

import "time"

const (
	// usableRatio is the fraction of the retry ratio that nodes spend on their own retries.
	// The rest is left for calls that retried requests make to other services.
	usableRatio = 0.3
	// usableSlack is the fraction of the slack that is divided among the nodes. The rest
	// covers the tokens that each node may have accumulated.
	usableSlack = 0.5
	// bucketSize is the largest number of tokens that a node can accumulate.
	bucketSize = 1.0
	// roundingTolerance covers the rounding error of summed fractions.
	roundingTolerance = 1e-9
)

// Limit is the retry limit of a service over all nodes: in any window, at most Ratio times
// the number of requests plus Slack. The zero value means no limit.
type Limit struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// IsSet reports whether there is a limit.
func (l Limit) IsSet() bool { return l.Window > 0 }

// Share is one node's share of the retry limit of a service, kept as a token bucket. It
// holds at most one token, so that nodes that were restarted or idle do not together exceed
// the limit.
type Share struct {
	// perRequest is the number of tokens that a request earns, perSecond the number that all
	// nodes together earn in a second.
	perRequest float64
	perSecond  float64
	nodes      int
	tokens     float64
	refilledAt time.Time
}

// NewShare returns the share of one of the nodes, with an empty token bucket.
func NewShare(now time.Time, limit Limit, nodes int) *Share {
	return &Share{
		perRequest: usableRatio * limit.Ratio,
		perSecond:  usableSlack * limit.Slack / limit.Window.Seconds(),
		nodes:      max(1, nodes), refilledAt: now,
	}
}

// NewHedgeShare returns one node's share of a limit on hedges, with an empty token bucket:
// all nodes together hedge at most perRequest times the requests since their starts. In any
// window it is at most one hedge for each node more, the token that it may have saved.
func NewHedgeShare(now time.Time, perRequest float64) *Share {
	return &Share{perRequest: perRequest, nodes: 1, refilledAt: now}
}

// SetPerRequest changes the number of tokens that a request earns. At 0 it removes the saved
// token.
func (s *Share) SetPerRequest(perRequest float64) {
	s.perRequest = perRequest
	if perRequest == 0 {
		s.tokens = 0
	}
}

// SetNodes changes the number of nodes that share the limit.
func (s *Share) SetNodes(nodes int) { s.nodes = max(1, nodes) }

// Earn adds the retry tokens that one request earns.
func (s *Share) Earn(now time.Time) {
	s.refill(now)
	s.tokens = min(bucketSize, s.tokens+s.perRequest)
}

// CanTake reports whether there is a token.
func (s *Share) CanTake(now time.Time) bool {
	s.refill(now)
	return s.tokens >= 1-roundingTolerance
}

// Take takes the token for one retry, or returns false when there is none.
func (s *Share) Take(now time.Time) bool {
	if !s.CanTake(now) {
		return false
	}
	s.tokens = max(0, s.tokens-1)
	return true
}

func (s *Share) refill(now time.Time) {
	elapsed := now.Sub(s.refilledAt)
	if elapsed <= 0 {
		return
	}
	s.refilledAt = now
	perSecond := s.perSecond / float64(s.nodes)
	s.tokens = min(bucketSize, s.tokens+perSecond*elapsed.Seconds())
}
