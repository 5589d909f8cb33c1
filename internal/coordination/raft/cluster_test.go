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

// simulatedMember is a member process with its disk. Only disk and snapshotState survive
// a crash.
type simulatedMember struct {
	core            *Core
	disk            State
	snapshotState   uint64 // state machine's state at the snapshot
	appliedState    uint64 // state machine's state: a hash over all applied entries
	appliedIndex    uint64
	unfinishedWrite *Ready
}

// pendingRead is an unfinished read and the highest commit index known when it started.
type pendingRead struct{ minIndex uint64 }

// cluster runs cores over a simulated network and disks, injects faults into both, and
// checks the safety properties after each step.
type cluster struct {
	t             *rapid.T
	rng           *rand.Rand
	members       map[uint64]*simulatedMember
	memberIDs     []uint64
	lastID        uint64
	inTransit     []Message
	blockedLinks  map[[2]uint64]bool // by sender and receiver
	stateByIndex  map[uint64]uint64  // state after each index that some member has applied
	leaderByTerm  map[uint64]uint64  // leader of each term
	highestCommit uint64             // highest commit index that any member has reported
	pendingReads  map[uint64]pendingRead
	lastReadID    uint64
	actionWeights []int
	dropPercent   int
	slowID        uint64 // member that ticks rarely, 0 for none
}

func newCluster(t *rapid.T, seed uint64, size int) *cluster {
	c := &cluster{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), members: map[uint64]*simulatedMember{}, blockedLinks: map[[2]uint64]bool{},
		stateByIndex: map[uint64]uint64{}, leaderByTerm: map[uint64]uint64{}, pendingReads: map[uint64]pendingRead{},
	}
	initial := Configuration{}
	for id := range uint64(size) {
		initial = initial.with(Member{ID: id + 1})
	}
	c.drawActionWeights()
	for range size {
		id := c.addMember()
		entry := Entry{Index: 1, Term: 1, Kind: EntryConfig, Data: EncodeConfiguration(initial)}
		c.members[id].disk = State{HardState: HardState{Term: 1, Commit: 1}, Entries: []Entry{entry}}
		c.restart(id)
	}
	return c
}

// addMember starts a member with an empty disk and an unused ID.
func (c *cluster) addMember() uint64 {
	c.lastID++
	c.members[c.lastID] = &simulatedMember{}
	c.memberIDs = append(c.memberIDs, c.lastID)
	c.restart(c.lastID)
	return c.lastID
}

// restart starts a new core from the member's disk.
func (c *cluster) restart(id uint64) {
	member := c.members[id]
	core, err := New(Config{
		ID: id, ElectionTicks: 6, InitialElectionTicks: 2, HeartbeatTicks: 2, SnapshotTicks: 20, MaxAppendBytes: 120, MaxInFlightAppends: 3,
		RetainedEntries: 2, Random: c.rng.IntN,
	}, member.disk)
	assert.NilError(c.t, err)
	member.core, member.unfinishedWrite = core, nil
	member.appliedState, member.appliedIndex = member.snapshotState, member.disk.Snapshot.Index
}

// send puts the messages into the network. It adds the sender's snapshot to MsgSnapshot and
// encodes and decodes every message.
func (c *cluster) send(messages []Message) {
	for _, m := range messages {
		if m.Kind == MsgSnapshot {
			member := c.members[m.From]
			if member == nil {
				continue
			}
			data := fmt.Appendf(nil, "%d", member.snapshotState)
			m.Snapshot = &Snapshot{Meta: member.disk.Snapshot, Data: data}
		}
		decoded, err := DecodeMessage(EncodeMessage(m))
		assert.NilError(c.t, err)
		c.inTransit = append(c.inTransit, decoded)
	}
}

// startWrite takes the next Ready; finishWrite or crash ends its write. While a write is
// unfinished, startWrite handles only messages and reads that need not wait for it.
func (c *cluster) startWrite(id uint64) {
	member := c.members[id]
	if member.unfinishedWrite != nil {
		c.handleImmediate(id, member.core.TakeImmediate)
		return
	}
	r, ok := member.core.Ready()
	if !ok {
		return
	}
	member.unfinishedWrite = &r
	c.handleImmediate(id, func() ([]Message, []ReadResult) { return r.Immediate, r.Reads })
}

// handleImmediate sends messages that may be sent before the write is durable, and checks
// that no read result is older than the commit index known at the start of the read.
func (c *cluster) handleImmediate(id uint64, immediate func() ([]Message, []ReadResult)) {
	messages, reads := immediate()
	c.send(messages)
	for _, read := range reads {
		pending := c.pendingReads[read.ID]
		delete(c.pendingReads, read.ID)
		if !read.Failed && read.Index < pending.minIndex {
			c.t.Fatalf("stale read on member %d: index %d is below %d, which was committed before the read started", id, read.Index, pending.minIndex)
		}
	}
}

