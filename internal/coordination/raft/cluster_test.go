package raft

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// member is a simulated process with a disk. Only disk survives a crash.
type member struct {
	core    *Core
	disk    State
	image   uint64 // state machine at the snapshot
	state   uint64 // state machine: a hash over all applied entries
	applied uint64
	writing *Ready
}

type pendingRead struct{ floor uint64 }

// cluster runs cores over a network and disks that fail, and checks safety after each step.
type cluster struct {
	t           *rapid.T
	rng         *rand.Rand
	nodes       map[uint64]*member
	ids         []uint64
	lastID      uint64
	net         []Message
	blocked     map[[2]uint64]bool
	chain       map[uint64]uint64 // state after each index that any member applied
	leaders     map[uint64]uint64 // leader of each term
	accepted    uint64            // highest index that any member knew as committed
	reads       map[uint64]pendingRead
	readID      uint64
	weights     []int
	dropPercent int
	slow        uint64
}

func newCluster(t *rapid.T, seed uint64, size int) *cluster {
	c := &cluster{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), nodes: map[uint64]*member{}, blocked: map[[2]uint64]bool{},
		chain: map[uint64]uint64{}, leaders: map[uint64]uint64{}, reads: map[uint64]pendingRead{},
	}
	first := Configuration{}
	for id := range uint64(size) {
		first = first.with(Member{ID: id + 1})
	}
	c.weigh()
	for range size {
		id := c.addMember()
		entry := Entry{Index: 1, Term: 1, Kind: EntryConfig, Data: EncodeConfiguration(first)}
		c.nodes[id].disk = State{HardState: HardState{Term: 1, Commit: 1}, Entries: []Entry{entry}}
		c.restart(id)
	}
	return c
}

func (c *cluster) addMember() uint64 {
	c.lastID++
	c.nodes[c.lastID] = &member{}
	c.ids = append(c.ids, c.lastID)
	c.restart(c.lastID)
	return c.lastID
}

func (c *cluster) restart(id uint64) {
	n := c.nodes[id]
	core, err := New(Config{
		ID: id, ElectionTicks: 6, StartTicks: 2, HeartbeatTicks: 2, SnapshotTicks: 20, MaxAppendBytes: 120, MaxInFlight: 3,
		KeepEntries: 2, Random: c.rng.IntN,
	}, n.disk)
	assert.NilError(c.t, err)
	n.core, n.writing = core, nil
	n.state, n.applied = n.image, n.disk.Snapshot.Index
}

func (c *cluster) send(messages []Message) {
	for _, m := range messages {
		if m.Kind == MsgSnapshot {
			n := c.nodes[m.From]
			if n == nil {
				continue
			}
			data := fmt.Appendf(nil, "%d", n.image)
			m.Snapshot = &Snapshot{Meta: n.disk.Snapshot, Data: data}
		}
		decoded, err := DecodeMessage(EncodeMessage(m))
		assert.NilError(c.t, err)
		c.net = append(c.net, decoded)
	}
}

func (c *cluster) startWrite(id uint64) {
	n := c.nodes[id]
	if n.writing != nil {
		c.finishUrgent(id, n.core.Urgent)
		return
	}
	r, ok := n.core.Ready()
	if !ok {
		return
	}
	n.writing = &r
	c.finishUrgent(id, func() ([]Message, []ReadResult) { return r.Early, r.Reads })
}

func (c *cluster) finishUrgent(id uint64, urgent func() ([]Message, []ReadResult)) {
	messages, reads := urgent()
	c.send(messages)
	for _, read := range reads {
		pending := c.reads[read.ID]
		delete(c.reads, read.ID)
		if !read.Failed && read.Index < pending.floor {
			c.t.Fatalf("stale read on %d: index %d, but %d was accepted before", id, read.Index, pending.floor)
		}
	}
}

// write stores the Ready up to a number of entries.
func (n *member) write(r *Ready, entries int) {
	if r.Snapshot != nil {
		n.disk.Snapshot, n.disk.Entries = r.Snapshot.Meta, nil
		_, _ = fmt.Sscan(string(r.Snapshot.Data), &n.image)
	}
	if r.HardState != nil {
		n.disk.HardState = *r.HardState
	}
	for _, e := range r.Entries[:entries] {
		if e.Index <= n.disk.Snapshot.Index {
			continue
		}
		n.disk.Entries = append(n.disk.Entries[:e.Index-n.disk.Snapshot.Index-1:e.Index-n.disk.Snapshot.Index-1], e)
	}
}

func (c *cluster) finishWrite(id uint64) {
	n := c.nodes[id]
	if n.writing == nil {
		return
	}
	r := *n.writing
	n.writing = nil
	n.write(&r, len(r.Entries))
	n.core.Persisted(r)
	c.send(r.Messages)
}

// crash loses what was not synced; a part of the write under way may have reached the disk.
func (c *cluster) crash(id uint64) {
	n := c.nodes[id]
	if n.writing != nil && c.rng.IntN(2) == 0 {
		n.write(n.writing, c.rng.IntN(len(n.writing.Entries)+1))
	}
	c.restart(id)
}

