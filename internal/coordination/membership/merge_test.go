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

// cluster is a set of members and nodes in virtual time without a network.
type cluster struct {
	now     time.Time
	members []*fakeMember
	nodes   []*clusterNode
}

type fakeMember struct {
	name     string
	epoch    uint64
	registry *Registry
	down     bool
	// frozen members keep their state but do nothing.
	frozen bool
	// cut members reach no other member.
	cut bool
	// sent holds for each receiver the version that it has from this member.
	sent map[*fakeMember]uint64
}

type clusterNode struct {
	*fakeNode
	member *fakeMember
	gone   bool
}

func newCluster(members, nodes int) *cluster {
	c := &cluster{now: epochStart}
	for i := range members {
		m := &fakeMember{name: fmt.Sprint("member-", i)}
		c.members = append(c.members, m)
		c.restart(m)
	}
	for i, n := range fleet(nodes) {
		c.nodes = append(c.nodes, &clusterNode{fakeNode: n, member: c.members[i%members]})
	}
	return c
}

// restart starts a member with an empty registry.
func (c *cluster) restart(m *fakeMember) {
	m.epoch++
	m.down, m.registry, m.sent = false, NewRegistry(), map[*fakeMember]uint64{}
	for _, other := range c.members {
		delete(other.sent, m)
	}
}

func (m *fakeMember) running() bool { return !m.down && !m.frozen }

func (c *cluster) steps(seconds int) {
	for range seconds {
		c.step()
	}
}

// step lets one second pass.
func (c *cluster) step() {
	c.now = c.now.Add(time.Second)
	for _, n := range c.nodes {
		if n.gone {
			continue
		}
		if !n.member.running() {
			n.member = c.members[(slices.Index(c.members, n.member)+1)%len(c.members)]
		}
		if n.member.running() && c.now.Second()%2 == 0 {
			n.member.registry.Renew(c.now, n.heartbeat())
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
			m.registry.Tick(c.now, !m.cut)
		}
	}
}

func (c *cluster) exchange(from, to *fakeMember) {
	if !to.running() {
		return
	}
	if !from.running() || from.cut || to.cut {
		if from.sent[to] != 0 {
			to.registry.PeerLost(c.now, from.name)
		}
		delete(from.sent, to)
		return
	}
	update, version, _ := from.registry.Update(from.sent[to])
	update.Member, update.Epoch = from.name, from.epoch
	from.sent[to] = version
	to.registry.Merge(c.now, update)
}

// fault draws one fault.
func (c *cluster) fault(t *rapid.T) {
	m := c.members[rapid.IntRange(0, len(c.members)-1).Draw(t, "member")]
	n := c.nodes[rapid.IntRange(0, len(c.nodes)-1).Draw(t, "node")]
	switch rapid.IntRange(0, 8).Draw(t, "fault") {
	case 0:
		m.down = true
	case 1:
		c.restart(m)
	case 2:
		m.frozen = !m.frozen
	case 3:
		m.cut = !m.cut
	case 4:
		n.member = m
	case 5:
		n.gone = true
	case 6:
		n.gone, n.start, n.sequence = false, n.start+1, 0
	case 7:
		n.version++
	case 8:
		if !n.gone && n.member.running() {
			n.member.registry.Renew(c.now, n.stopping())
		}
		n.gone = true
	}
}

// TestConvergence guards against members that disagree for good, or list a node
// that is gone, after any order of lost, frozen, restarted and cut off members
// and of nodes that move, restart, stop and change.
func TestConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(3, 12)
		for range rapid.IntRange(1, 30).Draw(t, "faults") {
			c.fault(t)
			c.steps(rapid.IntRange(0, 15).Draw(t, "seconds"))
		}
		want := []string{}
		for _, m := range c.members {
			if m.down {
				c.restart(m)
			}
			m.cut, m.frozen = false, false
		}
		for _, n := range c.nodes {
			if !n.gone {
				want = append(want, n.listed())
			}
		}
		// The longest way back is a hold of a minute after orphans became late,
		// then one removal in a second.
		c.steps(int((OrphanDuration + massHold + massWindow + settleHold).Seconds()) + len(c.nodes))
		for _, m := range c.members {
			assert.DeepEqual(t, listed(m.registry), want)
			assert.Assert(t, !m.registry.Status(c.now).Stale)
		}
	})
}

