package node

import (
	"context"
	"net/http"
	"time"

	"github.com/chicorylever/chicorylever/internal/node/directory"
)

const (
	// defaultCallerTimeout is the timeout assumed for a caller that states none.
	defaultCallerTimeout = 3 * time.Second
	// maxStartWait bounds the wait of a request at a node that has just started. Within
	// about this time after the start of all processes, control has elected a leader and
	// the nodes have received each other's upstreams.
	maxStartWait = 500 * time.Millisecond
	// startWaitDivisor divides the remaining time of such a request; the wait is no longer
	// than the result.
	startWaitDivisor = 3
)

// awaitConfiguration returns the current view. A node without a configuration expects to
// receive one soon, so that requests wait for it instead of being refused and retried.
func (n *Node) awaitConfiguration(r *http.Request) *directory.View {
	if current := n.directory.View(); current.Revision > 0 {
		return current
	}
	remaining, err := n.requestTimeout(r, defaultCallerTimeout)
	if err != nil {
		remaining = defaultCallerTimeout
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(maxStartWait, remaining/startWaitDivisor))
	defer cancel()
	return n.directory.Await(ctx, func(v *directory.View) bool { return v.Revision > 0 })
}

// awaitInstances returns the current view once it has an instance of the call's service.
// It waits only while the list of instances is incomplete. The waits for configuration and
// instances together have the same bound as the wait for the configuration.
func (n *Node) awaitInstances(ctx context.Context, c *call) *directory.View {
	ready := func(v *directory.View) bool { return !v.Stale || len(v.Services[c.service]) > 0 }
	if current := n.directory.View(); ready(current) {
		return current
	}
	wait := min(maxStartWait, time.Until(c.deadline)/startWaitDivisor)
	ctx, cancel := context.WithTimeout(ctx, wait-time.Since(c.started))
	defer cancel()
	return n.directory.Await(ctx, ready)
}

// retryAfterWithoutConfiguration returns the Retry-After delay of a caller that was refused
// because the node has no configuration yet. The node receives one soon after control has
// elected a leader.
func (n *Node) retryAfterWithoutConfiguration(r *http.Request) time.Duration {
	remaining, err := n.requestTimeout(r, defaultCallerTimeout)
	if err != nil {
		remaining = defaultCallerTimeout
	}
	return n.balancer.retryAfterOverload(remaining)
}
