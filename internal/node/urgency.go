package node

import (
	"strings"
	"time"

	"github.com/chicorylever/chicorylever/internal/coordination/overload"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// nestedSeparator joins the identity of a request to that of one that it makes.
const nestedSeparator = "."

// urgency tells how urgent a call with a route is. A call that the upstream beside this
// node makes for a running request goes first; one whose caller has come back after a
// refusal takes what the others leave.
func (n *Node) urgency(c *call) overload.Urgency {
	if n.isNested(c.name) {
		return overload.Nested
	}
	if c.route == nil || c.stated == 0 {
		return overload.InTime
	}
	if n.peers.hasReturned(c.route.Name, c.stated) {
		return overload.Late
	}
	return overload.InTime
}

// isNested reports whether the identity extends that of a request which runs at the
// upstream beside this node. Upstreams that name their calls otherwise are served as any
// caller.
func (n *Node) isNested(name string) bool {
	end := strings.LastIndex(name, nestedSeparator)
	return end > 0 && n.upstream.runs(name[:end])
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

// began records that a request of the name runs at the upstream until ended is called.
func (u *upstream) began(name string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running[name]++
}

func (u *upstream) ended(name string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.running[name]--; u.running[name] <= 0 {
		delete(u.running, name)
	}
}

// runs reports whether a request of the name runs at the upstream.
func (u *upstream) runs(name string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.running[name] > 0
}

// spellLook is the time between two looks at an upstream whose slow spell requests wait
// for.
const spellLook = 25 * time.Millisecond

// watchSpell looks at a slow upstream while requests wait for it, so that they start as
// soon as it is as fast as usual.
func (u *upstream) watchSpell(path string) {
	u.mu.Lock()
	watches := u.watching || u.slowdown <= usualPercent || path == ""
	if !watches {
		u.watching = true
	}
	u.mu.Unlock()
	if !watches {
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
