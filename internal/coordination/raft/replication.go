package raft

import "slices"

// Propose appends commands to the leader's log and returns the index of the first entry
// and the term of all. It returns ErrNotLeader if this member does not lead or transfers
// its leadership.
func (c *Core) Propose(commands [][]byte) (first, term uint64, err error) {
	if c.role != Leader || c.transferTarget != 0 {
		return 0, 0, ErrNotLeader
	}
	first = c.log.lastIndex() + 1
	for _, command := range commands {
		c.appendAsLeader(EntryCommand, command)
	}
	return first, c.term, nil
}

// appendAsLeader appends an entry of the current term and returns its index.
func (c *Core) appendAsLeader(kind EntryKind, data []byte) uint64 {
	index := c.log.lastIndex() + 1
	c.log.appendEntry(Entry{Index: index, Term: c.term, Kind: kind, Data: data})
	return index
}

func (c *Core) handleLeaderMessage(m Message) {
	if c.role == Leader {
		return
	}
	if c.role != Follower {
		c.becomeFollower(m.Term, m.From)
	}
	c.leader = m.From
	c.electionElapsedTicks = 0
	switch m.Kind {
	case MsgAppend:
		c.handleAppend(m)
	case MsgSnapshot:
		c.handleSnapshot(m)
	default:
		c.commitTo(m.Commit)
		c.respondToHeartbeat(m)
	}
}

// respondToHeartbeat responds at once, because a heartbeat changes no durable state, unless
// the term of the response is not durable yet.
func (c *Core) respondToHeartbeat(m Message) {
	response := Message{Kind: MsgHeartbeatResponse, To: m.From, ReadRound: m.ReadRound}
	if c.term == c.persistedHardState.Term {
		c.sendImmediately(response)
		return
	}
	c.sendAfterPersist(response)
}

func (c *Core) handleAppend(m Message) {
	response := Message{Kind: MsgAppendResponse, To: m.From}
	switch {
	case m.Index < c.log.committed:
		// All entries up to the commit index are known to match the leader's log.
		response.Index = c.log.committed
	case c.log.matches(m.Index, m.LogTerm):
		lastIndex := m.Index + uint64(len(m.Entries))
		c.log.merge(m.Entries)
		c.commitTo(min(m.Commit, lastIndex))
		response.Index = lastIndex
	default:
		response.Reject = true
		response.Index = m.Index
		response.HintIndex, response.HintTerm = c.log.findConflictByTerm(m.Index-1, m.LogTerm)
	}
	c.sendAfterPersist(response)
}

// commitTo advances the commit index to index, limited to the last entry of the log.
func (c *Core) commitTo(index uint64) {
	c.log.committed = max(c.log.committed, min(index, c.log.lastIndex()))
}