func (c *cluster) apply(id uint64) {
	n := c.nodes[id]
	work, ok := n.core.NextApply(100)
	if !ok {
		return
	}
	if work.Snapshot != nil {
		_, _ = fmt.Sscan(string(work.Snapshot.Data), &n.state)
		n.applied = work.Snapshot.Meta.Index
		c.check(id, n)
	}
	for _, e := range work.Entries {
		assert.Equal(c.t, e.Index, n.applied+1)
		h := fnv.New64a()
		fmt.Fprintf(h, "%d %d %d %x", n.state, e.Term, e.Kind, e.Data)
		n.state, n.applied = h.Sum64(), e.Index
		c.check(id, n)
	}
	n.core.Applied(n.applied)
}

// check fails when two members applied different prefixes.
func (c *cluster) check(id uint64, n *member) {
	if want, ok := c.chain[n.applied]; ok && want != n.state {
		c.t.Fatalf("member %d applied another prefix up to index %d", id, n.applied)
	}
	c.chain[n.applied] = n.state
}

func (c *cluster) snapshot(id uint64) {
	n := c.nodes[id]
	meta, ok := n.core.ConfigurationAt(n.applied)
	if n.writing != nil || !ok || n.applied <= n.disk.Snapshot.Index {
		return
	}
	if n.core.Status().Applied != n.applied || n.core.installed != nil || n.core.incoming != nil {
		return
	}
	n.disk.Entries = n.disk.Entries[n.applied-n.disk.Snapshot.Index:]
	n.disk.Snapshot, n.image = meta, n.state
	n.core.Compact(meta)
}

func (c *cluster) observe(id uint64) {
	s := c.nodes[id].core.Status()
	c.accepted = max(c.accepted, s.Commit)
	if s.Role != Leader {
		return
	}
	if other, ok := c.leaders[s.Term]; ok && other != id {
		c.t.Fatalf("members %d and %d both lead term %d", id, other, s.Term)
	}
	c.leaders[s.Term] = id
}

func (c *cluster) deliver() {
	if len(c.net) == 0 {
		return
	}
	i := c.rng.IntN(len(c.net))
	m := c.net[i]
	if c.rng.IntN(8) > 0 {
		c.net[i] = c.net[len(c.net)-1]
		c.net = c.net[:len(c.net)-1]
	}
	n := c.nodes[m.To]
	if n == nil || c.blocked[[2]uint64{m.From, m.To}] || c.rng.IntN(100) < c.dropPercent {
		return
	}
	n.core.Step(m)
	c.observe(m.To)
}

// repair lets a leader replace lost members: add a learner, remove, promote.
func (c *cluster) repair(id uint64) {
	core := c.nodes[id].core
	config := core.Status().Configuration
	for _, m := range config.Members {
		if c.nodes[m.ID] == nil {
			_, _ = core.ProposeChange(Change{Kind: Remove, ID: m.ID})
		} else if m.Learner {
			_, _ = core.ProposeChange(Change{Kind: Promote, ID: m.ID})
		}
	}
	for _, candidate := range c.ids {
		if _, ok := config.Find(candidate); !ok && len(config.Members) < 5 {
			_, _ = core.ProposeChange(Change{Kind: AddLearner, ID: candidate})
		}
	}
}

// loseDisk replaces a member by one with a new ID, unless that costs the cluster
// its quorum in the newest committed configuration or in one that may follow it.
func (c *cluster) loseDisk(id uint64) {
	newest := c.nodes[id].core.log
	for _, n := range c.nodes {
		if n.core.log.committed > newest.committed {
			newest = n.core.log
		}
	}
	configs := []Configuration{newest.configBefore(newest.committed)}
	for _, n := range c.nodes {
		for _, at := range n.core.log.configs {
			if at.index > newest.committed {
				configs = append(configs, at.config)
			}
		}
	}
	for _, m := range c.net {
		for _, e := range m.Entries {
			if e.Kind == EntryConfig && e.Index > newest.committed {
				config, _ := DecodeConfiguration(e.Data)
				configs = append(configs, config)
			}
		}
	}
	for _, config := range configs {
		if !config.quorum(func(other uint64) bool { return other != id && c.nodes[other] != nil }) {
			return
		}
	}
	delete(c.nodes, id)
	c.ids = slices.DeleteFunc(c.ids, func(other uint64) bool { return other == id })
	c.addMember()
}

// remove takes out a member, unless a loss that the leader has not noticed yet
// leaves too few voters to ever commit it.
func (c *cluster) remove(leader *Core, id uint64) {
	next := leader.log.config().without(id)
	if next.quorum(func(other uint64) bool { return c.nodes[other] != nil }) {
		_, _ = leader.ProposeChange(Change{Kind: Remove, ID: id})
	}
}

