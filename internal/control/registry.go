package control

import (
	"context"
	"net"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chicorylever/chicorylever/internal/coordination/membership"
	"github.com/chicorylever/chicorylever/internal/transport/mesh"
)

// quorumCheckInterval is the time between two looks at the contact with a quorum.
const quorumCheckInterval = 100 * time.Millisecond

// newLeaseExchange returns the exchange of leases with the other members.
func (c *Control) newLeaseExchange() *membership.Exchange {
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return c.meshClient.Open(ctx, address, mesh.Control)
	}
	epoch := uint64(time.Now().UnixNano()) //nolint:gosec // positive since 1970
	return membership.NewExchange(c.registry, c.settings.ID, epoch, dial, c.otherMembers, c.logger)
}

// otherMembers returns the mesh addresses of the members but this one.
func (c *Control) otherMembers() []string {
	var others []string
	for _, member := range c.replicatedLog.Status().Members {
		if member.Address != c.settings.MeshAddress {
			others = append(others, member.Address)
		}
	}
	return others
}

// watchQuorum tells the nodes of this member whether it has contact with a quorum.
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

// expireLeases expires leases until ctx ends and logs when the list becomes
// stale and when that ends.
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
		_ = level.Warn(c.logger).Log("msg", "list of instances is kept", "reason", status.Reason,
			"nodes", status.Nodes, "own", status.Own, "late", status.Late)
		return
	}
	_ = level.Info(c.logger).Log("msg", "list of instances is up to date again",
		"nodes", status.Nodes, "own", status.Own, "late", status.Late)
}
