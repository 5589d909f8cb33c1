package raft

// Ready is work for the caller, in this order: send Early and answer Reads; make
// Snapshot, HardState and Entries durable; call Persisted; send Messages.
type Ready struct {
	// Early messages do not depend on this Ready being durable.
	Early []Message
	// Reads are finished confirmed reads.
	Reads []ReadResult
	// Snapshot replaces the whole log and state when it is not nil.
	Snapshot *Snapshot
	// HardState is nil when it did not change.
	HardState *HardState
	// Entries replace those with the same or a higher index.
	Entries []Entry
	// Messages are sent after everything above is durable.
	Messages []Message

	own []Message
}

// NeedsWrite reports whether the Ready holds anything to make durable.
func (r *Ready) NeedsWrite() bool {
	return r.Snapshot != nil || r.HardState != nil || len(r.Entries) > 0
}

// Urgent returns messages that may be sent, and reads that may be answered, while a
// Ready is being made durable: heartbeats, their answers and a leader's appends. A
// slow disk must not look like an absent member.
func (c *Core) Urgent() ([]Message, []ReadResult) {
	c.startReads()
	c.flushAppends()
	early, reads := c.early, c.readResults
	c.early, c.readResults = nil, nil
	return early, reads
}

// Ready returns the next work; false when there is none or while the last Ready
// is not persisted.
func (c *Core) Ready() (Ready, bool) {
	if c.readyInFlight {
		return Ready{}, false
	}
	r := Ready{Snapshot: c.incoming}
	r.Early, r.Reads = c.Urgent()
	c.incoming = nil
	for _, m := range c.late {
		if m.To == c.id {
			r.own = append(r.own, m)
		} else {
			r.Messages = append(r.Messages, m)
		}
	}
	c.late = nil
	if hard := c.hardState(); c.mustSave(hard) || c.log.stable < c.log.lastIndex() {
		r.HardState = &hard
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

// mustSave ignores a change of the commit index alone: it can be learnt again and
// is saved along with the next entries.
func (c *Core) mustSave(hard HardState) bool {
	return hard.Term != c.savedState.Term || hard.Vote != c.savedState.Vote
}

func (r *Ready) isEmpty() bool {
	return !r.NeedsWrite() && len(r.Early)+len(r.Reads)+len(r.Messages)+len(r.own) == 0
}

// Persisted reports that the Ready is durable.
func (c *Core) Persisted(r Ready) {
	c.readyInFlight = false
	if r.HardState != nil {
		c.savedState = *r.HardState
	}
	if r.Snapshot != nil {
		c.snapshot = r.Snapshot.Meta
		c.installed = r.Snapshot
	}
	c.advanceStable(r.Entries)
	for _, m := range r.own {
		c.Step(m)
	}
}

func (c *Core) advanceStable(entries []Entry) {
	if len(entries) == 0 || c.incoming != nil {
		// A snapshot that arrived meanwhile will replace what was written.
		return
	}
	last := entries[len(entries)-1]
	if last.Index <= c.log.stable || !c.log.matches(last.Index, last.Term) {
		// The entries were replaced meanwhile and will be written again.
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

// NextApply returns durable, committed entries that follow the applied index, at
// least one if there is any, then up to maxBytes; or a snapshot. False when there
// is nothing. Each item is returned until Applied is called for its last index.
func (c *Core) NextApply(maxBytes int) (Apply, bool) {
	if c.installed != nil {
		return Apply{Snapshot: c.installed}, true
	}
	if c.incoming != nil || c.applied < c.log.offset {
		return Apply{}, false
	}
	last := min(c.log.committed, c.log.stable)
	entries := c.log.slice(c.applied+1, last, maxBytes)
	return Apply{Entries: entries}, len(entries) > 0
}

// Applied reports that the state machine holds everything up to the index.
func (c *Core) Applied(index uint64) {
	c.applied = max(c.applied, index)
	if c.installed != nil && c.installed.Meta.Index <= c.applied {
		c.installed = nil
	}
}
