package raft

import "slices"

// Propose appends commands to the leader's log and returns the index of the first
// and their term. It returns ErrNotLeader, also while leadership is handed over.
func (c *Core) Propose(commands [][]byte) (first, term uint64, err error) {
	if c.role != Leader || c.transferTarget != 0 {
		return 0, 0, ErrNotLeader
	}
	first = c.log.lastIndex() + 1
	for _, command := range commands {
		c.appendOwn(EntryCommand, command)
	}
	return first, c.term, nil
}

func (c *Core) appendOwn(kind EntryKind, data []byte) uint64 {
	index := c.log.lastIndex() + 1
	c.log.push(Entry{Index: index, Term: c.term, Kind: kind, Data: data})
	return index
}

func (c *Core) handleFromLeader(m Message) {
	if c.role == Leader {
		return
	}
	if c.role != Follower {
		c.becomeFollower(m.Term, m.From)
	}
	c.leader = m.From
	c.electionElapsed = 0
	switch m.Kind {
	case MsgAppend:
		c.handleAppend(m)
	case MsgSnapshot:
		c.handleSnapshot(m)
	default:
		c.commitTo(m.Commit)
		c.answerHeartbeat(m)
	}
}

// answerHeartbeat needs no write unless the term is not durable yet.
func (c *Core) answerHeartbeat(m Message) {
	answer := Message{Kind: MsgHeartbeatResponse, To: m.From, Read: m.Read}
	if c.term == c.savedState.Term {
		c.sendEarly(answer)
		return
	}
	c.sendLate(answer)
}

func (c *Core) handleAppend(m Message) {
	response := Message{Kind: MsgAppendResponse, To: m.From}
	switch {
	case m.Index < c.log.committed:
		// Everything up to the commit index is known to match the leader's log.
		response.Index = c.log.committed
	case c.log.matches(m.Index, m.LogTerm):
		last := m.Index + uint64(len(m.Entries))
		c.log.merge(m.Entries)
		c.commitTo(min(m.Commit, last))
		response.Index = last
	default:
		response.Reject = true
		response.Index = m.Index
		response.Hint, response.HintTerm = c.log.lastNotAfter(m.Index-1, m.LogTerm)
	}
	c.sendLate(response)
}

func (c *Core) commitTo(index uint64) {
	c.log.committed = max(c.log.committed, min(index, c.log.lastIndex()))
}

func (c *Core) handleResponse(m Message) {
	p := c.progress[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.heard = c.ticks
	if m.Kind == MsgHeartbeatResponse {
		c.handleHeartbeatResponse(m, p)
		return
	}
	if m.Reject {
		c.handleRefusedAppend(m, p)
		return
	}
	if m.Index > c.log.lastIndex() {
		return
	}
	c.handleAcknowledgement(m, p)
}

func (c *Core) handleAcknowledgement(m Message, p *progress) {
	advanced := p.acknowledge(m.Index)
	c.measureCatchUp(p)
	switch {
	case p.state == stateProbe:
		p.replicate()
	case p.state == stateSnapshot && p.match >= c.log.offset:
		p.replicate()
	}
	if !advanced {
		return
	}
	c.maybeCommit()
	if m.From == c.transferTarget {
		c.continueTransfer()
	}
}

func (c *Core) handleRefusedAppend(m Message, p *progress) {
	stale := m.Index <= p.match
	if p.state == stateProbe {
		stale = stale || m.Index != p.next-1
	}
	if stale || p.state == stateSnapshot {
		return
	}
	match := m.Hint
	if match >= c.log.offset {
		match, _ = c.log.lastNotAfter(m.Hint, m.HintTerm)
	}
	// Below the log's offset the next append turns into a snapshot.
	p.probe(min(match+1, m.Index))
}

func (c *Core) handleHeartbeatResponse(m Message, p *progress) {
	p.readSeen = max(p.readSeen, m.Read)
	p.probeSent = false
	if p.state == stateReplicate && p.match < c.log.lastIndex() {
		// An append may have been lost. An empty append after the last one sent is
		// refused if so, which returns the member to stateProbe.
		c.sendAppend(m.From, p, true)
	}
	c.measureCatchUp(p)
	c.confirmReads()
}

// flushAppends sends to each member what it lacks. It runs once for each Ready,
// so that proposals made in between share messages.
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
	c.announce = false
}

func (c *Core) flushMember(id uint64) {
	p := c.progress[id]
	sent := false
	for !p.paused(c.config.MaxInFlight) && p.next <= c.log.lastIndex() {
		c.sendAppend(id, p, false)
		sent = true
	}
	if !sent && c.announce && p.state == stateReplicate {
		c.sendAppend(id, p, true)
	}
}

func (c *Core) sendAppend(id uint64, p *progress, empty bool) {
	previous := p.next - 1
	term, ok := c.log.term(previous)
	if !ok {
		c.sendSnapshot(id, p)
		return
	}
	m := Message{Kind: MsgAppend, To: id, Index: previous, LogTerm: term, Commit: c.log.committed}
	if !empty {
		m.Entries = c.log.slice(p.next, c.log.lastIndex(), c.config.MaxAppendBytes)
	}
	if p.state == stateProbe {
		p.probeSent = true
	} else if len(m.Entries) > 0 {
		p.next += uint64(len(m.Entries))
		p.inFlight = append(p.inFlight, p.next-1)
	}
	c.sendEarly(m)
}

func (c *Core) broadcastHeartbeat() {
	c.heartbeatElapsed = 0
	for _, m := range c.log.config().Members {
		if m.ID == c.id {
			continue
		}
		p := c.progress[m.ID]
		c.sendEarly(Message{
			Kind:   MsgHeartbeat,
			To:     m.ID,
			Commit: min(p.match, c.log.committed),
			Read:   c.reads.round,
		})
	}
}

// maybeCommit advances the commit index to the highest entry of the current term
// that is durable on a quorum.
func (c *Core) maybeCommit() {
	config := c.log.config()
	var matches []uint64
	for _, m := range config.Members {
		if !m.Learner {
			matches = append(matches, c.progress[m.ID].match)
		}
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	// A majority of n sorted values holds at least the value at (n-1)/2.
	index := matches[(len(matches)-1)/2]
	if index <= c.log.committed || !c.log.matches(index, c.term) {
		return
	}
	c.log.committed = index
	c.announce = true
	c.confirmReads()
	if c.log.configIndex() <= index && !config.IsVoter(c.id) {
		// A leader that was removed steps down once that is committed.
		c.flushAppends()
		c.becomeFollower(c.term, 0)
	}
}
