package replica

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chicorylever/chicorylever/internal/coordination/raft"
)

// loop is the event loop that owns the consensus core. Only its goroutine accesses its fields.
type loop struct {
	r    *Replica
	core *raft.Core

	writeInProgress bool
	// writeElapsedTicks counts the ticks since the write in progress began.
	writeElapsedTicks  int
	applyInProgress    bool
	snapshotInProgress bool
	// snapshotIndex is the log index of the newest snapshot, also while it is being saved.
	snapshotIndex uint64

	// pendingProposals holds the proposals made in term pendingTerm by log index.
	pendingProposals map[uint64]*proposal
	pendingTerm      uint64
	// pendingCommandBytes is the total size of the commands in pendingProposals.
	pendingCommandBytes int
	// refusesProposals is set once the member stops: further proposals are not appended.
	refusesProposals bool
	// pendingReads holds the reads that wait for a quorum by read ID.
	pendingReads map[uint64]*readRequest
	lastReadID   uint64
	peers        map[uint64]*peer
	// learnedAddresses holds the addresses of senders that are not in the configuration,
	// by member ID.
	learnedAddresses map[uint64]string
	// stoppingMembers holds the members that have announced their stop, with the ticks for
	// which the notice holds.
	stoppingMembers map[uint64]int
	// silentVoters is the number of silent voters at the last tick as leader.
	silentVoters int
	// publishedMembers is publishedConfiguration in the form of Status.
	publishedMembers       []Member
	publishedConfiguration []raft.Member
}

func newLoop(r *Replica, core *raft.Core) *loop {
	return &loop{
		r:                r,
		core:             core,
		snapshotIndex:    core.Status().Applied,
		pendingProposals: map[uint64]*proposal{},
		pendingReads:     map[uint64]*readRequest{},
		peers:            map[uint64]*peer{},
		learnedAddresses: map[uint64]string{},
		stoppingMembers:  map[uint64]int{},
	}
}

func (l *loop) run() {
	ticker := time.NewTicker(l.r.options.TickInterval)
	defer ticker.Stop()
	defer l.stop()
	l.campaignIfSoleVoter()
	for {
		l.dispatchReady()
		select {
		case <-l.r.ctx.Done():
			return
		case <-ticker.C:
			l.tick()
		case m := <-l.r.inbox:
			l.core.Step(m)
			l.stepQueuedMessages()
		case p := <-l.proposalsBelowLimit():
			l.proposeBatch(p)
		case request := <-l.readsBelowLimit():
			l.startRead(request)
		case call := <-l.r.loopCalls:
			call()
		case state := <-l.r.initialState:
			l.startCluster(state)
		case ready := <-l.r.logWritesDone:
			l.writeInProgress = false
			l.writeElapsedTicks = 0
			l.finishPersist(ready)
		case result := <-l.r.applyResults:
			l.finishApply(result)
		case meta := <-l.r.snapshotsSaved:
			l.snapshotInProgress = false
			l.core.Compact(meta)
		}
	}
}

// startCluster replaces the core, which has not taken part in any election or
// replication, with one that holds the initial configuration.
func (l *loop) startCluster(state raft.State) {
	core, err := raft.New(coreConfig(l.r.id), state)
	if err != nil {
		l.r.fail(err)
		return
	}
	l.core = core
	l.campaignIfSoleVoter()
}

// campaignIfSoleVoter starts an election at once if this member is the only voter, so
// that it does not wait for the election timeout.
func (l *loop) campaignIfSoleVoter() {
	configuration := l.core.Status().Configuration
	if configuration.VoterCount() == 1 && configuration.IsVoter(l.r.id) {
		l.core.Campaign()
	}
}

func (l *loop) tick() {
	l.core.Tick()
	l.maintainMembers()
	if !l.writeInProgress {
		l.writeElapsedTicks = 0
		return
	}
	l.writeElapsedTicks++
	if l.writeElapsedTicks >= writeStallTicks {
		l.core.StepDown()
	}
}

// proposalsBelowLimit returns the channel of proposals, or nil while the pending
// proposals are at the limit of their number or of their size.
func (l *loop) proposalsBelowLimit() chan *proposal {
	if len(l.pendingProposals) >= maxPendingRequests || l.pendingCommandBytes >= maxPendingCommandBytes {
		return nil
	}
	return l.r.proposals
}

// readsBelowLimit returns the channel of reads, or nil while too many wait for a quorum.
func (l *loop) readsBelowLimit() chan *readRequest {
	if len(l.pendingReads) >= maxPendingRequests {
		return nil
	}
	return l.r.reads
}

// stepQueuedMessages passes the messages that are already in the inbox to the core, so
// that they share the next write.
func (l *loop) stepQueuedMessages() {
	for range maxBatchItems {
		select {
		case m := <-l.r.inbox:
			l.core.Step(m)
		default:
			return
		}
	}
}

