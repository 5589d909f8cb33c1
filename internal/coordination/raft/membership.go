package raft

// ProposeChange appends a membership change of one server. The new configuration
// takes effect on each member when it is appended. It returns the entry's index, or
// ErrNotLeader, ErrChangePending, ErrNotCaughtUp, ErrNoQuorum or ErrInvalidChange.
func (c *Core) ProposeChange(change Change) (uint64, error) {
	if c.role != Leader || c.transferTarget != 0 {
		return 0, ErrNotLeader
	}
	if c.log.configIndex() > c.log.committed || !c.committedOwnTerm() {
		return 0, ErrChangePending
	}
	next, err := c.changed(change)
	if err != nil {
		return 0, err
	}
	if !next.quorum(c.isActive) {
		// The change could never be committed and would block all later ones.
		return 0, ErrNoQuorum
	}
	index := c.appendOwn(EntryConfig, EncodeConfiguration(next))
	c.syncProgress()
	return index, nil
}

func (c *Core) changed(change Change) (Configuration, error) {
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
		if !exists || (!member.Learner && config.Voters() == 1) {
			return Configuration{}, ErrInvalidChange
		}
		return config.without(change.ID), nil
	default:
		return Configuration{}, ErrInvalidChange
	}
}

// committedOwnTerm reports whether the leader has committed an entry of its term.
// Until then it knows neither the latest commit index nor, for membership changes,
// whether an earlier leader's change is decided.
func (c *Core) committedOwnTerm() bool {
	return c.log.matches(c.log.committed, c.term)
}