// write stores the Ready on the disk, with only the given number of its entries.
func (member *simulatedMember) write(r *Ready, entryCount int) {
	if r.Snapshot != nil {
		member.disk.Snapshot, member.disk.Entries = r.Snapshot.Meta, nil
		_, _ = fmt.Sscan(string(r.Snapshot.Data), &member.snapshotState)
	}
	if r.HardState != nil {
		member.disk.HardState = *r.HardState
	}
	for _, e := range r.Entries[:entryCount] {
		if e.Index <= member.disk.Snapshot.Index {
			continue
		}
		member.disk.Entries = append(member.disk.Entries[:e.Index-member.disk.Snapshot.Index-1:e.Index-member.disk.Snapshot.Index-1], e)
	}
}

// finishWrite completes the current write and sends the messages that depend on it.
func (c *cluster) finishWrite(id uint64) {
	member := c.members[id]
	if member.unfinishedWrite == nil {
		return
	}
	r := *member.unfinishedWrite
	member.unfinishedWrite = nil
	member.write(&r, len(r.Entries))
	member.core.Persisted(r)
	c.send(r.Messages)
}

// crash restarts a member without its unfinished write, or with a random part of that
// write on the disk.
func (c *cluster) crash(id uint64) {
	member := c.members[id]
	if member.unfinishedWrite != nil && c.rng.IntN(2) == 0 {
		member.write(member.unfinishedWrite, c.rng.IntN(len(member.unfinishedWrite.Entries)+1))
	}
	c.restart(id)
}

// apply restores the next snapshot or applies the next committed entries.
func (c *cluster) apply(id uint64) {
	member := c.members[id]
	work, ok := member.core.NextApply(100)
	if !ok {
		return
	}
	if work.Snapshot != nil {
		_, _ = fmt.Sscan(string(work.Snapshot.Data), &member.appliedState)
		member.appliedIndex = work.Snapshot.Meta.Index
		c.checkAppliedState(id, member)
	}
	for _, e := range work.Entries {
		assert.Equal(c.t, e.Index, member.appliedIndex+1)
		h := fnv.New64a()
		fmt.Fprintf(h, "%d %d %d %x", member.appliedState, e.Term, e.Kind, e.Data)
		member.appliedState, member.appliedIndex = h.Sum64(), e.Index
		c.checkAppliedState(id, member)
	}
	member.core.Applied(member.appliedIndex)
}

// checkAppliedState fails the test if two members reach different states at one index.
func (c *cluster) checkAppliedState(id uint64, member *simulatedMember) {
	if want, ok := c.stateByIndex[member.appliedIndex]; ok && want != member.appliedState {
		c.t.Fatalf("state of member %d at index %d differs from that of another member", id, member.appliedIndex)
	}
	c.stateByIndex[member.appliedIndex] = member.appliedState
}

// snapshot stores a snapshot of the applied state, unless a write or a received snapshot is
// pending, and compacts the log.
func (c *cluster) snapshot(id uint64) {
	member := c.members[id]
	meta, ok := member.core.SnapshotMetaAt(member.appliedIndex)
	if member.unfinishedWrite != nil || !ok || member.appliedIndex <= member.disk.Snapshot.Index {
		return
	}
	if member.core.Status().Applied != member.appliedIndex || member.core.snapshotToRestore != nil || member.core.receivedSnapshot != nil {
		return
	}
	member.disk.Entries = member.disk.Entries[member.appliedIndex-member.disk.Snapshot.Index:]
	member.disk.Snapshot, member.snapshotState = meta, member.appliedState
	member.core.Compact(meta)
}

// checkSingleLeader records the member's commit index and fails the test if another member
// led the same term.
func (c *cluster) checkSingleLeader(id uint64) {
	s := c.members[id].core.Status()
	c.highestCommit = max(c.highestCommit, s.Commit)
	if s.Role != Leader {
		return
	}
	if other, ok := c.leaderByTerm[s.Term]; ok && other != id {
		c.t.Fatalf("members %d and %d are both leaders of term %d", id, other, s.Term)
	}
	c.leaderByTerm[s.Term] = id
}