// dispatchReady hands the core's ready work to the other goroutines until none is left
// that may start now.
func (l *loop) dispatchReady() {
	immediateMessages, readResults := l.core.TakeImmediate()
	l.send(immediateMessages)
	l.finishReads(readResults)
	for !l.writeInProgress {
		ready, ok := l.core.Ready()
		if !ok {
			break
		}
		l.send(ready.Immediate)
		l.finishReads(ready.Reads)
		if ready.NeedsWrite() {
			l.writeInProgress = true
			l.r.logWrites <- ready
			break
		}
		l.finishPersist(ready)
	}
	l.startApply()
	l.failPendingIfLeadershipLost()
	l.publishStatus()
}

// finishPersist reports to the core that a Ready is durable or needed no write, then
// sends the messages that had to wait for it.
func (l *loop) finishPersist(ready raft.Ready) {
	if ready.Snapshot != nil {
		l.snapshotIndex = max(l.snapshotIndex, ready.Snapshot.Meta.Index)
	}
	l.core.Persisted(ready)
	l.send(ready.Messages)
}

func (l *loop) startApply() {
	if l.applyInProgress {
		return
	}
	batch, ok := l.core.NextApply(maxApplyBytes)
	if !ok {
		return
	}
	l.applyInProgress = true
	l.r.applyRequests <- applyRequest{Apply: batch}
}

func (l *loop) finishApply(result applyResult) {
	l.applyInProgress = false
	if result.tookSnapshot {
		return
	}
	for i, e := range result.entries {
		p := l.pendingProposals[e.Index]
		if p == nil {
			continue
		}
		delete(l.pendingProposals, e.Index)
		l.pendingCommandBytes -= len(p.command)
		if e.Term != l.pendingTerm {
			// The index holds an entry of another leader, so the command never takes effect.
			p.finish(outcome{err: ErrNotLeader})
			continue
		}
		p.finish(outcome{index: e.Index, result: result.results[i]})
	}
	l.core.Applied(result.index)
	l.startSnapshot()
}

func (l *loop) startSnapshot() {
	index := l.core.Status().Applied
	if l.snapshotInProgress || l.applyInProgress || index < l.snapshotIndex+l.r.options.SnapshotIntervalEntries {
		return
	}
	meta, ok := l.core.SnapshotMetaAt(index)
	if !ok {
		return
	}
	l.snapshotInProgress = true
	l.applyInProgress = true
	l.snapshotIndex = index
	l.r.applyRequests <- applyRequest{snapshotMeta: &meta}
}

// failPendingIfLeadershipLost ends the proposals of a term in which this member no
// longer leads. Their outcome is unknown, because another leader may still commit them.
func (l *loop) failPendingIfLeadershipLost() {
	if len(l.pendingProposals) == 0 {
		return
	}
	s := l.core.Status()
	if s.Role == raft.Leader && s.Term == l.pendingTerm {
		return
	}
	l.failPendingProposals()
}

func (l *loop) failPendingProposals() {
	for index, p := range l.pendingProposals {
		p.finish(outcome{err: ErrOutcomeUnknown})
		delete(l.pendingProposals, index)
	}
	l.pendingCommandBytes = 0
}

// stop ends the pending proposals and reads and stops the senders to the peers.
func (l *loop) stop() {
	l.failPendingProposals()
	for _, request := range l.pendingReads {
		request.finish(outcome{err: ErrStopped})
	}
	for _, p := range l.peers {
		p.stop()
	}
}

// publishStatus makes this member's view of the cluster available to other goroutines.
func (l *loop) publishStatus() {
	s := l.core.Status()
	if !slices.Equal(l.publishedConfiguration, s.Configuration.Members) {
		l.publishedConfiguration = s.Configuration.Members
		l.publishedMembers = nil
		for _, m := range l.publishedConfiguration {
			l.publishedMembers = append(l.publishedMembers, Member{ID: m.ID, Address: m.Address, Learner: m.Learner})
		}
		_ = level.Info(l.r.logger).Log("msg", "cluster configuration changed", "members", len(l.publishedMembers), "voters", s.Configuration.VoterCount())
	}
	current := &Status{
		ID:            s.ID,
		Leader:        s.Leader,
		Term:          s.Term,
		Commit:        s.Commit,
		Applied:       s.Applied,
		Members:       l.publishedMembers,
		QuorumContact: s.HasLeaderContact,
		SilentVoters:  l.silentVoters,
		LogGeneration: l.r.logGeneration,
	}
	previous := l.r.status.Swap(current)
	if previous != nil && (previous.Leader != current.Leader || previous.Term != current.Term) {
		_ = level.Info(l.r.logger).Log("msg", "leader or term changed", "leader", current.Leader, "term", current.Term)
	}
	l.r.appliedIndex.advance(s.Applied)
}
