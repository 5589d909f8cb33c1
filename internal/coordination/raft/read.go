package raft

// readQueue holds reads that wait for a quorum's confirmation of leadership.
type readQueue struct {
	// round numbers the rounds of heartbeats that confirm reads in this term.
	round uint64
	// fresh reads join the next round, started ones wait for answers.
	fresh   []uint64
	started []startedRead
}

type startedRead struct {
	id    uint64
	round uint64
	index uint64
}

// ReadIndex starts a confirmed read under an ID of the caller. Its ReadResult
// arrives in a later Ready. It returns ErrNotLeader.
func (c *Core) ReadIndex(id uint64) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	c.reads.fresh = append(c.reads.fresh, id)
	return nil
}

// startReads opens one round for all reads that arrived since the last Ready.
func (c *Core) startReads() {
	if c.role != Leader || len(c.reads.fresh) == 0 || !c.committedOwnTerm() {
		return
	}
	c.reads.round++
	for _, id := range c.reads.fresh {
		read := startedRead{id: id, round: c.reads.round, index: c.log.committed}
		c.reads.started = append(c.reads.started, read)
	}
	c.reads.fresh = nil
	c.broadcastHeartbeat()
	c.confirmReads()
}

// confirmReads ends the reads whose round a quorum has answered.
func (c *Core) confirmReads() {
	for len(c.reads.started) > 0 {
		read := c.reads.started[0]
		confirmed := c.quorum(func(id uint64) bool {
			return id == c.id || c.progress[id].readSeen >= read.round
		})
		if !confirmed {
			return
		}
		c.reads.started = c.reads.started[1:]
		c.readResults = append(c.readResults, ReadResult{ID: read.id, Index: read.index})
	}
}

func (c *Core) failReads() {
	for _, read := range c.reads.started {
		c.readResults = append(c.readResults, ReadResult{ID: read.id, Failed: true})
	}
	for _, id := range c.reads.fresh {
		c.readResults = append(c.readResults, ReadResult{ID: id, Failed: true})
	}
	c.reads = readQueue{}
}
