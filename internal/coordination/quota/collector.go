package quota

import (
	"math"
	"sync"
	"time"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

const (
	// A node gets all shares, or if there are more than maxCommonShares, those of the
	// organisations that it has reported lately, at most maxSharesPerGrant. Grants of more than
	// maxFrequentShares list them only every slowGrantInterval, so that shares of about 24
	// bytes take at most 9 KB/s; the grants in between only acknowledge reports.
	maxCommonShares   = 80
	maxSharesPerGrant = 80
	maxFrequentShares = 30
	slowGrantInterval = 250 * time.Millisecond
	// sweepInterval is the time between two searches for idle totals.
	sweepInterval = time.Second
)

// Collector sums the reports of the nodes of a control member and hands the owner's grants
// back to them. It is safe for concurrent use.
type Collector struct {
	member string
	start  uint64
	// isElsewhere reports whether a node has connected to another member, which then counts
	// its requests.
	isElsewhere func(node string) bool

	mu       sync.Mutex
	nodes    *ledger
	sums     map[string]*sum
	sequence uint64
	// pending is set while the last report is unanswered.
	pending bool
	sweptAt time.Time
	// shares are those of the last grant, most limited first, and grantedAt the time at which
	// the owner sent it.
	shares    []*wire.QuotaShare
	grantedAt time.Time
	hasGrant  bool
}

// sum holds the totals of one organisation over all nodes of the member.
type sum struct {
	account
	// charged is the part of an estimated request that total does not contain yet.
	charged   float64
	changedAt time.Time
}

// NewCollector returns the collector of a member. start must increase with each start of
// the member. isElsewhere reports whether a node has connected to another member; nil stands
// for none.
func NewCollector(member string, start uint64, isElsewhere func(node string) bool) *Collector {
	if isElsewhere == nil {
		isElsewhere = func(string) bool { return false }
	}
	return &Collector{member: member, start: start, isElsewhere: isElsewhere, nodes: newLedger(), sums: map[string]*sum{}}
}

// Observe counts the report of a node.
func (c *Collector) Observe(now time.Time, report *wire.QuotaReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes.observe(now, report, func(organisation string, added use) {
		s := c.sum(organisation)
		s.total = s.total.plus(added)
		s.changedAt = now
	})
}

// Stopped forgets a node that stopped gracefully, so that its last usage is not charged.
func (c *Collector) Stopped(node string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes.remove(node)
}

func (c *Collector) sum(organisation string) *sum {
	s := c.sums[organisation]
	if s == nil {
		s = &sum{}
		c.sums[organisation] = s
	}
	return s
}

// Report returns the sums that changed since the last acknowledged report, for the owner, or
// nil while the last report is unanswered.
func (c *Collector) Report(now time.Time) *wire.QuotaReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending {
		return nil
	}
	c.nodes.charge(now, c.isElsewhere, func(organisation string, admitted float64) { c.chargeSilent(now, organisation, admitted) })
	c.sweep(now)
	c.sequence++
	c.pending = true
	report := &wire.QuotaReport{Sender: c.member, SenderStart: c.start, Sequence: c.sequence}
	for organisation, s := range c.sums {
		if use := s.report(organisation); use != nil {
			report.Uses = append(report.Uses, use)
		}
	}
	return report
}

// chargeSilent counts requests that a silent node may have admitted.
func (c *Collector) chargeSilent(now time.Time, organisation string, admitted float64) {
	s := c.sum(organisation)
	whole := math.Floor(s.charged + admitted)
	s.charged += admitted - whole
	s.total.admitted += uint64(whole) //nolint:gosec // not negative
	s.total.offered += uint64(whole)  //nolint:gosec // not negative
	s.changedAt = now
}

// Connect makes the next report list all sums, for a new owner or a new stream to it.
func (c *Collector) Connect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = false
	for _, s := range c.sums {
		s.sent, s.acknowledged = use{}, use{}
	}
}

func (c *Collector) sweep(now time.Time) {
	if now.Sub(c.sweptAt) < sweepInterval {
		return
	}
	c.sweptAt = now
	c.nodes.sweep(now)
	for organisation, s := range c.sums {
		if now.Sub(s.changedAt) >= idleReset {
			delete(c.sums, organisation)
		}
	}
}

// Apply takes a grant of the owner.
func (c *Collector) Apply(now time.Time, grant *wire.QuotaGrant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending && grant.GetSequence() == c.sequence {
		c.pending = false
		for _, s := range c.sums {
			s.acknowledge()
		}
	}
	if grant.GetValidMs() == 0 {
		return
	}
	remaining := time.Duration(grant.GetValidMs()) * time.Millisecond
	c.grantedAt, c.hasGrant = now.Add(min(0, remaining-grantValidity)), true
	c.shares = grant.GetShares()
}

// Limited returns the number of organisations that the last grant limits.
func (c *Collector) Limited() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.shares)
}

// Grant returns the grant for a node whose report has the sequence. Its validity is what is
// left of that of the owner's grant; it is 0 once that has expired.
func (c *Collector) Grant(now time.Time, node string, sequence uint64) *wire.QuotaGrant {
	c.mu.Lock()
	defer c.mu.Unlock()
	grant := &wire.QuotaGrant{Sequence: sequence}
	remaining := grantValidity - now.Sub(c.grantedAt)
	if !c.hasGrant || remaining < time.Millisecond {
		return grant
	}
	shares := c.sharesFor(node)
	if s := c.nodes.senders[node]; s != nil && len(shares) > maxFrequentShares {
		if now.Sub(s.sharesSentAt) < slowGrantInterval {
			return grant
		}
		s.sharesSentAt = now
	}
	grant.ValidMs = uint32(remaining.Milliseconds()) //nolint:gosec // at most grantValidity
	grant.Shares = shares
	return grant
}

func (c *Collector) sharesFor(node string) []*wire.QuotaShare {
	if len(c.shares) <= maxCommonShares {
		return c.shares
	}
	s := c.nodes.senders[node]
	if s == nil {
		return c.shares[:maxCommonShares]
	}
	var used []*wire.QuotaShare
	for _, share := range c.shares {
		if s.totals[share.GetOrganisation()] != nil && len(used) < maxSharesPerGrant {
			used = append(used, share)
		}
	}
	return used
}
