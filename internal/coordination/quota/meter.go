package quota

import (
	"sync"
	"time"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

const (
	// usageTime is the time constant over which a node averages its own usage.
	usageTime = 20 * time.Second
	// MinRetryAfter and maxRetryAfter bound the delay that a refused caller is told.
	MinRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// retryScale is the delay at a share of one half.
	retryScale = 500 * time.Millisecond
	permille   = 1000
)

// Decision is the answer to one request of an organisation.
type Decision struct {
	Admitted bool
	// RetryAfter is when the next credit is likely; 0 if admitted.
	RetryAfter time.Duration
	// Share is the share of the requests that the node admits, 1 for all of them.
	Share float64
	// Detached is set when the node has no valid grant and used its own share.
	Detached bool
	// GrantAge is the age of the owner's information, negative before the first grant.
	GrantAge time.Duration
}

// Meter counts the requests of organisations at a node and decides which of them are within
// the quota. It is safe for concurrent use.
type Meter struct {
	bound  Bound
	random func() float64

	mu            sync.Mutex
	sender        string
	start         uint64
	nodes         int
	organisations map[string]*meterEntry
	// startedAt is the time of the first call. Until the first grant it stands for the time
	// of one.
	startedAt time.Time
	// ownerHeardAt is when the owner sent the information in the last grant.
	ownerHeardAt time.Time
	hasGrant     bool
	shares       map[string]float64
	// sequence is that of the last report, pending while it is not acknowledged;
	// acknowledgedAt is the time of the last acknowledgement.
	sequence       uint64
	pending        bool
	acknowledgedAt time.Time
	sweptAt        time.Time
}

// meterEntry holds the counts of one organisation.
type meterEntry struct {
	account
	usage average
	own   ownShare
	// phase accumulates the share; a request is admitted each time it reaches 1.
	phase  float64
	usedAt time.Time
}

// NewMeter returns the meter of a node. random returns numbers in [0, 1).
func NewMeter(sender string, bound Bound, random func() float64) *Meter {
	return &Meter{sender: sender, bound: bound.WithDefaults(), random: random, nodes: 1, organisations: map[string]*meterEntry{}}
}

// SetNodes sets the number of nodes that share the quotas.
func (m *Meter) SetNodes(nodes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nodes = max(1, nodes)
}

// Admit counts a request of an organisation and decides whether it is within the quota. A
// rate of 0 is no limit.
func (m *Meter) Admit(now time.Time, organisation string, rate, burst float64) Decision {
	if rate <= 0 {
		return Decision{Admitted: true, Share: 1}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.begin(now)
	limit := Limit{Rate: rate, Burst: burst}
	entry := m.entry(now, organisation, limit)
	entry.total.offered++
	entry.usedAt = now
	decision := m.decide(now, organisation, entry, limit)
	if decision.Admitted {
		entry.total.admitted++
	}
	if decision.Admitted && !decision.Detached {
		entry.usage.add(now, 1, usageTime)
	}
	return decision
}

// Peek returns the decision that Admit would return now, and counts nothing.
func (m *Meter) Peek(now time.Time, organisation string, rate, burst float64) Decision {
	m.mu.Lock()
	defer m.mu.Unlock()
	if rate <= 0 || m.startedAt.IsZero() {
		return Decision{Admitted: true, Share: 1}
	}
	limit := Limit{Rate: rate, Burst: burst}
	entry := meterEntry{own: ownShare{tokens: m.ownBurst(limit), refilledAt: now}}
	if known := m.organisations[organisation]; known != nil {
		entry = *known
	}
	return m.decide(now, organisation, &entry, limit)
}

func (m *Meter) begin(now time.Time) {
	if m.startedAt.IsZero() {
		m.startedAt, m.ownerHeardAt, m.acknowledgedAt = now, now, now
	}
}

func (m *Meter) entry(now time.Time, organisation string, limit Limit) *meterEntry {
	entry := m.organisations[organisation]
	if entry == nil {
		entry = &meterEntry{phase: m.random(), own: ownShare{refilledAt: now}}
		entry.own.tokens = m.ownBurst(limit)
		m.organisations[organisation] = entry
	}
	return entry
}

func (m *Meter) decide(now time.Time, organisation string, entry *meterEntry, limit Limit) Decision {
	share, listed := m.shares[organisation]
	decision := Decision{GrantAge: now.Sub(m.ownerHeardAt), Share: 1}
	validity := m.bound.grace(limit)
	if listed {
		decision.Share = share
	}
	heldUntil := m.ownerHeardAt.Add(validity)
	if now.Before(heldUntil) {
		heldUntil = now
	}
	own := m.ownRate(heldUntil, entry, limit, listed)
	entry.own.refill(now, own, m.ownBurst(limit))
	switch {
	case decision.GrantAge > validity:
		decision.Detached = true
		decision.Admitted = entry.own.take(m.ownCertainty(limit), m.random)
		decision.Share = min(1, own/limit.Rate)
	default:
		decision.Admitted = entry.admitShare(decision.Share)
		if decision.Admitted {
			entry.own.spend()
		}
	}
	if !decision.Admitted {
		decision.RetryAfter = retryAfter(decision.Share)
	}
	if !m.hasGrant {
		decision.GrantAge = -1
	}
	return decision
}

// admitShare admits the share of the requests. The phase starts at a random value, so that
// the sum over nodes that see one request each has the share as well.
func (e *meterEntry) admitShare(share float64) bool {
	if share >= 1 {
		return true
	}
	e.phase += share
	if e.phase < 1 {
		return false
	}
	e.phase--
	return true
}

// retryAfter returns the delay in which as many credits arise as callers were refused for
// each admitted one, so that returning callers do not raise the demand further.
func retryAfter(share float64) time.Duration {
	if share <= 0 {
		return maxRetryAfter
	}
	delay := (1/share - 1) * float64(retryScale)
	return max(MinRetryAfter, min(maxRetryAfter, time.Duration(delay)))
}

// Return gives back the credit of a request that was admitted and did not run.
func (m *Meter) Return(now time.Time, organisation string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry := m.organisations[organisation]
	if entry == nil || entry.total.returned >= entry.total.admitted {
		return
	}
	entry.total.returned++
	entry.usedAt = now
	entry.usage.add(now, -1, usageTime)
	entry.usage.value = max(0, entry.usage.value)
	entry.own.tokens++
}

// Connect begins reports on a new stream. The totals of the new stream start at zero, and
// begin with what no member has acknowledged. After a silence longer than silenceTimeout
// that is left out, since control has charged an estimate for it.
func (m *Meter) Connect(now time.Time, start uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.begin(now)
	isCharged := now.Sub(m.acknowledgedAt) > silenceTimeout
	for _, entry := range m.organisations {
		if isCharged {
			entry.acknowledged = entry.total
		}
		entry.total = entry.total.minus(entry.acknowledged)
		entry.sent, entry.acknowledged = use{}, use{}
	}
	m.start, m.sequence, m.pending = start, 0, false
	m.acknowledgedAt = now
}

// GrantAge returns the age of the owner's information, or 0 before the first grant.
func (m *Meter) GrantAge(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.hasGrant {
		return 0
	}
	return now.Sub(m.ownerHeardAt)
}

// Report returns the next report on the stream, or nil while the last one is unanswered.
// It lists totals that changed since the last acknowledged report.
func (m *Meter) Report(now time.Time) *wire.QuotaReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.begin(now)
	if m.pending {
		return nil
	}
	m.sweep(now)
	m.sequence++
	m.pending = true
	report := &wire.QuotaReport{Sender: m.sender, SenderStart: m.start, Sequence: m.sequence}
	for organisation, entry := range m.organisations {
		if len(report.Uses) == maxUsesPerReport {
			break
		}
		if use := entry.report(organisation); use != nil {
			report.Uses = append(report.Uses, use)
		}
	}
	return report
}

// sweep removes organisations without a request for idleReset.
func (m *Meter) sweep(now time.Time) {
	if now.Sub(m.sweptAt) < time.Second {
		return
	}
	m.sweptAt = now
	for organisation, entry := range m.organisations {
		if entry.total == entry.acknowledged && now.Sub(entry.usedAt) >= idleReset {
			delete(m.organisations, organisation)
		}
	}
}

// Apply takes the shares of a grant, which acknowledges the report with its sequence.
func (m *Meter) Apply(now time.Time, grant *wire.QuotaGrant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.begin(now)
	if m.pending && grant.GetSequence() == m.sequence {
		m.pending, m.acknowledgedAt = false, now
		for _, entry := range m.organisations {
			entry.acknowledge()
		}
	}
	if grant.GetValidMs() == 0 {
		return
	}
	remaining := min(grantValidity, time.Duration(grant.GetValidMs())*time.Millisecond)
	m.ownerHeardAt, m.hasGrant = now.Add(remaining-grantValidity), true
	m.shares = make(map[string]float64, len(grant.GetShares()))
	for _, share := range grant.GetShares() {
		m.shares[share.GetOrganisation()] = float64(share.GetAdmitPermille()) / permille
	}
}
