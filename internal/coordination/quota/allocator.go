package quota

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

const (
	// demandTime is the time constant over which the offered rate is averaged.
	demandTime = 250 * time.Millisecond
	// spendTime is the time over which a positive level may be spent, repayTime that over
	// which a debt is paid back. Both are longer than the delay of reports and grants, about
	// 300 ms, so that the control does not oscillate.
	spendTime = 400 * time.Millisecond
	repayTime = 800 * time.Millisecond
	// controlDelay is the typical time from a decision of a node until its effect on the
	// level is known.
	controlDelay = 150 * time.Millisecond
	// learnTime is the time from the first report until a new owner knows the demand; its
	// grants are not valid before.
	learnTime = 100 * time.Millisecond
	// maxDebt is the largest debt in multiples of rate and burst, to which debtSlack is added.
	maxDebt   = 2
	debtSlack = 20
	// minShare keeps some requests flowing, from which the demand is seen.
	minShare = 0.001
	// evaluateInterval bounds how often the shares are computed, whatever the number of
	// grants. With many organisations it is evaluateTime for each of them, 100 ms at 10,000.
	evaluateInterval = MemberInterval / 2
	evaluateTime     = 10 * time.Microsecond
)

// Allocator computes at the owner which share of the requests of each organisation may be
// admitted. It is safe for concurrent use.
type Allocator struct {
	bound Bound

	mu      sync.Mutex
	members *ledger
	limits  map[string]Limit
	buckets map[string]*bucket
	shares  []*wire.QuotaShare

	// startedAt is the time of the first report.
	startedAt, evaluatedAt, sweptAt time.Time
}

// bucket is the token bucket of one organisation. Its level may be negative.
type bucket struct {
	limit      Limit
	level      float64
	refilledAt time.Time
	offered    average
	share      float64
}

// NewAllocator returns the allocator of a new owner.
func NewAllocator(bound Bound) *Allocator {
	members := newLedger()
	members.settlesEstimates = true
	return &Allocator{bound: bound.WithDefaults(), members: members, limits: map[string]Limit{}, buckets: map[string]*bucket{}}
}

// SetLimits replaces the limits of all organisations. The allocator keeps the map.
func (a *Allocator) SetLimits(now time.Time, limits map[string]Limit) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limits = limits
	for organisation, b := range a.buckets {
		b.refill(now, a.bound)
		b.limit = limits[organisation]
		if b.limit.Rate <= 0 {
			delete(a.buckets, organisation)
		}
	}
}

// Observe counts the report of a member. What a member has counted before its first report
// to this owner is not charged, since it was used under an earlier owner.
func (a *Allocator) Observe(now time.Time, report *wire.QuotaReport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.startedAt.IsZero() {
		a.startedAt = now
	}
	a.members.observe(now, report, func(organisation string, added use) {
		if b := a.bucket(now, organisation); b != nil {
			b.refill(now, a.bound)
			b.spend(float64(added.admitted) - float64(added.returned))
			// Returned requests do not count as demand: they use no quota.
			b.offered.add(now, float64(added.offered)-float64(added.returned), demandTime)
		}
	})
}

func (a *Allocator) bucket(now time.Time, organisation string) *bucket {
	b := a.buckets[organisation]
	if b != nil {
		return b
	}
	limit := a.limits[organisation]
	if limit.Rate <= 0 {
		return nil
	}
	b = &bucket{limit: limit, refilledAt: now, share: 1}
	// The burst may have been spent under an earlier owner.
	b.level = bufferedSlack * a.bound.Slack
	a.buckets[organisation] = b
	return b
}

func (b *bucket) refill(now time.Time, bound Bound) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.level += bound.refill(b.limit) * elapsed.Seconds()
		b.refilledAt = now
	}
	b.level = min(b.level, bound.capacity(b.limit))
}

// spend takes credits from the bucket. The debt is bounded, so that no count can shut out an
// organisation for long.
func (b *bucket) spend(credits float64) {
	b.level = max(b.level-credits, -maxDebt*(b.limit.Rate+b.limit.Burst)-debtSlack)
}

// evaluate computes the share that the organisation may admit.
func (b *bucket) evaluate(now time.Time, bound Bound) {
	b.refill(now, bound)
	demand := b.offered.at(now, demandTime)
	refill := bound.refill(b.limit)
	expected := b.level - max(0, b.share*demand-refill)*controlDelay.Seconds()
	spread := spendTime
	if expected < 0 {
		spread = repayTime
	}
	allowed := refill + expected/spread.Seconds()
	b.share = 1
	if demand > allowed {
		b.share = max(minShare, allowed/demand)
	}
}

// Grant returns the grant for a member, in answer to its report with the sequence.
func (a *Allocator) Grant(now time.Time, sequence uint64) *wire.QuotaGrant {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.evaluatedAt) >= max(evaluateInterval, time.Duration(len(a.buckets))*evaluateTime) {
		a.evaluateAll(now)
	}
	grant := &wire.QuotaGrant{Sequence: sequence}
	if !a.startedAt.IsZero() && now.Sub(a.startedAt) >= learnTime {
		grant.ValidMs, grant.Shares = uint32(grantValidity.Milliseconds()), a.shares
	}
	return grant
}

func (a *Allocator) evaluateAll(now time.Time) {
	a.evaluatedAt = now
	notElsewhere := func(string) bool { return false }
	a.members.charge(now, notElsewhere, func(organisation string, admitted float64) {
		if b := a.bucket(now, organisation); b != nil {
			b.refill(now, a.bound)
			b.spend(admitted)
		}
	})
	a.sweep(now)
	var shares []*wire.QuotaShare
	for organisation, b := range a.buckets {
		b.evaluate(now, a.bound)
		if b.share >= 1 {
			continue
		}
		shares = append(shares, &wire.QuotaShare{
			Organisation:  organisation,
			AdmitPermille: uint32(math.Round(b.share * permille)),
			PerSecond:     b.limit.Rate,
		})
	}
	slices.SortFunc(shares, func(x, y *wire.QuotaShare) int {
		return cmp.Or(cmp.Compare(x.GetAdmitPermille(), y.GetAdmitPermille()), cmp.Compare(x.GetOrganisation(), y.GetOrganisation()))
	})
	a.shares = shares
}

// sweep removes the totals of idle organisations. The buckets stay: a new one would begin
// with a part of the burst.
func (a *Allocator) sweep(now time.Time) {
	if now.Sub(a.sweptAt) < sweepInterval {
		return
	}
	a.sweptAt = now
	a.members.sweep(now)
}
