package membership

import (
	"math"
	"time"
)

const (
	// lateAfter is the silence after which a node counts as late. It is shorter
	// than the lease, so that a loss of many nodes is noticed before the first
	// of them is removed.
	lateAfter = 2*HeartbeatInterval + HeartbeatInterval/4
	// massExpiryWindow is the time within which many late nodes are taken for a fault
	// of this member or its network.
	massExpiryWindow = 10 * time.Second
	// massExpiryFraction and massMinimum bound the late nodes that are taken for failures
	// of the nodes themselves: about one node in five, but at least three.
	massExpiryFraction = 0.2
	massExpiryMinNodes = 3
	// massExpiryHold is how long the list is kept after the last sign of a mass expiry.
	// Clients reconnect within seconds; what is still silent then is gone.
	massExpiryHold = time.Minute
	// reconnectGracePeriod is how long the list of a member counts as incomplete after its
	// start or after it was cut off: nodes reconnect and leases run out in it.
	reconnectGracePeriod = LeaseDuration + 5*time.Second
	// processPauseThreshold is the gap between two ticks after which the process is taken
	// to have been stopped, so that missing heartbeats say nothing about nodes.
	processPauseThreshold = 4 * time.Second
	// maxExpiredFractionPerSecond bounds how many leases are removed in a second.
	maxExpiredFractionPerSecond = 0.02
	// TickInterval is the time between two calls of Tick.
	TickInterval = time.Second
)

// Reasons for keeping the list of instances.
const (
	ReasonStarting      = "starting"
	ReasonNoQuorum      = "no quorum"
	ReasonMassExpiry    = "many leases expired"
	ReasonProcessPaused = "process was stopped"
)

// expiryGuard decides when the last known list is kept.
type expiryGuard struct {
	stale      bool
	reason     string
	staleSince time.Time
	// graceUntil and massUntil are the ends of the two kinds of hold.
	graceUntil       time.Time
	massExpiryUntil  time.Time
	graceReason      string
	lastTick         time.Time
	expiredLateSince []time.Time
	expiryTokens     float64
}

// Status is the state of the registry for operators.
type Status struct {
	Nodes int `json:"nodes"`
	// Own nodes are connected to this member.
	Own int `json:"own"`
	// Late nodes have missed two heartbeats.
	Late   int    `json:"late"`
	Stale  bool   `json:"stale"`
	Reason string `json:"reason,omitempty"`
	// Since is the time at which the list became stale.
	Since   time.Time `json:"since,omitzero"`
	Version uint64    `json:"version"`
	Hidden  int       `json:"hidden"`
}

// Tick removes nodes whose lease has run out and decides whether the list is
// stale. Call it every TickInterval; contact tells whether the member has
// contact to a quorum. It returns true when staleness began or ended.
//
// The list becomes stale when the member starts, was stopped, has no contact to
// a quorum, or when more than 20 % (at least 3) of the leases went late within
// 10 s. While it is stale no lease expires. It ends 13 s after start, resumption
// or renewed contact, and after a mass expiry as soon as no node is late any
// more or 60 s after the last sign of it; what is still late is then removed at
// a limited rate.
func (r *Registry) Tick(now time.Time, quorumContact bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := &r.expiryGuard
	elapsed := now.Sub(g.lastTick)
	switch {
	case g.lastTick.IsZero():
		g.graceUntil, g.graceReason = now.Add(reconnectGracePeriod), ReasonStarting
	case elapsed > processPauseThreshold:
		r.extendLeases(now)
		g.graceUntil, g.graceReason = now.Add(reconnectGracePeriod), ReasonProcessPaused
	case !quorumContact:
		g.graceUntil, g.graceReason = now.Add(reconnectGracePeriod), ReasonNoQuorum
	}
	g.lastTick = now
	late, recent, clocked := r.countLate(now)
	if recent >= massExpiryMinNodes && float64(recent) > massExpiryFraction*float64(clocked) {
		g.massExpiryUntil = now.Add(massExpiryHold)
	}
	if late == 0 {
		g.massExpiryUntil = time.Time{}
	}
	return r.updateStaleness(now, elapsed)
}

// staleReason returns the reason for keeping the list, or an empty string.
func (g *expiryGuard) staleReason(now time.Time) string {
	switch {
	case now.Before(g.graceUntil):
		return g.graceReason
	case now.Before(g.massExpiryUntil):
		return ReasonMassExpiry
	}
	return ""
}

// updateStaleness applies the decision of a tick.
func (r *Registry) updateStaleness(now time.Time, elapsed time.Duration) bool {
	g := &r.expiryGuard
	g.reason = g.staleReason(now)
	stale := g.reason != ""
	stalenessChanged := stale != g.stale
	g.stale = stale
	if stalenessChanged {
		g.staleSince = now
		r.notifyChanged()
	}
	if !stale {
		r.expireLeases(now, elapsed)
	}
	return stalenessChanged
}

// extendLeases gives each node the time of a lease to be heard again.
func (r *Registry) extendLeases(now time.Time) {
	for _, l := range r.leases {
		if !l.expires.IsZero() {
			l.expires = now.Add(LeaseDuration)
		}
	}
}

// countLate counts late nodes, those that became late within massWindow whether
// removed or not, and all nodes whose lease this member watches.
func (r *Registry) countLate(now time.Time) (late, recent, clocked int) {
	kept := r.expiryGuard.expiredLateSince[:0]
	for _, at := range r.expiryGuard.expiredLateSince {
		if now.Sub(at) < massExpiryWindow {
			kept = append(kept, at)
		}
	}
	r.expiryGuard.expiredLateSince = kept
	recent, clocked = len(kept), len(kept)
	for _, l := range r.leases {
		if l.expires.IsZero() {
			continue
		}
		clocked++
		since := now.Sub(l.lateSince())
		if since <= 0 {
			continue
		}
		late++
		if since < massExpiryWindow {
			recent++
		}
	}
	return late, recent, clocked
}

// lateSince returns the time from which a silent node counts as late.
func (l *lease) lateSince() time.Time { return l.expires.Add(lateAfter - LeaseDuration) }

// expireLeases removes nodes whose lease has run out, at a limited rate.
func (r *Registry) expireLeases(now time.Time, elapsed time.Duration) {
	burst := math.Max(1, maxExpiredFractionPerSecond*float64(len(r.leases)))
	r.expiryGuard.expiryTokens = math.Min(burst, r.expiryGuard.expiryTokens+burst*elapsed.Seconds())
	for id, l := range r.leases {
		if l.expires.IsZero() || !now.After(l.expires) {
			continue
		}
		if r.expiryGuard.expiryTokens < 1 {
			return
		}
		r.expiryGuard.expiryTokens--
		r.expiryGuard.expiredLateSince = append(r.expiryGuard.expiredLateSince, l.lateSince())
		r.localLog.addNode(id)
		r.removeLease(id)
	}
}

// Status returns the state of the registry.
func (r *Registry) Status(now time.Time) Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Status{Nodes: len(r.leases), Stale: r.expiryGuard.stale, Version: r.instanceLog.version}
	if s.Stale {
		s.Reason, s.Since = r.expiryGuard.reason, r.expiryGuard.staleSince
	}
	s.Late, _, _ = r.countLate(now)
	for _, l := range r.leases {
		if l.owner == "" {
			s.Own++
		}
		if l.GetInstance() != nil && l.published == nil {
			s.Hidden++
		}
	}
	return s
}
