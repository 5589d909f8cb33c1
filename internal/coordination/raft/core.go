package raft

import (
	"github.com/pkg/errors"
)

// Config holds the settings of a core. Durations are counted in ticks.
type Config struct {
	// ID of this member; random, never 0, and never reused after its data was lost.
	ID uint64
	// ElectionTicks is the shortest election timeout; each timeout is drawn from
	// [ElectionTicks, 2*ElectionTicks).
	ElectionTicks int
	// StartTicks replaces ElectionTicks in the first timeout after a start, when it is not
	// 0. A member that starts alone does no harm with a short one: its pre-vote is refused
	// while the others hear a leader.
	StartTicks int
	// HeartbeatTicks is the interval of heartbeats.
	HeartbeatTicks int
	// SnapshotTicks is the time after which a snapshot that was not acknowledged is sent again.
	SnapshotTicks int
	// MaxAppendBytes bounds the entries of one message; one entry is always sent.
	MaxAppendBytes int
	// MaxInFlight bounds the appends to one member that are not acknowledged.
	MaxInFlight int
	// KeepEntries is the number of entries before a snapshot that stay in memory
	// for members that lag a little.
	KeepEntries uint64
	// Random returns a number in [0, n).
	Random func(n int) int
}

// State is the durable state that a core starts from.
type State struct {
	HardState HardState
	// Snapshot describes the newest snapshot; zero without one.
	Snapshot SnapshotMeta
	// Entries follow the snapshot.
	Entries []Entry
}

// Core is the consensus state of one member. It is used by one goroutine at a time.
type Core struct {
	config Config
	id     uint64
	role   Role
	term   uint64
	vote   uint64
	leader uint64
	log    *memoryLog
	// snapshot describes the newest durable snapshot.
	snapshot SnapshotMeta
	applied  uint64

	electionElapsed  int
	heartbeatElapsed int
	electionTimeout  int
	ticks            uint64

	votes    map[uint64]bool
	progress map[uint64]*progress

	transferTarget  uint64
	transferElapsed int

	reads readQueue

	// early messages may be sent at once, late ones after persistence.
	early         []Message
	late          []Message
	readResults   []ReadResult
	announce      bool
	savedState    HardState
	incoming      *Snapshot
	installed     *Snapshot
	readyInFlight bool
}

// New returns a core in the role of a follower. It returns ErrState for a state
// that contradicts itself.
func New(config Config, state State) (*Core, error) {
	log, err := newMemoryLog(state.Snapshot, state.Entries)
	if err != nil {
		return nil, err
	}
	if config.ID == 0 {
		return nil, errors.WithMessage(ErrState, "member ID is 0")
	}
	hard := state.HardState
	if log.lastTerm() > hard.Term {
		return nil, errors.WithMessagef(ErrState, "log ends in term %d, hard state has %d", log.lastTerm(), hard.Term)
	}
	log.committed = max(log.offset, min(hard.Commit, log.lastIndex()))
	c := &Core{
		config:     config,
		id:         config.ID,
		term:       hard.Term,
		vote:       hard.Vote,
		log:        log,
		snapshot:   state.Snapshot,
		applied:    log.offset,
		savedState: hard,
	}
	c.resetElection()
	if config.StartTicks > 0 {
		c.electionTimeout = config.StartTicks + config.Random(config.ElectionTicks)
	}
	return c, nil
}

// Tick advances the core's time by one tick.
func (c *Core) Tick() {
	c.ticks++
	c.electionElapsed++
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.electionElapsed < c.electionTimeout {
		return
	}
	c.electionElapsed = 0
	c.drawElectionTimeout()
	if c.mayCampaign() {
		c.campaign(PreCandidate, false)
	}
}

func (c *Core) tickLeader() {
	if !c.quorum(c.isActive) {
		// Check-quorum: without contact to a quorum another leader may exist.
		c.becomeFollower(c.term, 0)
		return
	}
	c.tickTransfer()
	c.tickSnapshots()
	c.heartbeatElapsed++
	if c.heartbeatElapsed >= c.config.HeartbeatTicks {
		c.broadcastHeartbeat()
	}
}

// isActive reports whether this leader heard from the member within the shortest
// election timeout.
func (c *Core) isActive(id uint64) bool {
	p := c.progress[id]
	return id == c.id || (p != nil && c.ticks-p.heard < uint64(c.config.ElectionTicks))
}

// quorum reports whether a majority of the voters satisfies the predicate.
func (c *Core) quorum(satisfies func(id uint64) bool) bool {
	return c.log.config().quorum(satisfies)
}

// Step handles a message from another member. Messages for another ID are ignored.
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
		c.handleFromLeader(m)
	case MsgAppendResponse, MsgHeartbeatResponse:
		c.handleResponse(m)
	case MsgTimeoutNow:
		if c.mayCampaign() && c.role == Follower {
			c.campaign(Candidate, true)
		}
	}
}

// validEntries checks what the decoder does not: entries continue at Index and
// configurations can be decoded.
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

// stepHigherTerm adopts the message's term where that is allowed; false ends its handling.
func (c *Core) stepHigherTerm(m Message) bool {
	isRequest := m.Kind == MsgPreVote || m.Kind == MsgVote
	if isRequest && !m.Transfer && c.hearsLeader() {
		// Stickiness: while a leader is heard, a partitioned or removed member must not disturb it.
		return false
	}
	switch {
	case m.Kind == MsgPreVote:
		// A pre-vote asks about a future term and changes nothing.
	case m.Kind == MsgPreVoteResponse && !m.Reject:
		// A granted pre-vote carries the term that the candidate asked about.
	case m.Kind == MsgAppend || m.Kind == MsgHeartbeat || m.Kind == MsgSnapshot:
		c.becomeFollower(m.Term, m.From)
	default:
		c.becomeFollower(m.Term, 0)
	}
	return true
}

// stepLowerTerm tells a sender with a lower term about the current one. Otherwise
// a member whose term is higher could neither follow the leader nor, because of
// stickiness, win an election.
func (c *Core) stepLowerTerm(m Message) {
	switch m.Kind {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		c.sendLate(Message{Kind: MsgAppendResponse, To: m.From, Reject: true, Index: m.Index})
	case MsgPreVote:
		c.sendLate(Message{Kind: MsgPreVoteResponse, To: m.From, Reject: true})
	}
}

func (c *Core) hearsLeader() bool {
	return c.role == Leader || (c.leader != 0 && c.electionElapsed < c.config.ElectionTicks)
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
	c.resetElection()
}

func (c *Core) resetElection() {
	c.electionElapsed = 0
	c.drawElectionTimeout()
}

func (c *Core) drawElectionTimeout() {
	c.electionTimeout = c.config.ElectionTicks + c.config.Random(c.config.ElectionTicks)
}

func (c *Core) sendLate(m Message) {
	m.From = c.id
	if m.Term == 0 {
		m.Term = c.term
	}
	c.late = append(c.late, m)
}

func (c *Core) sendEarly(m Message) {
	m.From = c.id
	m.Term = c.term
	c.early = append(c.early, m)
}