// deliver delivers or drops a random message; with probability 1/8 the message stays in
// transit and may be delivered again.
func (c *cluster) deliver() {
	if len(c.inTransit) == 0 {
		return
	}
	i := c.rng.IntN(len(c.inTransit))
	m := c.inTransit[i]
	if c.rng.IntN(8) > 0 {
		c.inTransit[i] = c.inTransit[len(c.inTransit)-1]
		c.inTransit = c.inTransit[:len(c.inTransit)-1]
	}
	member := c.members[m.To]
	if member == nil || c.blockedLinks[[2]uint64{m.From, m.To}] || c.rng.IntN(100) < c.dropPercent {
		return
	}
	member.core.Step(m)
	c.checkSingleLeader(m.To)
}

// repairMembership proposes the changes that replace lost members: removal of members
// whose disk is lost, promotion of learners, and new learners up to 5 members.
func (c *cluster) repairMembership(id uint64) {
	core := c.members[id].core
	config := core.Status().Configuration
	for _, m := range config.Members {
		if c.members[m.ID] == nil {
			_, _ = core.ProposeChange(Change{Kind: Remove, ID: m.ID})
		} else if m.Learner {
			_, _ = core.ProposeChange(Change{Kind: Promote, ID: m.ID})
		}
	}
	for _, candidate := range c.memberIDs {
		if _, ok := config.Find(candidate); !ok && len(config.Members) < 5 {
			_, _ = core.ProposeChange(Change{Kind: AddLearner, ID: candidate})
		}
	}
}

// loseDisk replaces a member by one with a new ID and an empty disk, unless the loss leaves
// no quorum in the newest committed configuration or in any configuration of a later entry,
// including those still in transit.
func (c *cluster) loseDisk(id uint64) {
	newest := c.members[id].core.log
	for _, member := range c.members {
		if member.core.log.committed > newest.committed {
			newest = member.core.log
		}
	}
	configs := []Configuration{newest.configAtIndex(newest.committed)}
	for _, member := range c.members {
		for _, later := range member.core.log.configs {
			if later.index > newest.committed {
				configs = append(configs, later.config)
			}
		}
	}
	for _, m := range c.inTransit {
		for _, e := range m.Entries {
			if e.Kind == EntryConfig && e.Index > newest.committed {
				config, _ := DecodeConfiguration(e.Data)
				configs = append(configs, config)
			}
		}
	}
	for _, config := range configs {
		if !config.hasQuorum(func(other uint64) bool { return other != id && c.members[other] != nil }) {
			return
		}
	}
	delete(c.members, id)
	c.memberIDs = slices.DeleteFunc(c.memberIDs, func(other uint64) bool { return other == id })
	c.addMember()
}

// removeMember proposes the removal of a member, unless members whose loss the leader has
// not detected yet leave too few voters to commit the removal.
func (c *cluster) removeMember(leader *Core, id uint64) {
	next := leader.log.config().without(id)
	if next.hasQuorum(func(other uint64) bool { return c.members[other] != nil }) {
		_, _ = leader.ProposeChange(Change{Kind: Remove, ID: id})
	}
}

// partition ends the current partition and, with probability 1/2, starts a new one:
// random or around the slow member, in both directions or one.
func (c *cluster) partition() {
	c.blockedLinks = map[[2]uint64]bool{}
	if c.rng.IntN(2) == 0 {
		return
	}
	inFirstPart := map[uint64]bool{}
	for _, id := range c.memberIDs {
		inFirstPart[id] = c.rng.IntN(2) == 0
	}
	if c.rng.IntN(2) == 0 {
		for _, id := range c.memberIDs {
			inFirstPart[id] = id == c.slowID
		}
	}
	oneWay := c.rng.IntN(4) == 0
	for _, a := range c.memberIDs {
		for _, b := range c.memberIDs {
			c.blockedLinks[[2]uint64{a, b}] = inFirstPart[a] && !inFirstPart[b] || (!oneWay && !inFirstPart[a] && inFirstPart[b])
		}
	}
}

// drawActionWeights draws the frequencies of the actions in step, the slow member and the
// share of dropped messages, so that runs differ: some lose many messages, some have many
// elections, some replace many members.
func (c *cluster) drawActionWeights() {
	baseWeights := []int{240, 300, 300, 60, 60, 40, 40, 10, 10, 3, 3, 1, 1, 1, 1}
	c.actionWeights = nil
	for action, weight := range baseWeights {
		switch {
		case action > 0 && c.rng.IntN(3) == 0:
			weight *= 1 + c.rng.IntN(4)
		case action > 6 && action != 10 && c.rng.IntN(2) == 0:
			weight = 0
		}
		c.actionWeights = append(c.actionWeights, weight)
	}
	// A process that hardly runs may consider itself the leader long after another member
	// was elected.
	c.slowID = 0
	for _, id := range c.memberIDs {
		if c.members[id].core.Status().Role == Leader && c.rng.IntN(3) == 0 {
			c.slowID = id
		}
	}
	c.dropPercent = []int{0, 2, 10, 40}[c.rng.IntN(4)]
}

