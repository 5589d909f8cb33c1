package control

import (
	"context"
	"net"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chicorylever/chicorylever/internal/coordination/membership"
	"github.com/chicorylever/chicorylever/internal/transport/mesh"
)

// quorumCheckInterval is the interval at which a member checks its contact with a quorum.
const quorumCheckInterval = 100 * time.Millisecond

// newLeaseExchange returns the exchange of leases with the other members. Its epoch, which
// must increase with each start of the member, is the current time.
func (c *Control) newLeaseExchange() *membership.Exchange {
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return c.meshClient.Open(ctx, address, mesh.Control)
	}
	epoch := uint64(time.Now().UnixNano()) //nolint:gosec // positive since 1970
	return membership.NewExchange(c.registry, c.settings.ID, epoch, dial, c.otherMembers, c.logger)
}

// otherMembers returns the mesh addresses of all members except this one.
func (c *Control) otherMembers() []string {
	var others []string
	for _, member := range c.replicatedLog.Status().Members {
		if member.Address != c.settings.MeshAddress {
			others = append(others, member.Address)
		}
	}
	return others
}

// watchQuorum keeps the distribution server informed whether this member has contact with
// a quorum, which the server passes on to the connected nodes, until ctx ends.
func (c *Control) watchQuorum(ctx context.Context) {
	ticker := time.NewTicker(quorumCheckInterval)
	defer ticker.Stop()
	for {
		contact := c.replicatedLog.Status().QuorumContact
		c.distributor.SetIsolated(!contact)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// expireLeases expires the leases of nodes until ctx ends. It logs when the registry
// becomes stale and when it no longer is.
func (c *Control) expireLeases(ctx context.Context) {
	ticker := time.NewTicker(membership.TickInterval)
	defer ticker.Stop()
	for {
		now := time.Now()
		if c.registry.Tick(now, c.replicatedLog.Status().QuorumContact) {
			c.logRegistryStatus(now)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (c *Control) logRegistryStatus(now time.Time) {
	status := c.registry.Status(now)
	if status.Stale {
		_ = level.Warn(c.logger).Log("msg", "registry is stale; leases do not expire", "reason", status.Reason,
			"nodes", status.Nodes, "own", status.Local, "late", status.Late)
		return
	}
	_ = level.Info(c.logger).Log("msg", "registry is no longer stale; leases expire again",
		"nodes", status.Nodes, "own", status.Local, "late", status.Late)
}
