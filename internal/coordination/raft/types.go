package raft

import "slices"

// EntryKind is the type of a log entry's data.
type EntryKind uint8

const (
	// EntryCommand holds a command for the state machine.
	EntryCommand EntryKind = 1
	// EntryNoop is the first entry of each leader; it has no data.
	EntryNoop EntryKind = 2
	// EntryConfig holds an encoded Configuration.
	EntryConfig EntryKind = 3
)

// Entry is an entry of the replicated log. It is immutable once appended.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// HardState holds the persisted term, vote and commit index of a member. It must be
// durable before messages that depend on it are sent.
type HardState struct {
	Term uint64
	// Vote is the candidate voted for in Term, 0 for none.
	Vote uint64
	// Commit is a lower bound of the commit index: an advance alone is not persisted,
	// so after a restart it may be lower than the index reached before.
	Commit uint64
}

// Member is a voter or a learner.
type Member struct {
	ID      uint64
	Address string
	Learner bool
}

// Configuration is the set of members, sorted by ID.
type Configuration struct {
	Members []Member
}

// Find returns the member with the given ID.
func (c Configuration) Find(id uint64) (Member, bool) {
	i := slices.IndexFunc(c.Members, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return c.Members[i], true
}

// IsVoter reports whether the configuration has a voter with the given ID.
func (c Configuration) IsVoter(id uint64) bool {
	m, ok := c.Find(id)
	return ok && !m.Learner
}

// VoterCount returns the number of voters.
func (c Configuration) VoterCount() int {
	n := 0
	for _, m := range c.Members {
		if !m.Learner {
			n++
		}
	}
	return n
}

// hasQuorum reports whether a majority of the voters satisfies the predicate.
func (c Configuration) hasQuorum(satisfies func(id uint64) bool) bool {
	n := 0
	for _, m := range c.Members {
		if !m.Learner && satisfies(m.ID) {
			n++
		}
	}
	return n > c.VoterCount()/2
}

// with returns a copy in which member is added or replaces the one with its ID.
func (c Configuration) with(member Member) Configuration {
	next := c.without(member.ID)
	next.Members = append(next.Members, member)
	slices.SortFunc(next.Members, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return next
}

// without returns a copy without the member that has the given ID.
func (c Configuration) without(id uint64) Configuration {
	next := Configuration{}
	for _, m := range c.Members {
		if m.ID != id {
			next.Members = append(next.Members, m)
		}
	}
	return next
}

// SnapshotMeta holds the index and term of the last entry that a snapshot covers and
// the configuration in effect at that index.
type SnapshotMeta struct {
	Index         uint64
	Term          uint64
	Configuration Configuration
}

// Snapshot is the state of the state machine after the entry at Meta.Index.
type Snapshot struct {
	Meta SnapshotMeta
	Data []byte
}

// MessageKind is the type of a message.
type MessageKind uint8

// Kinds of messages between members. The response to a vote request has the kind that
// follows the kind of the request.
const (
	MsgPreVote MessageKind = iota + 1
	MsgPreVoteResponse
	MsgVote
	MsgVoteResponse
	MsgAppend
	MsgAppendResponse
	MsgHeartbeat
	MsgHeartbeatResponse
	MsgSnapshot
	MsgTimeoutNow
	lastMessageKind = MsgTimeoutNow
)

// Message is sent from one member to another. Fields that a kind does not use are zero.
type Message struct {
	Kind MessageKind
	From uint64
	To   uint64
	Term uint64
	// Index and LogTerm identify the entry before Entries in MsgAppend, and the last
	// entry of a candidate's log in vote requests. In MsgAppendResponse Index is the
	// last matching entry or, with Reject, the Index of the rejected request.
	Index   uint64
	LogTerm uint64
	// Commit is the leader's commit index. In MsgHeartbeat it does not exceed the last
	// entry that is known to match the receiver's log.
	Commit uint64
	// HintIndex and HintTerm are set in a rejecting MsgAppendResponse. They identify the
	// last entry of the sender's log that may match the leader's.
	HintIndex uint64
	HintTerm  uint64
	// ReadRound is the leader's current round of read confirmations in MsgHeartbeat; the
	// MsgHeartbeatResponse returns it.
	ReadRound uint64
	Reject    bool
	// Transfer marks a vote request that results from a leadership transfer.
	Transfer bool
	Entries  []Entry
	// Snapshot is set in MsgSnapshot. The core fills in Meta; the caller replaces
	// the snapshot with its newest durable one before sending.
	Snapshot *Snapshot
}

// Role is the Raft role of a member in its current term.
type Role uint8

// Roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// ChangeKind is the type of a membership change.
type ChangeKind uint8

// Kinds of membership changes.
const (
	AddLearner ChangeKind = iota + 1
	Promote
	Remove
)

// String returns the name of the change for logs.
func (k ChangeKind) String() string {
	switch k {
	case AddLearner:
		return "add learner"
	case Promote:
		return "promote"
	case Remove:
		return "remove"
	default:
		return "unknown"
	}
}

// Change is a membership change that adds, promotes or removes one member.
type Change struct {
	Kind ChangeKind
	ID   uint64
	// Address of the new member; used only by AddLearner.
	Address string
}

// ReadResult is the outcome of a read that was started with ReadIndex.
type ReadResult struct {
	ID uint64
	// Index is the entry that the state machine must have applied before the read is served.
	Index uint64
	// Failed is set when this member ceased to be leader before a quorum confirmed the read.
	Failed bool
}
