package node

import (
	"context"
	"net/http"
	"time"

	"github.com/chicorylever/chicorylever/internal/node/directory"
)

const (
	// defaultLeft is the time left of a caller that states none.
	defaultLeft = 3 * time.Second
	// startPatience bounds the wait of a caller at a node that has just started. Control
	// has a leader, and the nodes each other's upstreams, within about that time after all
	// processes have started.
	startPatience = 500 * time.Millisecond
	// startShare divides the time left of such a caller; it waits no longer than that.
	startShare = 3
)

// awaitConfiguration returns the view in force. A node that knows no configuration yet has
// one soon, so that callers wait for it instead of coming back.
func (n *Node) awaitConfiguration(r *http.Request) *directory.View {
	if current := n.directory.View(); current.Revision > 0 {
		return current
	}
	left, err := n.requestTimeout(r, defaultLeft)
	if err != nil {
		left = defaultLeft
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(startPatience, left/startShare))
	defer cancel()
	return n.directory.Await(ctx, func(v *directory.View) bool { return v.Revision > 0 })
}

// awaitInstances returns the view in force once it has an instance of the call's service.
// It waits only while the list of instances is incomplete, together with the wait for the
// configuration no longer than that alone.
func (n *Node) awaitInstances(ctx context.Context, c *call) *directory.View {
	ready := func(v *directory.View) bool { return !v.Stale || len(v.Services[c.service]) > 0 }
	if current := n.directory.View(); ready(current) {
		return current
	}
	wait := min(startPatience, time.Until(c.deadline)/startShare)
	ctx, cancel := context.WithTimeout(ctx, wait-time.Since(c.started))
	defer cancel()
	return n.directory.Await(ctx, ready)
}

// returnWithoutService tells when a caller should come back to a node that knows no
// configuration yet. It has one soon after control has a leader.
func (n *Node) returnWithoutService(r *http.Request) time.Duration {
	left, err := n.requestTimeout(r, defaultLeft)
	if err != nil {
		left = defaultLeft
	}
	return n.balancer.retryAfterOverload(left)
}
