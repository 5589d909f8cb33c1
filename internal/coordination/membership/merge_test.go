package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// cluster simulates members and nodes in virtual time without a network.
type cluster struct {
	now     time.Time
	members []*fakeMember
	nodes   []*clusterNode
}

type fakeMember struct {
	name     string
	epoch    uint64
	registry *Registry
	stopped  bool
	// paused members keep their state but neither send nor receive.
	paused bool
	// isolated members cannot reach other members but still receive heartbeats.
	isolated bool
	// sentVersions holds for each receiver the version up to which it has received updates.
	sentVersions map[*fakeMember]uint64
}

type clusterNode struct {
	*fakeNode
	member  *fakeMember
	stopped bool
}

func newCluster(members, nodes int) *cluster {
	c := &cluster{now: simulationStart}
	for i := range members {
		m := &fakeMember{name: fmt.Sprint("member-", i)}
		c.members = append(c.members, m)
		c.restart(m)
	}
	for i, n := range newFakeNodes(nodes) {
		c.nodes = append(c.nodes, &clusterNode{fakeNode: n, member: c.members[i%members]})
	}
	return c
}

// restart starts a member with a new epoch and an empty registry.
func (c *cluster) restart(m *fakeMember) {
	m.epoch++
	m.stopped, m.registry, m.sentVersions = false, NewRegistry(), map[*fakeMember]uint64{}
	for _, other := range c.members {
		delete(other.sentVersions, m)
	}
}

func (m *fakeMember) running() bool { return !m.stopped && !m.paused }

func (c *cluster) runSeconds(seconds int) {
	for range seconds {
		c.step()
	}
}

// step advances the time by one second: nodes send heartbeats, members exchange updates
// and check their leases.
func (c *cluster) step() {
	c.now = c.now.Add(time.Second)
	for _, n := range c.nodes {
		if n.stopped {
			continue
		}
		if !n.member.running() {
			n.member = c.members[(slices.Index(c.members, n.member)+1)%len(c.members)]
		}
		if n.member.running() && c.now.Second()%2 == 0 {
			n.member.registry.Renew(c.now, n.nextHeartbeat())
		}
	}
	for _, from := range c.members {
		for _, to := range c.members {
			if from != to {
				c.exchange(from, to)
			}
		}
	}
	for _, m := range c.members {
		if m.running() {
			m.registry.Tick(c.now, !m.isolated)
		}
	}
}

func (c *cluster) exchange(from, to *fakeMember) {
	if !to.running() {
		return
	}
	if !from.running() || from.isolated || to.isolated {
		if from.sentVersions[to] != 0 {
			to.registry.MemberLost(c.now, from.name)
		}
		delete(from.sentVersions, to)
		return
	}
	update, version, _ := from.registry.UpdateSince(from.sentVersions[to])
	update.Member, update.Epoch = from.name, from.epoch
	from.sentVersions[to] = version
	to.registry.Merge(c.now, update)
}

// injectFault draws one fault and applies it.
func (c *cluster) injectFault(t *rapid.T) {
	m := c.members[rapid.IntRange(0, len(c.members)-1).Draw(t, "member")]
	n := c.nodes[rapid.IntRange(0, len(c.nodes)-1).Draw(t, "node")]
	switch rapid.IntRange(0, 8).Draw(t, "fault") {
	case 0:
		m.stopped = true
	case 1:
		c.restart(m)
	case 2:
		m.paused = !m.paused
	case 3:
		m.isolated = !m.isolated
	case 4:
		n.member = m
	case 5:
		n.stopped = true
	case 6:
		n.stopped, n.start, n.sequence = false, n.start+1, 0
	case 7:
		n.version++
	case 8:
		if !n.stopped && n.member.running() {
			n.member.registry.Renew(c.now, n.stoppingHeartbeat())
		}
		n.stopped = true
	}
}

// TestConvergence guards against members that permanently list different instances, or
// list a node that no longer runs, after any sequence of stopped, paused, restarted and
// isolated members and of nodes that reconnect elsewhere, restart, stop and change.
func TestConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(3, 12)
		for range rapid.IntRange(1, 30).Draw(t, "faults") {
			c.injectFault(t)
			c.runSeconds(rapid.IntRange(0, 15).Draw(t, "seconds"))
		}
		want := []string{}
		for _, m := range c.members {
			if m.stopped {
				c.restart(m)
			}
			m.isolated, m.paused = false, false
		}
		for _, n := range c.nodes {
			if !n.stopped {
				want = append(want, n.expectedInstance())
			}
		}
		// The slowest recovery is a mass expiry hold of a minute after orphaned nodes
		// became late, followed by the removal of one node per second.
		c.runSeconds(int((OrphanDuration + massExpiryHold + massExpiryWindow + reconnectGracePeriod).Seconds()) + len(c.nodes))
		for _, m := range c.members {
			assert.DeepEqual(t, listedInstances(m.registry), want)
			assert.Assert(t, !m.registry.Status(c.now).Stale)
		}
	})
}

