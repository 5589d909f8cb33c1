package raft

// sendSnapshot sends a message with the snapshot's metadata, to which the caller adds the
// data.
func (c *Core) sendSnapshot(id uint64, p *progress) {
	p.state = stateSnapshot
	p.snapshotElapsedTicks = 0
	p.inFlight = nil
	c.sendImmediately(Message{Kind: MsgSnapshot, To: id, Snapshot: &Snapshot{Meta: c.snapshotMeta}})
}

// ReportSnapshotFailure tells the core that the snapshot for a member could not be sent.
// The snapshot is sent again after the member's next response.
func (c *Core) ReportSnapshotFailure(id uint64) {
	p := c.progress[id]
	if p == nil || p.state != stateSnapshot {
		return
	}
	p.becomeProbe(p.matchIndex + 1)
	p.probeSent = true
}

// tickSnapshotTransfers treats a snapshot as failed if it is not acknowledged within
// SnapshotTicks.
func (c *Core) tickSnapshotTransfers() {
	for _, m := range c.log.config().Members {
		p := c.progress[m.ID]
		if p.state != stateSnapshot {
			continue
		}
		p.snapshotElapsedTicks++
		if p.snapshotElapsedTicks >= c.config.SnapshotTicks {
			c.ReportSnapshotFailure(m.ID)
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
		c.receivedSnapshot = m.Snapshot
		response.Index = meta.Index
	}
	c.sendAfterPersist(response)
}

// SnapshotMetaAt returns the metadata of a snapshot at an applied index: the entry's term
// and the configuration in effect there. It returns false if the log no longer holds the
// entry.
func (c *Core) SnapshotMetaAt(index uint64) (SnapshotMeta, bool) {
	term, ok := c.log.term(index)
	if !ok {
		return SnapshotMeta{}, false
	}
	return SnapshotMeta{Index: index, Term: term, Configuration: c.log.configAtIndex(index)}, true
}

// Compact discards the entries covered by a durable snapshot of this member, except the
// last Config.RetainedEntries of them.
func (c *Core) Compact(meta SnapshotMeta) {
	if meta.Index <= c.snapshotMeta.Index || meta.Index > c.appliedIndex {
		return
	}
	c.snapshotMeta = meta
	if meta.Index > c.config.RetainedEntries {
		c.log.compact(meta.Index - c.config.RetainedEntries)
	}
}