// TestMovedNode guards against a member that removes or takes back a node which
// has moved to another member: the newest heartbeat owns the lease.
func TestMovedNode(t *testing.T) {
	c := newCluster(3, 6)
	c.steps(20)
	node := c.nodes[0]
	left, _, _ := c.members[0].registry.Update(0)
	left.Member, left.Epoch = c.members[0].name, c.members[0].epoch
	node.member = c.members[1]
	for range 60 {
		c.step()
		for _, m := range c.members {
			assert.Equal(t, len(listed(m.registry)), 6)
		}
	}
	assert.Equal(t, c.members[1].registry.Status(c.now).Own, 3)
	assert.Equal(t, c.members[0].registry.Status(c.now).Own, 1)
	// The former member was cut off, still lists the node and then expires it.
	third := c.members[2].registry
	third.Merge(c.now, left)
	third.Merge(c.now, &wire.RegistryUpdate{
		Member: left.GetMember(), Epoch: left.GetEpoch(), RemovedLeases: []*wire.Lease{{NodeId: node.name}},
	})
	assert.Equal(t, len(listed(third)), 6)
}

// TestFrozenOwner replays two faults that longer runs of TestConvergence found.
// A node stopped at another member while its own was frozen, and a third member
// listed it for good. A node went to another member and back while its own was
// frozen, and a third member never listed it again.
func TestFrozenOwner(t *testing.T) {
	stopped := newCluster(3, 12)
	stopped.members[0].down = true
	stopped.steps(2)
	stopped.members[1].frozen = true
	stopped.steps(1)
	node := stopped.nodes[0]
	node.member.registry.Renew(stopped.now, node.stopping())
	node.gone = true
	stopped.restart(stopped.members[0])
	stopped.members[1].frozen = false
	stopped.steps(60)
	for _, m := range stopped.members {
		assert.Equal(t, len(listed(m.registry)), 11, m.name)
	}

	back := newCluster(3, 12)
	back.members[0].down = true
	back.steps(2)
	back.members[1].frozen = true
	back.steps(1)
	back.restart(back.members[0])
	back.steps(2)
	back.members[0].frozen = true
	back.steps(1)
	back.members[2].down = true
	back.steps(2)
	back.restart(back.members[2])
	back.members[0].frozen, back.members[1].frozen = false, false
	back.steps(120)
	for _, m := range back.members {
		assert.Equal(t, len(listed(m.registry)), 12, m.name)
	}
}

// TestDifferences guards against a receiver that ends up with another list than
// the registry when it follows differences from any version.
func TestDifferences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		services := map[string]bool{"drafts": true}
		r := NewRegistry()
		nodes := fleet(6)
		state, version := map[string]*wire.Instance{}, uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			n := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")]
			n.instance = fmt.Sprint("instance-", rapid.IntRange(0, 3).Draw(t, "instance"))
			n.version++
			heartbeat := n.heartbeat()
			heartbeat.Instance.Service = rapid.SampledFrom([]string{"drafts", "archive"}).Draw(t, "service")
			heartbeat.Stopping = rapid.Bool().Draw(t, "stopping")
			r.Renew(epochStart, heartbeat)
			if !rapid.Bool().Draw(t, "follow") {
				continue
			}
			diff, ok := r.Since(version, services)
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
				got = append(got, describe(instance))
			}
			slices.Sort(got)
			assert.DeepEqual(t, got, listed(r))
		}
	})
}
