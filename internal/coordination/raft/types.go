package raft

import "slices"

// EntryKind says what an entry holds.
type EntryKind uint8

const (
	// EntryCommand holds a command for the state machine.
	EntryCommand EntryKind = 1
	// EntryNoop is the first entry of each leader; it has no data.
	EntryNoop EntryKind = 2
	// EntryConfig holds an encoded Configuration.
	EntryConfig EntryKind = 3
)

// Entry is one entry of the log. Entries are not modified once appended.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// HardState must be durable before messages that depend on it are sent.
type HardState struct {
	Term uint64
	// Vote is the candidate voted for in Term, 0 for none.
	Vote uint64
	// Commit may lag behind the true commit index after a restart.
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

// Find returns the member with the ID.
func (c Configuration) Find(id uint64) (Member, bool) {
	i := slices.IndexFunc(c.Members, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return c.Members[i], true
}

// IsVoter reports whether the member votes.
func (c Configuration) IsVoter(id uint64) bool {
	m, ok := c.Find(id)
	return ok && !m.Learner
}

// Voters returns the number of voters.
func (c Configuration) Voters() int {
	n := 0
	for _, m := range c.Members {
		if !m.Learner {
			n++
		}
	}
	return n
}

// quorum reports whether a majority of the voters satisfies the predicate.
func (c Configuration) quorum(satisfies func(id uint64) bool) bool {
	n := 0
	for _, m := range c.Members {
		if !m.Learner && satisfies(m.ID) {
			n++
		}
	}
	return n > c.Voters()/2
}

// with returns a copy in which the member is added or replaced.
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

// without returns a copy without the member.
func (c Configuration) without(id uint64) Configuration {
	next := Configuration{}
	for _, m := range c.Members {
		if m.ID != id {
			next.Members = append(next.Members, m)
		}
	}
	return next
}

// SnapshotMeta describes the last entry that a snapshot covers.
type SnapshotMeta struct {
	Index         uint64
	Term          uint64
	Configuration Configuration
}

// Snapshot is a state of the state machine.
type Snapshot struct {
	Meta SnapshotMeta
	Data []byte
}

// MessageKind says what a message is.
type MessageKind uint8

// Kinds of messages between members.
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
	// Index and LogTerm name the entry before Entries in MsgAppend, and the last
	// entry of a candidate's log in vote requests. In MsgAppendResponse Index is the
	// last matching entry, or the refused Index of the request.
	Index   uint64
	LogTerm uint64
	// Commit is the leader's commit index as far as the receiver may use it.
	Commit uint64
	// Hint and HintTerm name the entry from which a refused append may go on.
	Hint     uint64
	HintTerm uint64
	// Read is the round of confirmed reads that a heartbeat carries.
	Read   uint64
	Reject bool
	// Transfer marks an election that the leader asked for.
	Transfer bool
	Entries  []Entry
	// Snapshot is set in MsgSnapshot. The core fills in Meta; the caller replaces
	// the snapshot with its newest durable one before sending.
	Snapshot *Snapshot
}

// Role is the part that a member plays in its term.
type Role uint8

// Roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// ChangeKind says how a membership change alters the configuration.
type ChangeKind uint8

// Kinds of membership changes.
const (
	AddLearner ChangeKind = iota + 1
	Promote
	Remove
)

// Change is a membership change of one server.
type Change struct {
	Kind ChangeKind
	ID   uint64
	// Address is used by AddLearner.
	Address string
}

// ReadResult ends a read that was started with ReadIndex.
type ReadResult struct {
	ID uint64
	// Index must be applied before the read is served.
	Index uint64
	// Failed is set when the leader lost its leadership before a quorum confirmed the read.
	Failed bool
}
