package raft

import (
	"github.com/pkg/errors"
)

// Config holds the settings of a Core. Durations are counted in ticks.
type Config struct {
	// ID of this member; random, never 0, and never reused after the member's data was lost.
	ID uint64
	// ElectionTicks is the shortest election timeout; each timeout is drawn from
	// [ElectionTicks, 2*ElectionTicks).
	ElectionTicks int
	// InitialElectionTicks, if not 0, replaces ElectionTicks as the lower bound of the first
	// election timeout after a start. A short value is safe when only this member restarts:
	// the others ignore its pre-vote while they are in contact with a leader.
	InitialElectionTicks int
	// HeartbeatTicks is the interval between heartbeats.
	HeartbeatTicks int
	// SnapshotTicks is the time after which an unacknowledged snapshot is sent again.
	SnapshotTicks int
	// MaxAppendBytes limits the entries of one MsgAppend; a single entry may exceed it.
	MaxAppendBytes int
	// MaxInFlightAppends limits the unacknowledged MsgAppend messages to each member.
	MaxInFlightAppends int
	// RetainedEntries is the number of entries covered by a snapshot that stay in memory,
	// so that members slightly behind receive entries instead of a snapshot.
	RetainedEntries uint64
	// Random returns a random number in [0, n).
	Random func(n int) int
}

// State is the durable state from which New restores a Core.
type State struct {
	HardState HardState
	// Snapshot describes the newest snapshot; it is zero if there is none.
	Snapshot SnapshotMeta
	// Entries are the log entries after the snapshot.
	Entries []Entry
}

// Core is the consensus state of one member. It is not safe for concurrent use.
type Core struct {
	config Config
	id     uint64
	role   Role
	term   uint64
	// vote is the candidate voted for in term, 0 for none.
	vote uint64
	// leader is the leader of term, 0 if it is unknown.
	leader uint64
	log    *memoryLog
	// snapshotMeta describes the newest durable snapshot.
	snapshotMeta SnapshotMeta
	appliedIndex uint64

	electionElapsedTicks  int
	heartbeatElapsedTicks int
	electionTimeoutTicks  int
	// ticks counts the calls of Tick since the start.
	ticks uint64

	// votes holds the responses to the current campaign: true if the vote was granted.
	votes map[uint64]bool
	// progress holds the replication progress of each member while this one leads.
	progress map[uint64]*progress

	// transferTarget is the voter that is to become leader; 0 without a transfer.
	transferTarget       uint64
	transferElapsedTicks int

	reads readQueue

	// immediateMessages may be sent at once, messagesAfterPersist only after the next Ready
	// is durable.
	immediateMessages    []Message
	messagesAfterPersist []Message
	readResults          []ReadResult
	// commitAdvanced is set when the leader's commit index has advanced since the last
	// flushAppends, which then also sends an empty append with the new index to members in
	// stateReplicate that have no entries to receive.
	commitAdvanced     bool
	persistedHardState HardState
	// receivedSnapshot was received from the leader and is part of the next Ready.
	receivedSnapshot *Snapshot
	// snapshotToRestore is durable, but not restored by the state machine yet.
	snapshotToRestore *Snapshot
	// readyInFlight is set from Ready until Persisted.
	readyInFlight bool
}

// New returns a Core that starts as a follower. It returns ErrState if the parts of
// state are inconsistent.
func New(config Config, state State) (*Core, error) {
	log, err := newMemoryLog(state.Snapshot, state.Entries)
	if err != nil {
		return nil, err
	}
	if config.ID == 0 {
		return nil, errors.WithMessage(ErrState, "member ID is 0")
	}
	hardState := state.HardState
	if log.lastTerm() > hardState.Term {
		return nil, errors.WithMessagef(ErrState, "last log entry has term %d, above term %d of the hard state", log.lastTerm(), hardState.Term)
	}
	log.committed = max(log.offset, min(hardState.Commit, log.lastIndex()))
	c := &Core{
		config:             config,
		id:                 config.ID,
		term:               hardState.Term,
		vote:               hardState.Vote,
		log:                log,
		snapshotMeta:       state.Snapshot,
		appliedIndex:       log.offset,
		persistedHardState: hardState,
	}
	c.resetElectionTimer()
	if config.InitialElectionTicks > 0 {
		c.electionTimeoutTicks = config.InitialElectionTicks + config.Random(config.ElectionTicks)
	}
	return c, nil
}

// Tick advances the core's time by one tick.
func (c *Core) Tick() {
	c.ticks++
	c.electionElapsedTicks++
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.electionElapsedTicks < c.electionTimeoutTicks {
		return
	}
	c.electionElapsedTicks = 0
	c.randomizeElectionTimeout()
	if c.mayCampaign() {
		c.campaign(PreCandidate, false)
	}
}

func (c *Core) tickLeader() {
	if !c.hasQuorum(c.isActive) {
		// Check-quorum: without contact to a quorum, another leader may have been elected.
		c.becomeFollower(c.term, 0)
		return
	}
	c.tickTransfer()
	c.tickSnapshotTransfers()
	c.heartbeatElapsedTicks++
	if c.heartbeatElapsedTicks >= c.config.HeartbeatTicks {
		c.broadcastHeartbeat()
	}
}

