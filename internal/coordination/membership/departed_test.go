package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

func departing(heartbeat *wire.Heartbeat) *wire.Heartbeat {
	heartbeat.Instance.Departing = true
	heartbeat.Instance.State = wire.InstanceState_INSTANCE_LEAVING
	return heartbeat
}

// sameUpstream makes a heartbeat of a restarted node tell of the upstream that ran
// before.
func sameUpstream(heartbeat *wire.Heartbeat) *wire.Heartbeat {
	heartbeat.Instance.StartId = "1"
	return heartbeat
}

func listedState(r *Registry, node *fakeNode) wire.InstanceState {
	for _, lease := range r.Nodes() {
		if lease.GetNodeId() == node.heartbeat().GetNodeId() {
			return lease.GetInstance().GetState()
		}
	}
	return wire.InstanceState_INSTANCE_UNSPECIFIED
}

// TestDepartureOutlivesNode guards against an upstream that gets work again after it has
// said that it leaves, because the node beside it was restarted, killed or has moved to
// another member, and has forgotten it.
func TestDepartureOutlivesNode(t *testing.T) {
	for _, graceful := range []bool{false, true} {
		c := newClock()
		other := NewRegistry()
		node := newFakeNode(1)
		c.run(20*time.Second, node)
		c.registry.Renew(c.now, departing(node.heartbeat()))
		if graceful {
			c.registry.Renew(c.now, departing(node.stopping()))
		}
		update, _, _ := c.registry.Update(0)
		update.Member, update.Epoch = "a", 1
		other.Merge(c.now, update)

		node.start, node.sequence = 2, 0
		c.registry.Renew(c.now, sameUpstream(node.heartbeat()))
		assert.Equal(t, listedState(c.registry, node), wire.InstanceState_INSTANCE_LEAVING)
		if !graceful {
			other.Renew(c.now, sameUpstream(node.heartbeat()))
			assert.Equal(t, listedState(other, node), wire.InstanceState_INSTANCE_LEAVING)
		}

		next := node.heartbeat()
		next.Instance.StartId = "another"
		c.registry.Renew(c.now, next)
		assert.Equal(t, listedState(c.registry, node), next.GetInstance().GetState())
		assert.Assert(t, next.GetInstance().GetState() != wire.InstanceState_INSTANCE_LEAVING)
	}
}
