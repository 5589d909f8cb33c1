package raft

// ProposeChange appends an entry with the configuration after change, which takes effect
// on each member as soon as that member appends the entry. It returns the entry's index,
// or ErrNotLeader, ErrChangePending, ErrNotCaughtUp, ErrNoQuorum or ErrInvalidChange.
func (c *Core) ProposeChange(change Change) (uint64, error) {
	if c.role != Leader || c.transferTarget != 0 {
		return 0, ErrNotLeader
	}
	if c.log.configIndex() > c.log.committed || !c.hasCommittedInCurrentTerm() {
		return 0, ErrChangePending
	}
	next, err := c.configurationAfter(change)
	if err != nil {
		return 0, err
	}
	if !next.hasQuorum(c.isActive) {
		// The change could not be committed and would block all later ones.
		return 0, ErrNoQuorum
	}
	index := c.appendAsLeader(EntryConfig, EncodeConfiguration(next))
	c.syncProgress()
	return index, nil
}

// configurationAfter returns the current configuration with change made to it, or the
// error for ProposeChange if change is not allowed.
func (c *Core) configurationAfter(change Change) (Configuration, error) {
	config := c.log.config()
	member, exists := config.Find(change.ID)
	switch change.Kind {
	case AddLearner:
		if exists || change.ID == 0 {
			return Configuration{}, ErrInvalidChange
		}
		return config.with(Member{ID: change.ID, Address: change.Address, Learner: true}), nil
	case Promote:
		if !exists || !member.Learner {
			return Configuration{}, ErrInvalidChange
		}
		if !c.CaughtUp(change.ID) {
			return Configuration{}, ErrNotCaughtUp
		}
		member.Learner = false
		return config.with(member), nil
	case Remove:
		if !exists || (!member.Learner && config.VoterCount() == 1) {
			return Configuration{}, ErrInvalidChange
		}
		return config.without(change.ID), nil
	default:
		return Configuration{}, ErrInvalidChange
	}
}

// hasCommittedInCurrentTerm reports whether the leader has committed an entry of its term.
// Until then it does not know the latest commit index, nor whether a membership change of
// an earlier leader is committed.
func (c *Core) hasCommittedInCurrentTerm() bool {
	return c.log.matches(c.log.committed, c.term)
}
