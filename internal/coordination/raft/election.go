package raft

// mayCampaign reports whether this member may start an election. A voter may do so until
// its removal is committed: it can be the only member whose log holds the entry that
// removes it (thesis 4.2.2).
func (c *Core) mayCampaign() bool {
	return c.log.config().IsVoter(c.id) || c.log.configAtIndex(c.log.committed).IsVoter(c.id)
}

// campaign requests pre-votes for role PreCandidate, or votes in a new term for role
// Candidate. transfer is set if a leadership transfer caused the campaign.
func (c *Core) campaign(role Role, transfer bool) {
	kind := MsgPreVote
	term := c.term + 1
	if role == Candidate {
		c.becomeFollower(term, 0)
		c.vote = c.id
		kind = MsgVote
	}
	c.role = role
	c.leader = 0
	c.votes = map[uint64]bool{}
	for _, m := range c.log.config().Members {
		if m.Learner {
			continue
		}
		if m.ID == c.id {
			// A member's vote for itself also counts only after it is durable.
			c.sendAfterPersist(Message{Kind: kind + 1, To: c.id, Term: term})
			continue
		}
		c.sendAfterPersist(Message{
			Kind:     kind,
			To:       m.ID,
			Term:     term,
			Index:    c.log.lastIndex(),
			LogTerm:  c.log.lastTerm(),
			Transfer: transfer,
		})
	}
}

// Campaign starts an election without waiting for the election timeout. It is meant for
// the start of a member that is the only voter.
func (c *Core) Campaign() {
	if c.role == Follower && c.mayCampaign() {
		c.campaign(PreCandidate, false)
	}
}

func (c *Core) handleVoteRequest(m Message) {
	response := Message{Kind: m.Kind + 1, To: m.From, Term: m.Term}
	mayGrant := c.vote == m.From || (c.vote == 0 && c.leader == 0)
	if m.Kind == MsgPreVote {
		mayGrant = m.Term > c.term
	}
	if !mayGrant || !c.log.isUpToDate(m.Index, m.LogTerm) {
		response.Reject = true
		response.Term = c.term
		c.sendAfterPersist(response)
		return
	}
	if m.Kind == MsgVote {
		c.vote = m.From
		c.electionElapsedTicks = 0
	}
	c.sendAfterPersist(response)
}

func (c *Core) handleVoteResponse(m Message) {
	expectedRole := Candidate
	if m.Kind == MsgPreVoteResponse {
		expectedRole = PreCandidate
	}
	if c.role != expectedRole || !c.isResponseToCampaign(m) {
		return
	}
	if _, counted := c.votes[m.From]; !counted {
		c.votes[m.From] = !m.Reject
	}
	granted := c.hasQuorum(func(id uint64) bool { return c.votes[id] })
	rejected := c.hasQuorum(func(id uint64) bool {
		vote, counted := c.votes[id]
		return counted && !vote
	})
	switch {
	case granted && c.role == PreCandidate:
		c.campaign(Candidate, false)
	case granted:
		c.becomeLeader()
	case rejected:
		c.becomeFollower(c.term, 0)
	}
}

// isResponseToCampaign reports whether the term of a vote response is the one expected in
// the current campaign. It excludes pre-votes that were granted in an earlier term.
func (c *Core) isResponseToCampaign(m Message) bool {
	if m.Kind == MsgPreVoteResponse && !m.Reject {
		return m.Term == c.term+1
	}
	return m.Term == c.term
}

func (c *Core) becomeLeader() {
	c.resetElectionTimer()
	c.role = Leader
	c.leader = c.id
	c.votes = nil
	c.heartbeatElapsedTicks = 0
	c.progress = map[uint64]*progress{}
	c.syncProgress()
	// Entries of earlier terms are committed only by committing an entry of this term.
	c.appendAsLeader(EntryNoop, nil)
}

// TransferLeader starts a transfer of leadership to a voter. Until the transfer ends, at
// the latest after the shortest election timeout, proposals return ErrNotLeader. It
// returns ErrNotLeader if this member does not lead, and ErrInvalidChange if target is
// this member or not a voter.
func (c *Core) TransferLeader(target uint64) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	if target == c.id || !c.log.config().IsVoter(target) {
		return ErrInvalidChange
	}
	c.transferTarget = target
	c.transferElapsedTicks = 0
	c.maybeSendTimeoutNow()
	return nil
}

// StepDown gives up leadership without a transfer. It is meant for a leader whose disk
// does not complete its writes.
func (c *Core) StepDown() {
	if c.role == Leader {
		c.becomeFollower(c.term, 0)
	}
}

// BestSuccessor returns the voter, other than this member, with the highest match index
// among those in stateReplicate, or 0 if there is none.
func (c *Core) BestSuccessor() uint64 {
	best := uint64(0)
	for _, m := range c.log.config().Members {
		p := c.progress[m.ID]
		if m.Learner || m.ID == c.id || p == nil || p.state != stateReplicate {
			continue
		}
		if best == 0 || p.matchIndex > c.progress[best].matchIndex {
			best = m.ID
		}
	}
	return best
}

// maybeSendTimeoutNow asks the transfer target to start an election if its log is complete.
func (c *Core) maybeSendTimeoutNow() {
	p := c.progress[c.transferTarget]
	if p != nil && p.matchIndex == c.log.lastIndex() {
		c.sendImmediately(Message{Kind: MsgTimeoutNow, To: c.transferTarget})
	}
}

func (c *Core) tickTransfer() {
	if c.transferTarget == 0 {
		return
	}
	c.transferElapsedTicks++
	if c.transferElapsedTicks >= c.config.ElectionTicks {
		c.transferTarget = 0
	}
}
