package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestDuplicateInstance guards against two listed nodes with the same instance ID. The
// instance of the later node start is listed; when that node stops, the other is listed.
func TestDuplicateInstance(t *testing.T) {
	s := newSimulation()
	old, replacement := newFakeNode(1), newFakeNode(2)
	replacement.instance, replacement.start = old.instance, 2
	s.run(20*time.Second, replacement, old)
	assert.DeepEqual(t, listedInstances(s.registry), expectedInstances(replacement))
	assert.Equal(t, s.registry.Status(s.now).Hidden, 1)
	s.registry.Renew(s.now, replacement.stoppingHeartbeat())
	assert.DeepEqual(t, listedInstances(s.registry), expectedInstances(old))
}

// TestReusedAddress guards against requests for a failed instance that reach
// the instance to which its address was reassigned.
func TestReusedAddress(t *testing.T) {
	s := newSimulation()
	old, successor := newFakeNode(1), newFakeNode(2)
	successor.address, successor.start = old.address, 2
	s.run(20*time.Second, old)
	s.registry.Renew(s.now, successor.nextHeartbeat())
	assert.DeepEqual(t, listedInstances(s.registry), expectedInstances(successor))
}

// TestRestartedNode guards against a delayed heartbeat of an earlier node start that
// replaces the instance of the current start.
func TestRestartedNode(t *testing.T) {
	s := newSimulation()
	node := newFakeNode(1)
	s.run(20*time.Second, node)
	delayed := node.nextHeartbeat()
	node.start, node.sequence = 2, 0
	assert.Assert(t, s.registry.Renew(s.now, node.nextHeartbeat()))
	assert.Assert(t, !s.registry.Renew(s.now, delayed))
	assert.DeepEqual(t, listedInstances(s.registry), expectedInstances(node))
}

// TestNodeReturnsAfterPartition guards against a node that stays unlisted after a
// partition of an hour, with the same node start and with a new one.
func TestNodeReturnsAfterPartition(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		s := newSimulation()
		node, other := newFakeNode(1), newFakeNode(2)
		s.run(20*time.Second, node, other)
		s.run(time.Hour, other)
		assert.DeepEqual(t, listedInstances(s.registry), expectedInstances(other))
		if restarted {
			node.start, node.sequence = 2, 0
		}
		s.run(2*time.Second, node, other)
		assert.DeepEqual(t, listedInstances(s.registry), expectedInstances(node, other))
	}
}

// TestGracefulStop guards against a stopped node that stays listed until its
// lease expires, and against an older lease from another member that lists it again.
func TestGracefulStop(t *testing.T) {
	s := newSimulation()
	node := newFakeNode(1)
	s.run(20*time.Second, node)
	olderUpdate, _, _ := s.registry.UpdateSince(0)
	olderUpdate.Member, olderUpdate.Epoch = "frozen", 1
	assert.Assert(t, s.registry.Renew(s.now, node.stoppingHeartbeat()))
	assert.DeepEqual(t, listedInstances(s.registry), expectedInstances())
	s.registry.Merge(s.now, olderUpdate)
	assert.DeepEqual(t, listedInstances(s.registry), expectedInstances())
	node.start, node.sequence = 2, 0
	assert.Assert(t, s.registry.Renew(s.now, node.nextHeartbeat()))
	assert.DeepEqual(t, listedInstances(s.registry), expectedInstances(node))
}

// TestPausedMember guards against a member that removes all its nodes when its process
// resumes after a pause.
func TestPausedMember(t *testing.T) {
	s := newSimulation()
	nodes := newFakeNodes(50)
	s.run(20*time.Second, nodes...)
	s.now = s.now.Add(10 * time.Minute)
	s.registry.Tick(s.now, true)
	status := s.registry.Status(s.now)
	assert.Equal(t, status.Reason, ReasonProcessPaused)
	assert.DeepEqual(t, listedInstances(s.registry), expectedInstances(nodes...))
	s.run(20*time.Second, nodes...)
	assert.Assert(t, !s.registry.Status(s.now).Stale)
	assert.DeepEqual(t, listedInstances(s.registry), expectedInstances(nodes...))
}

// TestListIsStaleAfterStart guards against a member that sends an incomplete list without
// marking it stale before nodes had time to connect to it.
func TestListIsStaleAfterStart(t *testing.T) {
	s := newSimulation()
	for range int(reconnectGracePeriod.Seconds()) {
		assert.Assert(t, s.registry.Instances(nil).Stale)
		s.run(time.Second)
	}
	s.run(2 * time.Second)
	assert.Assert(t, !s.registry.Instances(nil).Stale)
}

// TestNoQuorum guards against a member without contact with a quorum that removes nodes
// whose heartbeats it does not receive. After contact returns the list must become exact.
func TestNoQuorum(t *testing.T) {
	s := newSimulation()
	nodes := newFakeNodes(10)
	s.run(20*time.Second, nodes...)
	s.quorumContact = false
	s.run(time.Hour, nodes[:9]...)
	assert.DeepEqual(t, listedInstances(s.registry), expectedInstances(nodes...))
	assert.Equal(t, s.registry.Status(s.now).Reason, ReasonNoQuorum)
	s.quorumContact = true
	s.run(reconnectGracePeriod+2*time.Second, nodes[:9]...)
	assert.DeepEqual(t, listedInstances(s.registry), expectedInstances(nodes[:9]...))
}

// TestMassExpiry guards against a network fault that empties the list. If more than 20 %
// and at least 3 nodes stop sending heartbeats at once, all stay listed for a minute.
// Fewer are removed when their lease expires. The final list is exact.
func TestMassExpiry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(3, 100).Draw(t, "size")
		silent := rapid.IntRange(1, size).Draw(t, "silent")
		s := newSimulation()
		nodes := newFakeNodes(size)
		s.run(20*time.Second, nodes...)
		remaining := nodes[silent:]
		massExpiry := silent >= massExpiryMinNodes && float64(silent) > massExpiryFraction*float64(size)
		if massExpiry {
			for range 60 {
				s.run(time.Second, remaining...)
				assert.DeepEqual(t, listedInstances(s.registry), expectedInstances(nodes...))
			}
			assert.Assert(t, s.registry.Status(s.now).Stale)
			if rapid.Bool().Draw(t, "nodes return") {
				s.run(4*time.Second, nodes...)
				assert.Assert(t, !s.registry.Status(s.now).Stale)
				assert.DeepEqual(t, listedInstances(s.registry), expectedInstances(nodes...))
				return
			}
		}
		// At least one lease may expire per second, so after the mass expiry hold the
		// removal takes up to one second per node.
		s.run(LeaseDuration+massExpiryHold+massExpiryWindow+time.Duration(silent)*time.Second, remaining...)
		assert.DeepEqual(t, listedInstances(s.registry), expectedInstances(remaining...))
	})
}

// TestExpiryRate guards against the removal of many nodes at once when the mass expiry
// hold ends.
func TestExpiryRate(t *testing.T) {
	s := newSimulation()
	nodes := newFakeNodes(1000)
	s.run(20*time.Second, nodes...)
	previous := len(listedInstances(s.registry))
	for range 200 {
		s.run(time.Second, nodes[:500]...)
		current := len(listedInstances(s.registry))
		assert.Assert(t, previous-current <= 1+int(maxExpiredFractionPerSecond*float64(previous)), "%d to %d nodes within a second", previous, current)
		previous = current
	}
	assert.DeepEqual(t, listedInstances(s.registry), expectedInstances(nodes[:500]...))
}
