package raft

// mayCampaign reports whether this member may start an election. A voter whose
// removal is not committed still may: it can be the only one with the entry that
// removes it (thesis 4.2.2).
func (c *Core) mayCampaign() bool {
	return c.log.config().IsVoter(c.id) || c.log.configBefore(c.log.committed).IsVoter(c.id)
}

// campaign starts a pre-vote or, for role Candidate, an election in a new term.
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
			// The own vote counts only once it is durable, like every other one.
			c.sendLate(Message{Kind: kind + 1, To: c.id, Term: term})
			continue
		}
		c.sendLate(Message{
			Kind:     kind,
			To:       m.ID,
			Term:     term,
			Index:    c.log.lastIndex(),
			LogTerm:  c.log.lastTerm(),
			Transfer: transfer,
		})
	}
}

// Campaign starts an election without waiting for the timeout. It is meant for a
// single voter at its start.
func (c *Core) Campaign() {
	if c.role == Follower && c.mayCampaign() {
		c.campaign(PreCandidate, false)
	}
}

func (c *Core) handleVoteRequest(m Message) {
	response := Message{Kind: m.Kind + 1, To: m.From, Term: m.Term}
	free := c.vote == m.From || (c.vote == 0 && c.leader == 0)
	if m.Kind == MsgPreVote {
		free = m.Term > c.term
	}
	if !free || !c.log.isUpToDate(m.Index, m.LogTerm) {
		response.Reject = true
		response.Term = c.term
		c.sendLate(response)
		return
	}
	if m.Kind == MsgVote {
		c.vote = m.From
		c.electionElapsed = 0
	}
	c.sendLate(response)
}

func (c *Core) handleVoteResponse(m Message) {
	wanted := Candidate
	if m.Kind == MsgPreVoteResponse {
		wanted = PreCandidate
	}
	if c.role != wanted || !c.answersCampaign(m) {
		return
	}
	if _, counted := c.votes[m.From]; !counted {
		c.votes[m.From] = !m.Reject
	}
	granted := c.quorum(func(id uint64) bool { return c.votes[id] })
	refused := c.quorum(func(id uint64) bool {
		vote, counted := c.votes[id]
		return counted && !vote
	})
	switch {
	case granted && c.role == PreCandidate:
		c.campaign(Candidate, false)
	case granted:
		c.becomeLeader()
	case refused:
		c.becomeFollower(c.term, 0)
	}
}

// answersCampaign filters granted pre-votes of an earlier campaign.
func (c *Core) answersCampaign(m Message) bool {
	if m.Kind == MsgPreVoteResponse && !m.Reject {
		return m.Term == c.term+1
	}
	return m.Term == c.term
}

func (c *Core) becomeLeader() {
	c.resetElection()
	c.role = Leader
	c.leader = c.id
	c.votes = nil
	c.heartbeatElapsed = 0
	c.progress = map[uint64]*progress{}
	c.syncProgress()
	// Entries of earlier terms are committed only together with one of this term.
	c.appendOwn(EntryNoop, nil)
}

// TransferLeader asks a voter to take over. While it lasts, at most one election
// timeout, no proposals are taken. It returns ErrNotLeader or ErrInvalidChange.
func (c *Core) TransferLeader(target uint64) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	if target == c.id || !c.log.config().IsVoter(target) {
		return ErrInvalidChange
	}
	c.transferTarget = target
	c.transferElapsed = 0
	c.continueTransfer()
	return nil
}

// StepDown gives up leadership without a successor, because this member's disk does
// not answer.
func (c *Core) StepDown() {
	if c.role == Leader {
		c.becomeFollower(c.term, 0)
	}
}

// BestSuccessor returns the other voter with the most complete log, 0 without one.
func (c *Core) BestSuccessor() uint64 {
	best := uint64(0)
	for _, m := range c.log.config().Members {
		p := c.progress[m.ID]
		if m.Learner || m.ID == c.id || p == nil || p.state != stateReplicate {
			continue
		}
		if best == 0 || p.match > c.progress[best].match {
			best = m.ID
		}
	}
	return best
}

func (c *Core) continueTransfer() {
	p := c.progress[c.transferTarget]
	if p != nil && p.match == c.log.lastIndex() {
		c.sendEarly(Message{Kind: MsgTimeoutNow, To: c.transferTarget})
	}
}

func (c *Core) tickTransfer() {
	if c.transferTarget == 0 {
		return
	}
	c.transferElapsed++
	if c.transferElapsed >= c.config.ElectionTicks {
		c.transferTarget = 0
	}
}
