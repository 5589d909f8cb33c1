package node

import (
	"strings"
	"time"

	"github.com/chicorylever/chicorylever/internal/coordination/overload"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// nestedSeparator joins the identity of a request to that of one that it makes.
const nestedSeparator = "."

// parentReserve is the part of a request's objective that its nested calls leave for the
// way back to the caller.
const parentReserve = 20 * time.Millisecond

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
	if parent, nested := n.parent(c.name); nested {
		c.rank, c.urgency = max(c.rank, parent.rank), overload.Nested
		c.objective = time.Time{}
		if !parent.objective.IsZero() {
			c.objective = parent.objective.Add(-parentReserve)
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

// parent returns the request that makes the call, and false for a call whose identity does
// not extend that of a request which runs at the upstream beside this node. Upstreams that
// name their calls otherwise are served as any caller.
func (n *Node) parent(name string) (runningRequest, bool) {
	end := strings.LastIndex(name, nestedSeparator)
	if end <= 0 {
		return runningRequest{}, false
	}
	return n.upstream.runs(name[:end])
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

// runningRequest is a request at the upstream. Attempts of the same identity count as one.
type runningRequest struct {
	attempts, rank int
	// objective is when its response stops being good; zero without one.
	objective time.Time
}

// began records that a request of the name runs at the upstream until ended is called.
func (u *upstream) began(name string, rank int, objective time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running[name] = runningRequest{attempts: u.running[name].attempts + 1, rank: rank, objective: objective}
}

func (u *upstream) ended(name string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	r := u.running[name]
	if r.attempts--; r.attempts <= 0 {
		delete(u.running, name)
		return
	}
	u.running[name] = r
}

// runs returns the request of the name, and false when none runs at the upstream.
func (u *upstream) runs(name string) (runningRequest, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	r, isRunning := u.running[name]
	return r, isRunning
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