func (c *Core) handleResponse(m Message) {
	p := c.progress[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.lastResponseTick = c.ticks
	if m.Kind == MsgHeartbeatResponse {
		c.handleHeartbeatResponse(m, p)
		return
	}
	if m.Reject {
		c.handleRejectedAppend(m, p)
		return
	}
	if m.Index > c.log.lastIndex() {
		return
	}
	c.handleAcknowledgement(m, p)
}

func (c *Core) handleAcknowledgement(m Message, p *progress) {
	advanced := p.acknowledge(m.Index)
	c.updateCatchUpRound(p)
	switch {
	case p.state == stateProbe:
		p.becomeReplicate()
	case p.state == stateSnapshot && p.matchIndex >= c.log.offset:
		p.becomeReplicate()
	}
	if !advanced {
		return
	}
	c.maybeCommit()
	if m.From == c.transferTarget {
		c.maybeSendTimeoutNow()
	}
}

func (c *Core) handleRejectedAppend(m Message, p *progress) {
	stale := m.Index <= p.matchIndex
	if p.state == stateProbe {
		stale = stale || m.Index != p.nextIndex-1
	}
	if stale || p.state == stateSnapshot {
		return
	}
	lastMatch := m.HintIndex
	if lastMatch >= c.log.offset {
		lastMatch, _ = c.log.findConflictByTerm(m.HintIndex, m.HintTerm)
	}
	// If the next entry is no longer in the log, sendAppend sends a snapshot instead.
	p.becomeProbe(min(lastMatch+1, m.Index))
}

func (c *Core) handleHeartbeatResponse(m Message, p *progress) {
	p.confirmedReadRound = max(p.confirmedReadRound, m.ReadRound)
	p.probeSent = false
	if p.state == stateReplicate && p.matchIndex < c.log.lastIndex() {
		// An append may have been lost. In that case the member rejects this empty append,
		// which follows the last entry sent, and handleRejectedAppend returns the member to
		// stateProbe.
		c.sendAppend(m.From, p, true)
	}
	c.updateCatchUpRound(p)
	c.confirmReads()
	if m.From == c.transferTarget {
		// The request to start an election may have been lost.
		c.maybeSendTimeoutNow()
	}
}

// flushAppends sends the entries that each member is missing. It runs once for each Ready,
// so that proposals made since the last one share messages.
func (c *Core) flushAppends() {
	if c.role != Leader {
		return
	}
	for _, m := range c.log.config().Members {
		if m.ID == c.id {
			continue
		}
		c.flushMember(m.ID)
	}
	c.commitAdvanced = false
}

func (c *Core) flushMember(id uint64) {
	p := c.progress[id]
	sent := false
	for !p.isPaused(c.config.MaxInFlightAppends) && p.nextIndex <= c.log.lastIndex() {
		c.sendAppend(id, p, false)
		sent = true
	}
	if !sent && c.commitAdvanced && p.state == stateReplicate {
		c.sendAppend(id, p, true)
	}
}

// sendAppend sends the entries from nextIndex on, or none if empty is set. It sends a
// snapshot if the log no longer holds the entry before them.
func (c *Core) sendAppend(id uint64, p *progress, empty bool) {
	previousIndex := p.nextIndex - 1
	term, ok := c.log.term(previousIndex)
	if !ok {
		c.sendSnapshot(id, p)
		return
	}
	m := Message{Kind: MsgAppend, To: id, Index: previousIndex, LogTerm: term, Commit: c.log.committed}
	if !empty {
		m.Entries = c.log.slice(p.nextIndex, c.log.lastIndex(), c.config.MaxAppendBytes)
	}
	if p.state == stateProbe {
		p.probeSent = true
	} else if len(m.Entries) > 0 {
		p.nextIndex += uint64(len(m.Entries))
		p.inFlight = append(p.inFlight, p.nextIndex-1)
	}
	c.sendImmediately(m)
}

func (c *Core) broadcastHeartbeat() {
	c.heartbeatElapsedTicks = 0
	for _, m := range c.log.config().Members {
		if m.ID == c.id {
			continue
		}
		p := c.progress[m.ID]
		c.sendImmediately(Message{
			Kind:      MsgHeartbeat,
			To:        m.ID,
			Commit:    min(p.matchIndex, c.log.committed),
			ReadRound: c.reads.round,
		})
	}
}

// maybeCommit advances the commit index to the highest index that is durable on a quorum,
// if the entry there is of the current term.
func (c *Core) maybeCommit() {
	config := c.log.config()
	var matchIndexes []uint64
	for _, m := range config.Members {
		if !m.Learner {
			matchIndexes = append(matchIndexes, c.progress[m.ID].matchIndex)
		}
	}
	if len(matchIndexes) == 0 {
		return
	}
	slices.Sort(matchIndexes)
	// Of n values in ascending order, a majority is at least as high as the one at (n-1)/2.
	index := matchIndexes[(len(matchIndexes)-1)/2]
	if index <= c.log.committed || !c.log.matches(index, c.term) {
		return
	}
	c.log.committed = index
	c.commitAdvanced = true
	c.confirmReads()
	if c.log.configIndex() <= index && !config.IsVoter(c.id) {
		// A removed leader steps down when its removal is committed.
		c.flushAppends()
		c.becomeFollower(c.term, 0)
	}
}