// isActive reports whether this leader received a response from the member within the
// shortest election timeout. It is always true for the leader itself.
func (c *Core) isActive(id uint64) bool {
	p := c.progress[id]
	return id == c.id || (p != nil && c.ticks-p.lastResponseTick < uint64(c.config.ElectionTicks))
}

// hasQuorum reports whether a majority of the voters satisfies the predicate.
func (c *Core) hasQuorum(satisfies func(id uint64) bool) bool {
	return c.log.config().hasQuorum(satisfies)
}

// Step handles a message from another member. It ignores messages addressed to another ID.
func (c *Core) Step(m Message) {
	if m.To != c.id || !validEntries(m) {
		return
	}
	switch {
	case m.Term > c.term:
		if !c.stepHigherTerm(m) {
			return
		}
	case m.Term < c.term:
		c.stepLowerTerm(m)
		return
	}
	switch m.Kind {
	case MsgPreVote, MsgVote:
		c.handleVoteRequest(m)
	case MsgPreVoteResponse, MsgVoteResponse:
		c.handleVoteResponse(m)
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		c.handleLeaderMessage(m)
	case MsgAppendResponse, MsgHeartbeatResponse:
		c.handleResponse(m)
	case MsgTimeoutNow:
		if c.mayCampaign() && c.role == Follower {
			c.campaign(Candidate, true)
		}
	}
}

// validEntries checks what DecodeMessage does not: that the entries follow Index and
// have terms up to the message's, that each configuration can be decoded, and that a
// MsgSnapshot has a snapshot.
func validEntries(m Message) bool {
	for i, e := range m.Entries {
		if e.Index != m.Index+uint64(i)+1 || e.Term > m.Term {
			return false
		}
		if e.Kind == EntryConfig {
			if _, err := DecodeConfiguration(e.Data); err != nil {
				return false
			}
		}
	}
	return m.Kind != MsgSnapshot || m.Snapshot != nil
}

// stepHigherTerm adopts the message's term if its kind requires that. It returns false
// if the message must be ignored.
func (c *Core) stepHigherTerm(m Message) bool {
	isRequest := m.Kind == MsgPreVote || m.Kind == MsgVote
	if isRequest && !m.Transfer && c.hasLeaderContact() {
		// Leader stickiness: a partitioned or removed member must not depose a leader that
		// this member is in contact with.
		return false
	}
	switch {
	case m.Kind == MsgPreVote:
		// A pre-vote request carries the term of a possible election, not a current term.
	case m.Kind == MsgPreVoteResponse && !m.Reject:
		// A granted pre-vote carries the term of the request, not a current term.
	case m.Kind == MsgAppend || m.Kind == MsgHeartbeat || m.Kind == MsgSnapshot:
		c.becomeFollower(m.Term, m.From)
	default:
		c.becomeFollower(m.Term, 0)
	}
	return true
}

// stepLowerTerm rejects a message of a lower term, so that its sender adopts the current
// term. Otherwise a member whose term is above the leader's could neither follow that
// leader nor, because of leader stickiness, win an election.
func (c *Core) stepLowerTerm(m Message) {
	switch m.Kind {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		c.sendAfterPersist(Message{Kind: MsgAppendResponse, To: m.From, Reject: true, Index: m.Index})
	case MsgPreVote:
		c.sendAfterPersist(Message{Kind: MsgPreVoteResponse, To: m.From, Reject: true})
	}
}

// hasLeaderContact reports whether this member leads or received a message from the
// leader within the shortest election timeout.
func (c *Core) hasLeaderContact() bool {
	return c.role == Leader || (c.leader != 0 && c.electionElapsedTicks < c.config.ElectionTicks)
}

func (c *Core) becomeFollower(term, leader uint64) {
	if term > c.term {
		c.term = term
		c.vote = 0
	}
	c.role = Follower
	c.leader = leader
	c.progress = nil
	c.votes = nil
	c.transferTarget = 0
	c.failReads()
	c.resetElectionTimer()
}

func (c *Core) resetElectionTimer() {
	c.electionElapsedTicks = 0
	c.randomizeElectionTimeout()
}

func (c *Core) randomizeElectionTimeout() {
	c.electionTimeoutTicks = c.config.ElectionTicks + c.config.Random(c.config.ElectionTicks)
}

// sendAfterPersist queues a message that may be sent only after the next Ready is
// durable. Its term is the current one unless it is set.
func (c *Core) sendAfterPersist(m Message) {
	m.From = c.id
	if m.Term == 0 {
		m.Term = c.term
	}
	c.messagesAfterPersist = append(c.messagesAfterPersist, m)
}

// sendImmediately queues a message that may be sent before the next Ready is durable.
func (c *Core) sendImmediately(m Message) {
	m.From = c.id
	m.Term = c.term
	c.immediateMessages = append(c.immediateMessages, m)
}
