package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

func withDeparture(heartbeat *wire.Heartbeat) *wire.Heartbeat {
	heartbeat.Instance.Departing = true
	heartbeat.Instance.State = wire.InstanceState_INSTANCE_LEAVING
	return heartbeat
}

// withFirstStartID makes a heartbeat of a restarted node tell of the upstream that ran
// before.
func withFirstStartID(heartbeat *wire.Heartbeat) *wire.Heartbeat {
	heartbeat.Instance.StartId = "1"
	return heartbeat
}

func instanceState(r *Registry, node *fakeNode) wire.InstanceState {
	for _, lease := range r.Nodes() {
		if lease.GetNodeId() == node.nextHeartbeat().GetNodeId() {
			return lease.GetInstance().GetState()
		}
	}
	return wire.InstanceState_INSTANCE_UNSPECIFIED
}

// TestDepartureSurvivesNodeRestart guards against an upstream that gets work again after it has
// said that it leaves, because the node beside it was restarted, killed or has moved to
// another member, and has forgotten it.
func TestDepartureSurvivesNodeRestart(t *testing.T) {
	for _, graceful := range []bool{false, true} {
		c := newSimulation()
		other := NewRegistry()
		node := newFakeNode(1)
		c.run(20*time.Second, node)
		c.registry.Renew(c.now, withDeparture(node.nextHeartbeat()))
		if graceful {
			c.registry.Renew(c.now, withDeparture(node.stoppingHeartbeat()))
		}
		update, _, _ := c.registry.UpdateSince(0)
		update.Member, update.Epoch = "a", 1
		other.Merge(c.now, update)

		node.start, node.sequence = 2, 0
		c.registry.Renew(c.now, withFirstStartID(node.nextHeartbeat()))
		assert.Equal(t, instanceState(c.registry, node), wire.InstanceState_INSTANCE_LEAVING)
		if !graceful {
			other.Renew(c.now, withFirstStartID(node.nextHeartbeat()))
			assert.Equal(t, instanceState(other, node), wire.InstanceState_INSTANCE_LEAVING)
		}

		next := node.nextHeartbeat()
		next.Instance.StartId = "another"
		c.registry.Renew(c.now, next)
		assert.Equal(t, instanceState(c.registry, node), next.GetInstance().GetState())
		assert.Assert(t, next.GetInstance().GetState() != wire.InstanceState_INSTANCE_LEAVING)
	}
}
