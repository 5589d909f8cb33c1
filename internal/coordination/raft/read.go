package raft

// readQueue holds reads that wait until a quorum confirms that this member still leads.
type readQueue struct {
	// round is the number of the last heartbeat round that was started to confirm reads
	// while this member leads.
	round uint64
	// queued reads wait for the next round to start, unconfirmed reads for a quorum of
	// responses to their round.
	queued      []uint64
	unconfirmed []unconfirmedRead
}

// unconfirmedRead is a read whose round has started.
type unconfirmedRead struct {
	id    uint64
	round uint64
	index uint64
}

// ReadIndex starts a linearizable read with an ID chosen by the caller. A later Ready or
// call of TakeImmediate returns its ReadResult. It returns ErrNotLeader if this member does
// not lead.
func (c *Core) ReadIndex(id uint64) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	c.reads.queued = append(c.reads.queued, id)
	return nil
}

// startReads starts one heartbeat round for all queued reads, once an entry of the
// leader's term is committed.
func (c *Core) startReads() {
	if c.role != Leader || len(c.reads.queued) == 0 || !c.hasCommittedInCurrentTerm() {
		return
	}
	c.reads.round++
	for _, id := range c.reads.queued {
		read := unconfirmedRead{id: id, round: c.reads.round, index: c.log.committed}
		c.reads.unconfirmed = append(c.reads.unconfirmed, read)
	}
	c.reads.queued = nil
	c.broadcastHeartbeat()
	c.confirmReads()
}

// confirmReads completes the reads whose round a quorum has confirmed.
func (c *Core) confirmReads() {
	for len(c.reads.unconfirmed) > 0 {
		read := c.reads.unconfirmed[0]
		confirmed := c.hasQuorum(func(id uint64) bool {
			return id == c.id || c.progress[id].confirmedReadRound >= read.round
		})
		if !confirmed {
			return
		}
		c.reads.unconfirmed = c.reads.unconfirmed[1:]
		c.readResults = append(c.readResults, ReadResult{ID: read.id, Index: read.index})
	}
}

// failReads completes all reads as failed.
func (c *Core) failReads() {
	for _, read := range c.reads.unconfirmed {
		c.readResults = append(c.readResults, ReadResult{ID: read.id, Failed: true})
	}
	for _, id := range c.reads.queued {
		c.readResults = append(c.readResults, ReadResult{ID: id, Failed: true})
	}
	c.reads = readQueue{}
}