// drawAction returns a random action of step, according to the weights.
func (c *cluster) drawAction() int {
	total := 0
	for _, weight := range c.actionWeights {
		total += weight
	}
	remainder := c.rng.IntN(total)
	for action, weight := range c.actionWeights {
		if remainder < weight {
			return action
		}
		remainder -= weight
	}
	return 0
}

// step takes one random action on a random member.
func (c *cluster) step() {
	id := c.memberIDs[c.rng.IntN(len(c.memberIDs))]
	core := c.members[id].core
	switch c.drawAction() {
	case 0:
		for range 3 {
			c.deliver()
		}
	case 1:
		c.startWrite(id)
	case 2:
		c.finishWrite(id)
	case 3:
		if id != c.slowID || c.rng.IntN(20) == 0 {
			core.Tick()
		}
	case 4:
		c.apply(id)
	case 5:
		_, _, _ = core.Propose([][]byte{fmt.Appendf(nil, "c%d", c.rng.Uint32())})
	case 6:
		c.lastReadID++
		if core.ReadIndex(c.lastReadID) == nil {
			c.pendingReads[c.lastReadID] = pendingRead{c.highestCommit}
		}
	case 7:
		c.snapshot(id)
	case 8:
		c.repairMembership(id)
	case 9:
		c.crash(id)
	case 10:
		c.partition()
	case 11:
		_ = core.TransferLeader(c.memberIDs[c.rng.IntN(len(c.memberIDs))])
	case 12:
		c.removeMember(core, c.memberIDs[c.rng.IntN(len(c.memberIDs))])
	case 13:
		c.loseDisk(id)
	default:
		if len(c.memberIDs) < 5 {
			c.addMember()
		}
	}
	if c.members[id] != nil {
		c.checkSingleLeader(id)
	}
}

// checkRecovery runs the cluster without faults and requires that a new command is
// committed and applied by all members of the leader's configuration.
func (c *cluster) checkRecovery() {
	c.blockedLinks = map[[2]uint64]bool{}
	targetIndex := uint64(0)
	for round := range 600 {
		if round%50 == 0 {
			targetIndex = 0 // A change of leader may have discarded the last command.
		}
		for _, id := range c.memberIDs {
			member := c.members[id]
			member.core.Tick()
			for range 4 {
				c.startWrite(id)
				c.finishWrite(id)
				c.apply(id)
			}
			c.checkSingleLeader(id)
			if targetIndex == 0 && member.core.Status().Role == Leader && member.core.hasCommittedInCurrentTerm() {
				targetIndex, _, _ = member.core.Propose([][]byte{[]byte("last")})
			}
		}
		batch := c.inTransit
		c.inTransit = nil
		for _, m := range batch {
			if member := c.members[m.To]; member != nil {
				member.core.Step(m)
			}
		}
		if targetIndex > 0 && c.allApplied(targetIndex) {
			assert.Assert(c.t, targetIndex > 0 && c.stateByIndex[c.highestCommit] != 0, "committed entry is lost: no member applied the highest commit index")
			return
		}
	}
	for _, id := range c.memberIDs {
		c.t.Logf("member %d: %+v", id, c.members[id].core.Status())
	}
	c.t.Fatalf("command at index %d was not applied by all members without faults", targetIndex)
}

// allApplied reports whether the leader and the members of its configuration have applied
// the entry at index.
func (c *cluster) allApplied(index uint64) bool {
	for _, id := range c.memberIDs {
		s := c.members[id].core.Status()
		if s.Role != Leader {
			continue
		}
		for _, m := range s.Configuration.Members {
			if member := c.members[m.ID]; member != nil && member.appliedIndex < index {
				return false
			}
		}
		return s.Applied >= index
	}
	return false
}

// TestClusterSafety guards against two leaders in one term, lost or changed committed
// entries, diverging states and stale confirmed reads under lost, duplicated and
// reordered messages, crashes during writes, lost disks, partitions and membership
// changes. It also guards against a cluster that makes no progress after the faults end.
func TestClusterSafety(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 5).Draw(t, "size")
		c := newCluster(t, rapid.Uint64().Draw(t, "seed"), size)
		for n := range 5000 {
			if n%1000 == 0 {
				c.drawActionWeights()
			}
			c.step()
		}
		c.checkRecovery()
	})
}
