package quota

import "time"

const (
	// ownMargin is the part of an equal share that a node may use beyond its own usage
	// without contact with the owner. Arrivals at random leave a part of it unused:
	// docs/policy.md has the sums over all nodes.
	ownMargin = 0.6
	// limitedUsage is the part of its usage that a node keeps for an organisation that was
	// limited, whose usage over all nodes is the whole rate.
	limitedUsage = 0.8
	// usualUsage is the usual demand in multiples of the rate.
	usualUsage     = 1 / 1.6
	expectedEvents = 3
	// usedTokens is the factor from the requests that all nodes may admit in a window to the
	// number of nodes that may hold a token: in a surge of an organisation with 5 requests a
	// second at 91 entries about half of the entries hold a token and see a request.
	usedTokens = 1.9
)

// ownShare is the token bucket of a node that has no valid grant.
type ownShare struct {
	tokens     float64
	refilledAt time.Time
}

func (s *ownShare) refill(now time.Time, perSecond, burst float64) {
	elapsed := now.Sub(s.refilledAt)
	if elapsed > 0 {
		s.tokens += perSecond * elapsed.Seconds()
		s.refilledAt = now
	}
	s.tokens = min(burst, s.tokens)
}

// take takes the token of a request, or returns false if there is none. The request is
// admitted with the probability certainty.
func (s *ownShare) take(certainty float64, random func() float64) bool {
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return certainty >= 1 || random() < certainty
}

// spend takes the token of a request that a grant admitted.
func (s *ownShare) spend() { s.tokens = max(0, s.tokens-1) }

// ownRate returns the requests per second that the node may admit without a valid grant,
// by its usage until the last one expired. The estimate contains expectedEvents requests of
// an even share of the usual demand: a node that sees one request in 30 s can't tell its
// usage from what it has seen.
func (m *Meter) ownRate(now time.Time, entry *meterEntry, limit Limit, limited bool) float64 {
	equal := limit.Rate / float64(m.nodes)
	if !m.hasGrant {
		return equal
	}
	weight := expectedEvents / (usualUsage * equal)
	seen := entry.usage.at(now, usageTime) * usageTime.Seconds()
	usage := (seen + expectedEvents) / (usageTime.Seconds() + weight)
	if limited {
		usage *= limitedUsage
	}
	return min(limit.Rate, usage+ownMargin*equal)
}

// ownBurst returns the burst of the own share in requests. It is at least 1, since a node may
// see one request of an organisation in 30 s.
func (m *Meter) ownBurst(limit Limit) float64 {
	return 1 + detachedBurst*m.bound.remainder(limit)/float64(m.nodes)
}

// ownCertainty returns the probability with which a token admits a request. It is below 1
// where the nodes' first tokens alone could exceed the bound.
func (m *Meter) ownCertainty(limit Limit) float64 {
	return min(1, usedTokens*m.bound.expected(limit)/float64(m.nodes))
}
