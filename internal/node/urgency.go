package node

import (
	"math/rand/v2"
	"time"

	"github.com/chicorylever/chicorylever/internal/coordination/overload"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// nestedCallMargin is the time before a request's objective at which the objective of its
// nested calls ends, so that its own response can still reach the caller in time.
const nestedCallMargin = 30 * time.Millisecond

// setUrgency sets the priority, urgency and objective of a call. A call that the upstream
// beside this node makes for a running request is nested: its priority follows from that of
// this parent request, and its objective is the parent's less nestedCallMargin. A call
// whose caller has probably retried after a refusal is late: it gets only the capacity
// that other calls leave.
func (n *Node) setUrgency(c *call) {
	c.priority = c.ownPriority()
	if c.route != nil && c.route.ObjectiveMs > 0 {
		c.objectiveDeadline = c.started.Add(c.route.Objective())
	}
	if !c.isNested { // the parent may have begun after the key was checked
		c.parent, c.isNested = n.upstream.requestTracker.Parent(c.requestID)
	}
	if c.isNested {
		parent := &c.parent
		c.priority, c.urgency, c.parentRequestID = c.nestedPriority(parent), overload.Nested, parent.RequestID
		c.objectiveDeadline = time.Time{}
		if !parent.Objective.IsZero() {
			c.objectiveDeadline = parent.Objective.Add(-nestedCallMargin)
		}
		return
	}
	c.urgency = n.callerUrgency(c)
}

func (n *Node) callerUrgency(c *call) overload.Urgency {
	if c.route == nil || c.callerTimeout == 0 {
		return overload.InTime
	}
	if n.balancer.isCallerRetry(c.route.Name, c.callerTimeout) {
		return overload.Late
	}
	return overload.InTime
}

// recordNestedFailure records the failure of a nested call before the upstream learns of it.
func (n *Node) recordNestedFailure(c *call, failure attemptResult) {
	if c.urgency != overload.Nested {
		return
	}
	n.upstream.requestTracker.CallFailed(c.parentRequestID)
	if failure.outcome == outcomeNotRun && isLackOfRoom(failure.reason) {
		n.upstream.requestTracker.CallRefused(c.parentRequestID)
	}
}

// isLackOfRoom reports whether the reason of a refusal is that the upstreams of the service
// are fully used.
func isLackOfRoom(reason wire.RefusalReason) bool {
	switch reason {
	case wire.RefusalReason_REFUSAL_QUEUE_FULL, wire.RefusalReason_REFUSAL_COLD, wire.RefusalReason_REFUSAL_RATE_LIMITED:
		return true
	default:
		return false
	}
}

// observeNestedRoom records at the end of a request whether its nested calls had room.
func (u *upstream) observeNestedRoom(route, requestID string) {
	refused := u.requestTracker.NestedRefused(requestID)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.nestedRoom.Observe(time.Now(), route, refused)
}

// drawGivesWay decides at random whether a request of the route gives way to others, as often
// as nested calls of such requests have had no room recently.
func (u *upstream) drawGivesWay(route string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	share := u.nestedRoom.RefusedShare(time.Now(), route)
	return share > 0 && rand.Float64() < share
}

func urgencyToWire(urgency overload.Urgency) wire.Urgency {
	switch urgency {
	case overload.Nested:
		return wire.Urgency_URGENCY_NESTED
	case overload.Late:
		return wire.Urgency_URGENCY_LATE
	default:
		return wire.Urgency_URGENCY_UNSPECIFIED
	}
}

func urgencyFromWire(urgency wire.Urgency) overload.Urgency {
	switch urgency {
	case wire.Urgency_URGENCY_NESTED:
		return overload.Nested
	case wire.Urgency_URGENCY_LATE:
		return overload.Late
	default:
		return overload.InTime
	}
}

// slowdownProbeInterval is the interval of probes of a slow upstream while requests wait
// for it to recover.
const slowdownProbeInterval = 25 * time.Millisecond

// watchSlowdown probes a slow upstream while requests are queued for it, so that they
// start as soon as it is as fast as usual.
func (u *upstream) watchSlowdown(path string) {
	u.mu.Lock()
	starts := !u.watchingSlowdown && u.slowdownPercent > normalSlowdownPercent && path != ""
	u.watchingSlowdown = u.watchingSlowdown || starts
	u.mu.Unlock()
	if starts {
		time.AfterFunc(slowdownProbeInterval, func() { u.probeWhileSlow(path) })
	}
}

func (u *upstream) probeWhileSlow(path string) {
	u.refreshLoad(path, u.needsProbeForSpeed, func() {
		hasQueue := u.gate.Report().GetQueued() > 0
		u.mu.Lock()
		u.watchingSlowdown = hasQueue && u.slowdownPercent > normalSlowdownPercent
		again := u.watchingSlowdown
		u.mu.Unlock()
		if again {
			time.AfterFunc(slowdownProbeInterval, func() { u.probeWhileSlow(path) })
		}
	})
}
