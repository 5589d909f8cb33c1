package node

import (
	"time"

	"github.com/chicorylever/chicorylever/internal/coordination/overload"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// parentReserve is the part of a request's objective that its nested calls leave for the
// way back to the caller.
const parentReserve = 30 * time.Millisecond

// rankUrgency sets rank, urgency and objective of a call. One that the upstream beside this
// node makes for a running request is nested: it ranks no higher than that and is of use
// while that can be in time. One whose caller has come back after a refusal takes what the
// others leave.
func (n *Node) rankUrgency(c *call) {
	if c.route != nil {
		c.rank = c.route.Priority
		if c.route.ObjectiveMs > 0 {
			c.objective = c.started.Add(c.route.Objective())
		}
	}
	if parent, nested := n.upstream.running.Parent(c.name); nested {
		c.rank, c.urgency, c.parent = max(c.rank, parent.Rank), overload.Nested, parent.Name
		c.objective = time.Time{}
		if !parent.Objective.IsZero() {
			c.objective = parent.Objective.Add(-parentReserve)
		}
		return
	}
	c.urgency = n.callerUrgency(c)
}

func (n *Node) callerUrgency(c *call) overload.Urgency {
	if c.route == nil || c.stated == 0 {
		return overload.InTime
	}
	if n.peers.hasReturned(c.route.Name, c.stated) {
		return overload.Late
	}
	return overload.InTime
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

// spellLook is the time between two looks at an upstream whose slow spell requests wait
// for.
const spellLook = 25 * time.Millisecond

// watchSpell looks at a slow upstream while requests wait for it, so that they start as
// soon as it is as fast as usual.
func (u *upstream) watchSpell(path string) {
	u.mu.Lock()
	begins := !u.watching && u.slowdown > usualPercent && path != ""
	u.watching = u.watching || begins
	u.mu.Unlock()
	if begins {
		time.AfterFunc(spellLook, func() { u.lookAgain(path) })
	}
}

func (u *upstream) lookAgain(path string) {
	u.freshen(path, func() {
		waits := u.gate.Report().GetQueued() > 0
		u.mu.Lock()
		u.watching = waits && u.slowdown > usualPercent
		again := u.watching
		u.mu.Unlock()
		if again {
			time.AfterFunc(spellLook, func() { u.lookAgain(path) })
		}
	})
}
