package raft

// Status is the core's view of the cluster.
type Status struct {
	ID            uint64
	Role          Role
	Term          uint64
	Leader        uint64
	Commit        uint64
	Applied       uint64
	LastIndex     uint64
	Configuration Configuration
	// HearsLeader is set while this member leads or has heard from the leader
	// within the shortest election timeout.
	HearsLeader bool
	// Transferring is set while the leader hands over and takes no proposals.
	Transferring bool
}

// Status returns the core's view of the cluster.
func (c *Core) Status() Status {
	return Status{
		ID:            c.id,
		Role:          c.role,
		Term:          c.term,
		Leader:        c.leader,
		Commit:        c.log.committed,
		Applied:       c.applied,
		LastIndex:     c.log.lastIndex(),
		Configuration: c.log.config(),
		HearsLeader:   c.hearsLeader(),
		Transferring:  c.transferTarget != 0,
	}
}

// IsActive reports whether this member leads and the other one answered within the
// shortest election timeout.
func (c *Core) IsActive(id uint64) bool {
	return c.role == Leader && c.isActive(id)
}
