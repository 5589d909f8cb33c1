package replica

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chicorylever/chicorylever/internal/coordination/raft"
)

// loop owns the consensus core.
type loop struct {
	r    *Replica
	core *raft.Core

	writing bool
	// writingTicks counts the ticks during one write.
	writingTicks int
	applying     bool
	saving       bool
	// snapshotIndex is the index of the newest snapshot.
	snapshotIndex uint64

	// pending holds the proposals of pendingTerm by index.
	pending     map[uint64]*proposal
	pendingTerm uint64
	// pendingBytes is the size of their commands.
	pendingBytes int
	reads        map[uint64]*read
	lastRead     uint64
	peers        map[uint64]*peer
	// addresses holds those of senders that the configuration does not name.
	addresses map[uint64]string
	// members is the published form of configuration.
	members       []Member
	configuration []raft.Member
}

func newLoop(r *Replica, core *raft.Core) *loop {
	return &loop{
		r:             r,
		core:          core,
		snapshotIndex: core.Status().Applied,
		pending:       map[uint64]*proposal{},
		reads:         map[uint64]*read{},
		peers:         map[uint64]*peer{},
		addresses:     map[uint64]string{},
	}
}

func (l *loop) run() {
	ticker := time.NewTicker(l.r.options.TickInterval)
	defer ticker.Stop()
	defer l.stop()
	l.campaignAlone()
	for {
		l.advance()
		select {
		case <-l.r.ctx.Done():
			return
		case <-ticker.C:
			l.tick()
		case m := <-l.r.inbox:
			l.core.Step(m)
			l.stepQueued()
		case p := <-l.openProposals():
			l.propose(p)
		case read := <-l.openReads():
			l.startRead(read)
		case call := <-l.r.calls:
			call()
		case state := <-l.r.created:
			l.startCluster(state)
		case ready := <-l.r.written:
			l.writing = false
			l.writingTicks = 0
			l.persisted(ready)
		case done := <-l.r.appliedc:
			l.finishApply(done)
		case meta := <-l.r.saved:
			l.saving = false
			l.core.Compact(meta)
		}
	}
}

// startCluster replaces the core, which never took part in anything, by one that
// holds the first configuration.
func (l *loop) startCluster(state raft.State) {
	core, err := raft.New(coreConfig(l.r.id), state)
	if err != nil {
		l.r.fail(err)
		return
	}
	l.core = core
	l.campaignAlone()
}

// campaignAlone spares a single voter the election timeout at its start.
func (l *loop) campaignAlone() {
	configuration := l.core.Status().Configuration
	if configuration.Voters() == 1 && configuration.IsVoter(l.r.id) {
		l.core.Campaign()
	}
}

func (l *loop) tick() {
	l.core.Tick()
	l.maintainMembers()
	if !l.writing {
		l.writingTicks = 0
		return
	}
	l.writingTicks++
	if l.writingTicks >= stalledTicks {
		l.core.StepDown()
	}
}

// openProposals stops taking proposals while too many wait for a quorum.
func (l *loop) openProposals() chan *proposal {
	if len(l.pending) >= maxPending || l.pendingBytes >= maxPendingBytes {
		return nil
	}
	return l.r.proposals
}

// openReads stops taking reads while too many wait for a quorum.
func (l *loop) openReads() chan *read {
	if len(l.reads) >= maxPending {
		return nil
	}
	return l.r.reads
}

// stepQueued handles the messages that are already there before the next write.
func (l *loop) stepQueued() {
	for range maxBatch {
		select {
		case m := <-l.r.inbox:
			l.core.Step(m)
		default:
			return
		}
	}
}

// advance hands out the core's work until there is none that may start now.
func (l *loop) advance() {
	early, reads := l.core.Urgent()
	l.send(early)
	l.finishReads(reads)
	for !l.writing {
		ready, ok := l.core.Ready()
		if !ok {
			break
		}
		l.send(ready.Early)
		l.finishReads(ready.Reads)
		if ready.NeedsWrite() {
			l.writing = true
			l.r.writes <- ready
			break
		}
		l.persisted(ready)
	}
	l.startApply()
	l.dropPending()
	l.publish()
}

func (l *loop) persisted(ready raft.Ready) {
	if ready.Snapshot != nil {
		l.snapshotIndex = max(l.snapshotIndex, ready.Snapshot.Meta.Index)
	}
	l.core.Persisted(ready)
	l.send(ready.Messages)
}

func (l *loop) startApply() {
	if l.applying {
		return
	}
	work, ok := l.core.NextApply(maxApplyBytes)
	if !ok {
		return
	}
	l.applying = true
	l.r.applies <- applyWork{Apply: work}
}

func (l *loop) finishApply(done applyDone) {
	l.applying = false
	if done.snapshot {
		return
	}
	for i, e := range done.entries {
		p := l.pending[e.Index]
		if p == nil {
			continue
		}
		delete(l.pending, e.Index)
		l.pendingBytes -= len(p.command)
		if e.Term != l.pendingTerm {
			// Another leader's entry took the place, so the command never takes effect.
			p.finish(outcome{err: ErrNotLeader})
			continue
		}
		p.finish(outcome{index: e.Index, result: done.results[i]})
	}
	l.core.Applied(done.index)
	l.startSnapshot()
}

func (l *loop) startSnapshot() {
	index := l.core.Status().Applied
	if l.saving || l.applying || index < l.snapshotIndex+l.r.options.SnapshotEvery {
		return
	}
	meta, ok := l.core.ConfigurationAt(index)
	if !ok {
		return
	}
	l.saving = true
	l.applying = true
	l.snapshotIndex = index
	l.r.applies <- applyWork{snapshot: &meta}
}

// dropPending ends the proposals of a lost leadership. Another leader may still
// commit them.
func (l *loop) dropPending() {
	if len(l.pending) == 0 {
		return
	}
	s := l.core.Status()
	if s.Role == raft.Leader && s.Term == l.pendingTerm {
		return
	}
	l.failPending()
}

func (l *loop) failPending() {
	for index, p := range l.pending {
		p.finish(outcome{err: ErrUnknown})
		delete(l.pending, index)
	}
	l.pendingBytes = 0
}

// stop ends everything that waits for the loop.
func (l *loop) stop() {
	l.failPending()
	for _, read := range l.reads {
		read.finish(outcome{err: ErrStopped})
	}
	for _, p := range l.peers {
		p.stop()
	}
}

// publish makes the member's view of the cluster available to other goroutines.
func (l *loop) publish() {
	s := l.core.Status()
	if !slices.Equal(l.configuration, s.Configuration.Members) {
		l.configuration = s.Configuration.Members
		l.members = nil
		for _, m := range l.configuration {
			l.members = append(l.members, Member{ID: m.ID, Address: m.Address, Learner: m.Learner})
		}
		_ = level.Info(l.r.logger).Log("msg", "members changed", "members", len(l.members), "voters", s.Configuration.Voters())
	}
	next := &Status{
		ID:            s.ID,
		Leader:        s.Leader,
		Term:          s.Term,
		Commit:        s.Commit,
		Applied:       s.Applied,
		Members:       l.members,
		QuorumContact: s.HearsLeader,
	}
	last := l.r.status.Swap(next)
	if last != nil && (last.Leader != next.Leader || last.Term != next.Term) {
		_ = level.Info(l.r.logger).Log("msg", "leader changed", "leader", next.Leader, "term", next.Term)
	}
	l.r.applied.advance(s.Applied)
}