// TestMovedNode guards against a member that removes a node, or becomes its owner again,
// after the node has connected to another member. The member with the newest heartbeat
// owns the lease.
func TestMovedNode(t *testing.T) {
	c := newCluster(3, 6)
	c.runSeconds(20)
	node := c.nodes[0]
	formerUpdate, _, _ := c.members[0].registry.UpdateSince(0)
	formerUpdate.Member, formerUpdate.Epoch = c.members[0].name, c.members[0].epoch
	node.member = c.members[1]
	for range 60 {
		c.step()
		for _, m := range c.members {
			assert.Equal(t, len(listedInstances(m.registry)), 6)
		}
	}
	assert.Equal(t, c.members[1].registry.Status(c.now).Local, 3)
	assert.Equal(t, c.members[0].registry.Status(c.now).Local, 1)
	// The former owner was isolated: it still lists the node in an update and then removes it.
	third := c.members[2].registry
	third.Merge(c.now, formerUpdate)
	third.Merge(c.now, &wire.RegistryUpdate{
		Member: formerUpdate.GetMember(), Epoch: formerUpdate.GetEpoch(), RemovedLeases: []*wire.Lease{{NodeId: node.name}},
	})
	assert.Equal(t, len(listedInstances(third)), 6)
}

// TestPausedOwner reproduces two faults that longer runs of TestConvergence found. In the
// first a node stopped at another member while its owner was paused, and a third member
// listed it permanently. In the second a node connected to another member and back while
// its owner was paused, and a third member never listed it again.
func TestPausedOwner(t *testing.T) {
	stopCluster := newCluster(3, 12)
	stopCluster.members[0].stopped = true
	stopCluster.runSeconds(2)
	stopCluster.members[1].paused = true
	stopCluster.runSeconds(1)
	node := stopCluster.nodes[0]
	node.member.registry.Renew(stopCluster.now, node.stoppingHeartbeat())
	node.stopped = true
	stopCluster.restart(stopCluster.members[0])
	stopCluster.members[1].paused = false
	stopCluster.runSeconds(60)
	for _, m := range stopCluster.members {
		assert.Equal(t, len(listedInstances(m.registry)), 11, m.name)
	}

	moveCluster := newCluster(3, 12)
	moveCluster.members[0].stopped = true
	moveCluster.runSeconds(2)
	moveCluster.members[1].paused = true
	moveCluster.runSeconds(1)
	moveCluster.restart(moveCluster.members[0])
	moveCluster.runSeconds(2)
	moveCluster.members[0].paused = true
	moveCluster.runSeconds(1)
	moveCluster.members[2].stopped = true
	moveCluster.runSeconds(2)
	moveCluster.restart(moveCluster.members[2])
	moveCluster.members[0].paused, moveCluster.members[1].paused = false, false
	moveCluster.runSeconds(120)
	for _, m := range moveCluster.members {
		assert.Equal(t, len(listedInstances(m.registry)), 12, m.name)
	}
}

// TestDifferences guards against a receiver whose list differs from the registry after
// it has applied the differences since any version.
func TestDifferences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		services := map[string]bool{"drafts": true}
		r := NewRegistry()
		nodes := newFakeNodes(6)
		state, version := map[string]*wire.Instance{}, uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			n := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")]
			n.instance = fmt.Sprint("instance-", rapid.IntRange(0, 3).Draw(t, "instance"))
			n.version++
			heartbeat := n.nextHeartbeat()
			heartbeat.Instance.Service = rapid.SampledFrom([]string{"drafts", "archive"}).Draw(t, "service")
			heartbeat.Stopping = rapid.Bool().Draw(t, "stopping")
			r.Renew(simulationStart, heartbeat)
			if !rapid.Bool().Draw(t, "follow") {
				continue
			}
			diff, ok := r.ChangesSince(version, services)
			assert.Assert(t, ok)
			version = diff.Version
			for _, id := range diff.Removed {
				delete(state, id)
			}
			for _, instance := range diff.Changed {
				state[instance.GetId()] = instance
			}
			got := []string{}
			for _, instance := range state {
				got = append(got, describeInstance(instance))
			}
			slices.Sort(got)
			assert.DeepEqual(t, got, listedInstances(r))
		}
	})
}
