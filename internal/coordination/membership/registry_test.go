package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestDuplicateInstance guards against two nodes that announce one instance ID:
// the later node start is listed, and the other one comes back after it.
func TestDuplicateInstance(t *testing.T) {
	c := newSimulation()
	old, replacement := newFakeNode(1), newFakeNode(2)
	replacement.instance, replacement.start = old.instance, 2
	c.run(20*time.Second, replacement, old)
	assert.DeepEqual(t, listedInstances(c.registry), expectedInstances(replacement))
	assert.Equal(t, c.registry.Status(c.now).Hidden, 1)
	c.registry.Renew(c.now, replacement.stoppingHeartbeat())
	assert.DeepEqual(t, listedInstances(c.registry), expectedInstances(old))
}

// TestReusedAddress guards against requests for a dead instance that reach
// the instance that got its address.
func TestReusedAddress(t *testing.T) {
	c := newSimulation()
	old, successor := newFakeNode(1), newFakeNode(2)
	successor.address, successor.start = old.address, 2
	c.run(20*time.Second, old)
	c.registry.Renew(c.now, successor.nextHeartbeat())
	assert.DeepEqual(t, listedInstances(c.registry), expectedInstances(successor))
}

// TestRestartedNode guards against a delayed heartbeat of an earlier start that
// replaces the instance of the running one.
func TestRestartedNode(t *testing.T) {
	c := newSimulation()
	node := newFakeNode(1)
	c.run(20*time.Second, node)
	delayed := node.nextHeartbeat()
	node.start, node.sequence = 2, 0
	assert.Assert(t, c.registry.Renew(c.now, node.nextHeartbeat()))
	assert.Assert(t, !c.registry.Renew(c.now, delayed))
	assert.DeepEqual(t, listedInstances(c.registry), expectedInstances(node))
}

// TestNodeReturnsAfterPartition guards against a node that stays unlisted after a long
// partition, with the same start and with a new one.
func TestNodeReturnsAfterPartition(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		c := newSimulation()
		node, other := newFakeNode(1), newFakeNode(2)
		c.run(20*time.Second, node, other)
		c.run(time.Hour, other)
		assert.DeepEqual(t, listedInstances(c.registry), expectedInstances(other))
		if restarted {
			node.start, node.sequence = 2, 0
		}
		c.run(2*time.Second, node, other)
		assert.DeepEqual(t, listedInstances(c.registry), expectedInstances(node, other))
	}
}

// TestGracefulStop guards against a stopped node that stays listed until its
// lease ends, and against an older lease of another member that lists it again.
func TestGracefulStop(t *testing.T) {
	c := newSimulation()
	node := newFakeNode(1)
	c.run(20*time.Second, node)
	older, _, _ := c.registry.UpdateSince(0)
	older.Member, older.Epoch = "frozen", 1
	assert.Assert(t, c.registry.Renew(c.now, node.stoppingHeartbeat()))
	assert.DeepEqual(t, listedInstances(c.registry), expectedInstances())
	c.registry.Merge(c.now, older)
	assert.DeepEqual(t, listedInstances(c.registry), expectedInstances())
	node.start, node.sequence = 2, 0
	assert.Assert(t, c.registry.Renew(c.now, node.nextHeartbeat()))
	assert.DeepEqual(t, listedInstances(c.registry), expectedInstances(node))
}

// TestPausedMember guards against a member that was stopped for a while and
// removes all its nodes when it resumes.
func TestPausedMember(t *testing.T) {
	c := newSimulation()
	nodes := newFakeNodes(50)
	c.run(20*time.Second, nodes...)
	c.now = c.now.Add(10 * time.Minute)
	c.registry.Tick(c.now, true)
	status := c.registry.Status(c.now)
	assert.Equal(t, status.Reason, ReasonProcessPaused)
	assert.DeepEqual(t, listedInstances(c.registry), expectedInstances(nodes...))
	c.run(20*time.Second, nodes...)
	assert.Assert(t, !c.registry.Status(c.now).Stale)
	assert.DeepEqual(t, listedInstances(c.registry), expectedInstances(nodes...))
}

// TestListIsStaleAfterStart guards against a member that hands out an incomplete list as complete
// before nodes had time to connect to it.
func TestListIsStaleAfterStart(t *testing.T) {
	c := newSimulation()
	for range int(reconnectGracePeriod.Seconds()) {
		assert.Assert(t, c.registry.Instances(nil).Stale)
		c.run(time.Second)
	}
	c.run(2 * time.Second)
	assert.Assert(t, !c.registry.Instances(nil).Stale)
}

// TestNoQuorum guards against a member that was cut off from the others and
// removes nodes that it cannot hear. Afterwards the list must become exact.
func TestNoQuorum(t *testing.T) {
	c := newSimulation()
	nodes := newFakeNodes(10)
	c.run(20*time.Second, nodes...)
	c.quorumContact = false
	c.run(time.Hour, nodes[:9]...)
	assert.DeepEqual(t, listedInstances(c.registry), expectedInstances(nodes...))
	assert.Equal(t, c.registry.Status(c.now).Reason, ReasonNoQuorum)
	c.quorumContact = true
	c.run(reconnectGracePeriod+2*time.Second, nodes[:9]...)
	assert.DeepEqual(t, listedInstances(c.registry), expectedInstances(nodes[:9]...))
}

// TestMassExpiry guards against a network fault that empties the list: when more
// than 20 % and at least 3 nodes fall silent at once, all stay listed for a
// minute. Fewer are removed when their lease ends. In the end the list is exact.
func TestMassExpiry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(3, 100).Draw(t, "size")
		silent := rapid.IntRange(1, size).Draw(t, "silent")
		c := newSimulation()
		nodes := newFakeNodes(size)
		c.run(20*time.Second, nodes...)
		left := nodes[silent:]
		mass := silent >= massExpiryMinNodes && float64(silent) > massExpiryFraction*float64(size)
		if mass {
			for range 60 {
				c.run(time.Second, left...)
				assert.DeepEqual(t, listedInstances(c.registry), expectedInstances(nodes...))
			}
			assert.Assert(t, c.registry.Status(c.now).Stale)
			if rapid.Bool().Draw(t, "they return") {
				c.run(4*time.Second, nodes...)
				assert.Assert(t, !c.registry.Status(c.now).Stale)
				assert.DeepEqual(t, listedInstances(c.registry), expectedInstances(nodes...))
				return
			}
		}
		// At least one lease is removed in a second, so a mass expiry takes up to
		// one second a node after the hold.
		c.run(LeaseDuration+massExpiryHold+massExpiryWindow+time.Duration(silent)*time.Second, left...)
		assert.DeepEqual(t, listedInstances(c.registry), expectedInstances(left...))
	})
}

// TestExpiryRate guards against a list that shrinks at once when a hold ends.
func TestExpiryRate(t *testing.T) {
	c := newSimulation()
	nodes := newFakeNodes(1000)
	c.run(20*time.Second, nodes...)
	before := len(listedInstances(c.registry))
	for range 200 {
		c.run(time.Second, nodes[:500]...)
		now := len(listedInstances(c.registry))
		assert.Assert(t, before-now <= 1+int(maxExpiredFractionPerSecond*float64(before)), "%d to %d in a second", before, now)
		before = now
	}
	assert.DeepEqual(t, listedInstances(c.registry), expectedInstances(nodes[:500]...))
}
