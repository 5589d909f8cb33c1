package raft

// Status is the state of a member and its view of the cluster.
type Status struct {
	ID            uint64
	Role          Role
	Term          uint64
	Leader        uint64
	Commit        uint64
	Applied       uint64
	LastIndex     uint64
	Configuration Configuration
	// HasLeaderContact is set while this member leads or has received a message from the
	// leader within the shortest election timeout.
	HasLeaderContact bool
	// Transferring is set during a leadership transfer, when the leader accepts no proposals.
	Transferring bool
}

// Status returns the current status.
func (c *Core) Status() Status {
	return Status{
		ID:               c.id,
		Role:             c.role,
		Term:             c.term,
		Leader:           c.leader,
		Commit:           c.log.committed,
		Applied:          c.appliedIndex,
		LastIndex:        c.log.lastIndex(),
		Configuration:    c.log.config(),
		HasLeaderContact: c.hasLeaderContact(),
		Transferring:     c.transferTarget != 0,
	}
}

// SilentTicks returns the ticks since the last response of the member with the given ID,
// counted from the start of this member's leadership at the earliest. It returns 0 for
// this member, for one that is not in the configuration, and if this member does not lead.
func (c *Core) SilentTicks(id uint64) uint64 {
	p := c.progress[id]
	if c.role != Leader || id == c.id || p == nil {
		return 0
	}
	return c.ticks - p.lastResponseTick
}
