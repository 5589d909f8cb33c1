package raft

// Ready is pending work, which the caller does in this order: send Immediate and complete
// Reads; make Snapshot, HardState and Entries durable; call Persisted; send Messages.
type Ready struct {
	// Immediate messages do not depend on this Ready being durable.
	Immediate []Message
	// Reads are the results of confirmed and failed reads.
	Reads []ReadResult
	// Snapshot, if not nil, replaces the whole log and the state machine's state.
	Snapshot *Snapshot
	// HardState is nil if it need not be written.
	HardState *HardState
	// Entries replace all stored entries whose index is not lower than the first one's.
	Entries []Entry
	// Messages may be sent only after Snapshot, HardState and Entries are durable.
	Messages []Message

	// selfMessages are messages of this member to itself, which Persisted handles.
	selfMessages []Message
}

// NeedsWrite reports whether the Ready has anything to make durable.
func (r *Ready) NeedsWrite() bool {
	return r.Snapshot != nil || r.HardState != nil || len(r.Entries) > 0
}

// TakeImmediate returns messages that may be sent, and read results that may be used, while
// a Ready is being made durable: mainly heartbeats, their responses and a leader's appends.
// They do not wait for the disk, so that a member with a slow disk does not appear failed.
func (c *Core) TakeImmediate() ([]Message, []ReadResult) {
	c.startReads()
	c.flushAppends()
	messages, reads := c.immediateMessages, c.readResults
	c.immediateMessages, c.readResults = nil, nil
	return messages, reads
}

// Ready returns the next pending work, or false if there is none or if Persisted was not
// called for the last Ready.
func (c *Core) Ready() (Ready, bool) {
	if c.readyInFlight {
		return Ready{}, false
	}
	r := Ready{Snapshot: c.receivedSnapshot}
	r.Immediate, r.Reads = c.TakeImmediate()
	c.receivedSnapshot = nil
	for _, m := range c.messagesAfterPersist {
		if m.To == c.id {
			r.selfMessages = append(r.selfMessages, m)
		} else {
			r.Messages = append(r.Messages, m)
		}
	}
	c.messagesAfterPersist = nil
	if current := c.hardState(); c.termOrVoteChanged(current) || c.log.stable < c.log.lastIndex() {
		r.HardState = &current
	}
	r.Entries = c.log.slice(c.log.stable+1, c.log.lastIndex(), int(^uint(0)>>1))
	if r.isEmpty() {
		return Ready{}, false
	}
	c.readyInFlight = true
	return r, true
}

func (c *Core) hardState() HardState {
	return HardState{Term: c.term, Vote: c.vote, Commit: c.log.committed}
}

// termOrVoteChanged reports whether the term or the vote differs from the persisted one. A
// change of the commit index alone needs no write: the index can be learned again from the
// leader and is written together with the next entries.
func (c *Core) termOrVoteChanged(current HardState) bool {
	return current.Term != c.persistedHardState.Term || current.Vote != c.persistedHardState.Vote
}

func (r *Ready) isEmpty() bool {
	return !r.NeedsWrite() && len(r.Immediate)+len(r.Reads)+len(r.Messages)+len(r.selfMessages) == 0
}

// Persisted tells the core that the Ready is durable.
func (c *Core) Persisted(r Ready) {
	c.readyInFlight = false
	if r.HardState != nil {
		c.persistedHardState = *r.HardState
	}
	if r.Snapshot != nil {
		c.snapshotMeta = r.Snapshot.Meta
		c.snapshotToRestore = r.Snapshot
	}
	c.advanceStable(r.Entries)
	for _, m := range r.selfMessages {
		c.Step(m)
	}
}

// advanceStable marks the written entries as durable.
func (c *Core) advanceStable(entries []Entry) {
	if len(entries) == 0 || c.receivedSnapshot != nil {
		// A snapshot received during the write replaces the written entries.
		return
	}
	last := entries[len(entries)-1]
	if last.Index <= c.log.stable || !c.log.matches(last.Index, last.Term) {
		// The entries were replaced during the write; the new ones are still to be written.
		return
	}
	c.log.stable = last.Index
	if p := c.progress[c.id]; c.role == Leader && p != nil {
		p.acknowledge(last.Index)
		c.maybeCommit()
	}
}

// Apply is work for the state machine: a snapshot to restore or entries to apply.
type Apply struct {
	Snapshot *Snapshot
	Entries  []Entry
}

// NextApply returns the snapshot to restore, if there is one, or else the durable and
// committed entries after the applied index, limited to maxBytes but at least one. It
// returns false if there is nothing to apply. It returns the same work again until Applied
// is called for its last index.
func (c *Core) NextApply(maxBytes int) (Apply, bool) {
	if c.snapshotToRestore != nil {
		return Apply{Snapshot: c.snapshotToRestore}, true
	}
	if c.receivedSnapshot != nil || c.appliedIndex < c.log.offset {
		return Apply{}, false
	}
	last := min(c.log.committed, c.log.stable)
	entries := c.log.slice(c.appliedIndex+1, last, maxBytes)
	return Apply{Entries: entries}, len(entries) > 0
}

// Applied tells the core that the state machine has applied all entries up to index.
func (c *Core) Applied(index uint64) {
	c.appliedIndex = max(c.appliedIndex, index)
	if c.snapshotToRestore != nil && c.snapshotToRestore.Meta.Index <= c.appliedIndex {
		c.snapshotToRestore = nil
	}
}