func (c *cluster) partition() {
	c.blocked = map[[2]uint64]bool{}
	if c.rng.IntN(2) == 0 {
		return
	}
	side := map[uint64]bool{}
	for _, id := range c.ids {
		side[id] = c.rng.IntN(2) == 0
	}
	if c.rng.IntN(2) == 0 {
		for _, id := range c.ids {
			side[id] = id == c.slow
		}
	}
	oneWay := c.rng.IntN(4) == 0
	for _, a := range c.ids {
		for _, b := range c.ids {
			c.blocked[[2]uint64{a, b}] = side[a] && !side[b] || (!oneWay && !side[a] && side[b])
		}
	}
}

// weigh draws how often each action happens, so that runs differ in character:
// some lose many messages, some elect often, some replace members often.
func (c *cluster) weigh() {
	base := []int{240, 300, 300, 60, 60, 40, 40, 10, 10, 3, 3, 1, 1, 1, 1}
	c.weights = nil
	for action, weight := range base {
		switch {
		case action > 0 && c.rng.IntN(3) == 0:
			weight *= 1 + c.rng.IntN(4)
		case action > 6 && action != 10 && c.rng.IntN(2) == 0:
			weight = 0
		}
		c.weights = append(c.weights, weight)
	}
	// A frozen process may believe that it leads long after another was elected.
	c.slow = 0
	for _, id := range c.ids {
		if c.nodes[id].core.Status().Role == Leader && c.rng.IntN(3) == 0 {
			c.slow = id
		}
	}
	c.dropPercent = []int{0, 2, 10, 40}[c.rng.IntN(4)]
}

func (c *cluster) draw() int {
	total := 0
	for _, weight := range c.weights {
		total += weight
	}
	at := c.rng.IntN(total)
	for action, weight := range c.weights {
		if at < weight {
			return action
		}
		at -= weight
	}
	return 0
}

func (c *cluster) step() {
	id := c.ids[c.rng.IntN(len(c.ids))]
	core := c.nodes[id].core
	switch c.draw() {
	case 0:
		for range 3 {
			c.deliver()
		}
	case 1:
		c.startWrite(id)
	case 2:
		c.finishWrite(id)
	case 3:
		if id != c.slow || c.rng.IntN(20) == 0 {
			core.Tick()
		}
	case 4:
		c.apply(id)
	case 5:
		_, _, _ = core.Propose([][]byte{fmt.Appendf(nil, "c%d", c.rng.Uint32())})
	case 6:
		c.readID++
		if core.ReadIndex(c.readID) == nil {
			c.reads[c.readID] = pendingRead{c.accepted}
		}
	case 7:
		c.snapshot(id)
	case 8:
		c.repair(id)
	case 9:
		c.crash(id)
	case 10:
		c.partition()
	case 11:
		_ = core.TransferLeader(c.ids[c.rng.IntN(len(c.ids))])
	case 12:
		c.remove(core, c.ids[c.rng.IntN(len(c.ids))])
	case 13:
		c.loseDisk(id)
	default:
		if len(c.ids) < 5 {
			c.addMember()
		}
	}
	if c.nodes[id] != nil {
		c.observe(id)
	}
}

// settle runs without faults and requires that a command gets committed and that
// all configured members apply it.
func (c *cluster) settle() {
	c.blocked = map[[2]uint64]bool{}
	goal := uint64(0)
	for round := range 600 {
		if round%50 == 0 {
			goal = 0 // The last command may have been lost with its leader.
		}
		for _, id := range c.ids {
			n := c.nodes[id]
			n.core.Tick()
			for range 4 {
				c.startWrite(id)
				c.finishWrite(id)
				c.apply(id)
			}
			c.observe(id)
			if goal == 0 && n.core.Status().Role == Leader && n.core.committedOwnTerm() {
				goal, _, _ = n.core.Propose([][]byte{[]byte("last")})
			}
		}
		batch := c.net
		c.net = nil
		for _, m := range batch {
			if n := c.nodes[m.To]; n != nil {
				n.core.Step(m)
			}
		}
		if goal > 0 && c.allApplied(goal) {
			assert.Assert(c.t, goal > 0 && c.chain[c.accepted] != 0, "an accepted entry is lost")
			return
		}
	}
	for _, id := range c.ids {
		c.t.Logf("%d: %+v", id, c.nodes[id].core.Status())
	}
	c.t.Fatalf("no progress without faults, goal %d", goal)
}

func (c *cluster) allApplied(goal uint64) bool {
	for _, id := range c.ids {
		s := c.nodes[id].core.Status()
		if s.Role != Leader {
			continue
		}
		for _, m := range s.Configuration.Members {
			if n := c.nodes[m.ID]; n != nil && n.applied < goal {
				return false
			}
		}
		return s.Applied >= goal
	}
	return false
}

// TestClusterSafety guards against two leaders in a term, lost or changed committed
// entries, diverging state and stale confirmed reads, under lost, repeated and
// reordered messages, crashes in the middle of writes, lost disks, partitions and
// membership changes; and against a cluster that stays stuck once faults end.
func TestClusterSafety(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 5).Draw(t, "size")
		c := newCluster(t, rapid.Uint64().Draw(t, "seed"), size)
		for n := range 5000 {
			if n%1000 == 0 {
				c.weigh()
			}
			c.step()
		}
		c.settle()
	})
}
