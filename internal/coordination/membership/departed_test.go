package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// withDeparture marks the instance of a heartbeat as departing.
func withDeparture(heartbeat *wire.Heartbeat) *wire.Heartbeat {
	heartbeat.Instance.Departing = true
	heartbeat.Instance.State = wire.InstanceState_INSTANCE_LEAVING
	return heartbeat
}

// withFirstStartID sets the start ID of the first node start, as in the heartbeat of a
// restarted node whose upstream was not restarted.
func withFirstStartID(heartbeat *wire.Heartbeat) *wire.Heartbeat {
	heartbeat.Instance.StartId = "1"
	return heartbeat
}

// instanceState returns the state of the instance in the lease of the node.
func instanceState(r *Registry, node *fakeNode) wire.InstanceState {
	for _, lease := range r.Nodes() {
		if lease.GetNodeId() == node.nextHeartbeat().GetNodeId() {
			return lease.GetInstance().GetState()
		}
	}
	return wire.InstanceState_INSTANCE_UNSPECIFIED
}

// TestDepartureSurvivesNodeRestart guards against an upstream that receives requests again
// after it has announced its departure. A node that restarts, is killed or connects to
// another member loses the departure, so the control members must keep it.
func TestDepartureSurvivesNodeRestart(t *testing.T) {
	for _, graceful := range []bool{false, true} {
		s := newSimulation()
		other := NewRegistry()
		node := newFakeNode(1)
		s.run(20*time.Second, node)
		s.registry.Renew(s.now, withDeparture(node.nextHeartbeat()))
		if graceful {
			s.registry.Renew(s.now, withDeparture(node.stoppingHeartbeat()))
		}
		update, _, _ := s.registry.UpdateSince(0)
		update.Member, update.Epoch = "a", 1
		other.Merge(s.now, update)

		node.start, node.sequence = 2, 0
		s.registry.Renew(s.now, withFirstStartID(node.nextHeartbeat()))
		assert.Equal(t, instanceState(s.registry, node), wire.InstanceState_INSTANCE_LEAVING)
		if !graceful {
			other.Renew(s.now, withFirstStartID(node.nextHeartbeat()))
			assert.Equal(t, instanceState(other, node), wire.InstanceState_INSTANCE_LEAVING)
		}

		restarted := node.nextHeartbeat()
		restarted.Instance.StartId = "another"
		s.registry.Renew(s.now, restarted)
		assert.Equal(t, instanceState(s.registry, node), restarted.GetInstance().GetState())
		assert.Assert(t, restarted.GetInstance().GetState() != wire.InstanceState_INSTANCE_LEAVING)
	}
}
