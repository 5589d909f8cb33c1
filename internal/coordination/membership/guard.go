package membership

import (
	"math"
	"time"
)

const (
	// lateAfter is the time without a heartbeat after which a node counts as late. It is
	// shorter than the lease, so that a loss of many nodes is detected before the first
	// of them is removed.
	lateAfter = 2*HeartbeatInterval + HeartbeatInterval/4
	// massExpiryWindow is the time within which many nodes that become late count as a
	// mass expiry, which is attributed to a fault of this member or its network.
	massExpiryWindow = 10 * time.Second
	// massExpiryFraction and massExpiryMinNodes are the thresholds of a mass expiry: more
	// than one node in five, and at least three nodes. Fewer late nodes are treated as
	// failures of the nodes themselves.
	massExpiryFraction = 0.2
	massExpiryMinNodes = 3
	// massExpiryHold is how long leases are not expired after a mass expiry was last
	// detected. Nodes reconnect within seconds; those that are still late after this time
	// are treated as failed.
	massExpiryHold = time.Minute
	// reconnectGracePeriod is how long the list of a member is stale after its start, a
	// pause of its process or a loss of quorum contact. In this time nodes reconnect, and
	// the leases of nodes that do not reconnect run out.
	reconnectGracePeriod = LeaseDuration + 5*time.Second
	// processPauseThreshold is the time between two ticks above which the process is
	// assumed to have been paused, so that missing heartbeats do not indicate failed nodes.
	processPauseThreshold = 4 * time.Second
	// maxExpiredFractionPerSecond is the maximum fraction of all leases that expire in a
	// second. At least one lease may expire in a second.
	maxExpiredFractionPerSecond = 0.02
	// TickInterval is the time between two calls of Tick.
	TickInterval = time.Second
)

// Reasons why the list of instances is stale, shown to operators.
const (
	ReasonStarting      = "starting"
	ReasonNoQuorum      = "no quorum"
	ReasonMassExpiry    = "many leases expired"
	ReasonProcessPaused = "process was stopped"
)

// expiryGuard holds the state that decides when the list is stale and leases do not expire.
type expiryGuard struct {
	stale      bool
	reason     string
	staleSince time.Time
	// graceUntil is the end of reconnectGracePeriod, massExpiryUntil of massExpiryHold.
	graceUntil      time.Time
	massExpiryUntil time.Time
	graceReason     string
	lastTick        time.Time
	// expiredLateSince holds the times at which recently expired nodes became late.
	expiredLateSince []time.Time
	// expiryTokens is the level of the token bucket that limits the rate of expiry.
	expiryTokens float64
}

// Status is the state of the registry for operators.
type Status struct {
	Nodes int `json:"nodes"`
	// Local is the number of nodes that are connected to this member.
	Local int `json:"own"`
	// Late nodes have missed two heartbeats.
	Late   int    `json:"late"`
	Stale  bool   `json:"stale"`
	Reason string `json:"reason,omitempty"`
	// Since is the time at which the list became stale.
	Since   time.Time `json:"since,omitzero"`
	Version uint64    `json:"version"`
	// Hidden nodes announce an instance ID or address that a newer node announces too.
	Hidden int `json:"hidden"`
}

// Tick removes nodes whose lease has expired and decides whether the list is
// stale. Call it every TickInterval; quorumContact states whether the member has
// contact with a quorum. It returns true if staleness began or ended.
//
// The list becomes stale when the member starts, its process was paused, it has no
// contact with a quorum, or when more than 20 % (at least 3) of the leases became late
// within 10 s. No lease expires while the list is stale. Staleness ends 13 s after
// start, resumption or renewed quorum contact, and after a mass expiry as soon as no
// node is late or 60 s after the mass expiry was last detected. Nodes that are still
// late are then removed at a limited rate.
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
	late, recentlyLate, monitored := r.countLate(now)
	if recentlyLate >= massExpiryMinNodes && float64(recentlyLate) > massExpiryFraction*float64(monitored) {
		g.massExpiryUntil = now.Add(massExpiryHold)
	}
	if late == 0 {
		g.massExpiryUntil = time.Time{}
	}
	return r.updateStaleness(now, elapsed)
}

// staleReason returns the reason why the list is stale, or an empty string if it is not.
func (g *expiryGuard) staleReason(now time.Time) string {
	switch {
	case now.Before(g.graceUntil):
		return g.graceReason
	case now.Before(g.massExpiryUntil):
		return ReasonMassExpiry
	}
	return ""
}

// updateStaleness sets whether the list is stale and expires leases if it is not. It
// reports whether staleness changed.
func (r *Registry) updateStaleness(now time.Time, elapsed time.Duration) bool {
	g := &r.expiryGuard
	g.reason = g.staleReason(now)
	stale := g.reason != ""
	changed := stale != g.stale
	g.stale = stale
	if changed {
		g.staleSince = now
		r.notifyChanged()
	}
	if !stale {
		r.expireLeases(now, elapsed)
	}
	return changed
}

// extendLeases lets every lease that this member monitors expire LeaseDuration from now,
// so that the nodes can send a heartbeat first.
func (r *Registry) extendLeases(now time.Time) {
	for _, l := range r.leases {
		if !l.expires.IsZero() {
			l.expires = now.Add(LeaseDuration)
		}
	}
}

// countLate counts late nodes, nodes that became late within massExpiryWindow, removed or
// not, and all nodes whose lease this member monitors.
func (r *Registry) countLate(now time.Time) (late, recentlyLate, monitored int) {
	kept := r.expiryGuard.expiredLateSince[:0]
	for _, at := range r.expiryGuard.expiredLateSince {
		if now.Sub(at) < massExpiryWindow {
			kept = append(kept, at)
		}
	}
	r.expiryGuard.expiredLateSince = kept
	recentlyLate, monitored = len(kept), len(kept)
	for _, l := range r.leases {
		if l.expires.IsZero() {
			continue
		}
		monitored++
		since := now.Sub(l.lateSince())
		if since <= 0 {
			continue
		}
		late++
		if since < massExpiryWindow {
			recentlyLate++
		}
	}
	return late, recentlyLate, monitored
}

// lateSince returns the time from which a node without a new heartbeat counts as late.
func (l *lease) lateSince() time.Time { return l.expires.Add(lateAfter - LeaseDuration) }

// expireLeases removes nodes whose lease has expired, at a limited rate.
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

// Status returns the state of the registry at time now.
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
			s.Local++
		}
		if l.GetInstance() != nil && l.published == nil {
			s.Hidden++
		}
	}
	return s
}
