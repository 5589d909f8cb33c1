package raft

func (c *Core) sendSnapshot(id uint64, p *progress) {
	p.state = stateSnapshot
	p.snapshotElapsed = 0
	p.inFlight = nil
	c.sendEarly(Message{Kind: MsgSnapshot, To: id, Snapshot: &Snapshot{Meta: c.snapshot}})
}

// ReportSnapshot ends the transfer of a snapshot that could not be sent, so that
// it is tried again after the next answer from the member.
func (c *Core) ReportSnapshot(id uint64) {
	p := c.progress[id]
	if p == nil || p.state != stateSnapshot {
		return
	}
	p.probe(p.match + 1)
	p.probeSent = true
}

func (c *Core) tickSnapshots() {
	for _, m := range c.log.config().Members {
		p := c.progress[m.ID]
		if p.state != stateSnapshot {
			continue
		}
		p.snapshotElapsed++
		if p.snapshotElapsed >= c.config.SnapshotTicks {
			c.ReportSnapshot(m.ID)
		}
	}
}

func (c *Core) handleSnapshot(m Message) {
	meta := m.Snapshot.Meta
	response := Message{Kind: MsgAppendResponse, To: m.From, Index: c.log.committed}
	switch {
	case meta.Index <= c.log.committed:
	case c.log.matches(meta.Index, meta.Term):
		c.commitTo(meta.Index)
		response.Index = meta.Index
	default:
		c.log.reset(meta)
		c.incoming = m.Snapshot
		response.Index = meta.Index
	}
	c.sendLate(response)
}

// ConfigurationAt returns the configuration in force at an applied index and the
// entry's term, for the description of a snapshot; false when the log no longer
// holds the index.
func (c *Core) ConfigurationAt(index uint64) (SnapshotMeta, bool) {
	term, ok := c.log.term(index)
	if !ok {
		return SnapshotMeta{}, false
	}
	return SnapshotMeta{Index: index, Term: term, Configuration: c.log.configBefore(index)}, true
}

// Compact drops entries covered by a durable snapshot of this member, except the
// last Config.KeepEntries of them.
func (c *Core) Compact(meta SnapshotMeta) {
	if meta.Index <= c.snapshot.Index || meta.Index > c.applied {
		return
	}
	c.snapshot = meta
	if meta.Index > c.config.KeepEntries {
		c.log.compact(meta.Index - c.config.KeepEntries)
	}
}
