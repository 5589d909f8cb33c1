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
	// massWindow is the time within which many late nodes are taken for a fault
	// of this member or its network.
	massWindow = 10 * time.Second
	// massShare and massMinimum bound the late nodes that are taken for failures
	// of the nodes themselves: about one node in five, but at least three.
	massShare   = 0.2
	massMinimum = 3
	// massHold is how long the list is kept after the last sign of a mass expiry.
	// Clients reconnect within seconds; what is still silent then is gone.
	massHold = time.Minute
	// settleHold is how long the list of a member counts as incomplete after its
	// start or after it was cut off: nodes reconnect and leases run out in it.
	settleHold = LeaseDuration + 5*time.Second
	// frozenAfter is the gap between two ticks after which the process is taken
	// to have been stopped, so that missing heartbeats say nothing about nodes.
	frozenAfter = 4 * time.Second
	// expiryShare bounds how many leases are removed in a second.
	expiryShare = 0.02
	// TickInterval is the time between two calls of Tick.
	TickInterval = time.Second
)

// Reasons for keeping the list of instances.
const (
	ReasonStarting   = "starting"
	ReasonNoQuorum   = "no quorum"
	ReasonMassExpiry = "many leases expired"
	ReasonFrozen     = "process was stopped"
)

// guard decides when the last known list is kept.
type guard struct {
	stale  bool
	reason string
	since  time.Time
	// settleUntil and massUntil are the ends of the two kinds of hold.
	settleUntil  time.Time
	massUntil    time.Time
	settleReason string
	lastTick     time.Time
	removals     []time.Time
	allowance    float64
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
func (r *Registry) Tick(now time.Time, contact bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := &r.guard
	elapsed := now.Sub(g.lastTick)
	switch {
	case g.lastTick.IsZero():
		g.settleUntil, g.settleReason = now.Add(settleHold), ReasonStarting
	case elapsed > frozenAfter:
		r.extend(now)
		g.settleUntil, g.settleReason = now.Add(settleHold), ReasonFrozen
	case !contact:
		g.settleUntil, g.settleReason = now.Add(settleHold), ReasonNoQuorum
	}
	g.lastTick = now
	late, recent, clocked := r.lateness(now)
	if recent >= massMinimum && float64(recent) > massShare*float64(clocked) {
		g.massUntil = now.Add(massHold)
	}
	if late == 0 {
		g.massUntil = time.Time{}
	}
	return r.settle(now, elapsed)
}

// decide returns the reason for keeping the list, or an empty string.
func (g *guard) decide(now time.Time) string {
	switch {
	case now.Before(g.settleUntil):
		return g.settleReason
	case now.Before(g.massUntil):
		return ReasonMassExpiry
	}
	return ""
}

// settle applies the decision of a tick.
func (r *Registry) settle(now time.Time, elapsed time.Duration) bool {
	g := &r.guard
	g.reason = g.decide(now)
	stale := g.reason != ""
	turned := stale != g.stale
	g.stale = stale
	if turned {
		g.since = now
		r.signal()
	}
	if !stale {
		r.expire(now, elapsed)
	}
	return turned
}

// extend gives each node the time of a lease to be heard again.
func (r *Registry) extend(now time.Time) {
	for _, l := range r.leases {
		if !l.expires.IsZero() {
			l.expires = now.Add(LeaseDuration)
		}
	}
}

// lateness counts late nodes, those that became late within massWindow whether
// removed or not, and all nodes whose lease this member watches.
func (r *Registry) lateness(now time.Time) (late, recent, clocked int) {
	kept := r.guard.removals[:0]
	for _, at := range r.guard.removals {
		if now.Sub(at) < massWindow {
			kept = append(kept, at)
		}
	}
	r.guard.removals = kept
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
		if since < massWindow {
			recent++
		}
	}
	return late, recent, clocked
}

// lateSince returns the time from which a silent node counts as late.
func (l *lease) lateSince() time.Time { return l.expires.Add(lateAfter - LeaseDuration) }

// expire removes nodes whose lease has run out, at a limited rate.
func (r *Registry) expire(now time.Time, elapsed time.Duration) {
	burst := math.Max(1, expiryShare*float64(len(r.leases)))
	r.guard.allowance = math.Min(burst, r.guard.allowance+burst*elapsed.Seconds())
	for id, l := range r.leases {
		if l.expires.IsZero() || !now.After(l.expires) {
			continue
		}
		if r.guard.allowance < 1 {
			return
		}
		r.guard.allowance--
		r.guard.removals = append(r.guard.removals, l.lateSince())
		r.own.add(id)
		r.remove(id)
	}
}

// Status returns the state of the registry.
func (r *Registry) Status(now time.Time) Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Status{Nodes: len(r.leases), Stale: r.guard.stale, Version: r.log.version}
	if s.Stale {
		s.Reason, s.Since = r.guard.reason, r.guard.since
	}
	s.Late, _, _ = r.lateness(now)
	for _, l := range r.leases {
		if l.owner == "" {
			s.Own++
		}
		if l.GetInstance() != nil && l.shown == nil {
			s.Hidden++
		}
	}
	return s
}
