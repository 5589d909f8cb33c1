package raft

// progressState is the way in which the leader replicates to a member.
type progressState uint8

const (
	// stateProbe sends one MsgAppend at a time until the last matching entry is found.
	stateProbe progressState = iota
	// stateReplicate pipelines appends: it sends them before earlier ones are acknowledged.
	stateReplicate
	// stateSnapshot sends no entries until the member acknowledges a snapshot.
	stateSnapshot
)

// progress is the leader's replication state of one member.
type progress struct {
	// matchIndex is the highest index known to be replicated to the member.
	matchIndex uint64
	// nextIndex is the index of the next entry to send to the member.
	nextIndex uint64
	state     progressState
	// probeSent suppresses further appends in stateProbe until the member responds to an
	// append or a heartbeat.
	probeSent bool
	// inFlight holds the last index of each unacknowledged append.
	inFlight []uint64
	// lastResponseTick is the tick of the member's last response.
	lastResponseTick uint64
	// confirmedReadRound is the highest ReadRound in the member's heartbeat responses.
	confirmedReadRound uint64
	// snapshotElapsedTicks counts the ticks in stateSnapshot.
	snapshotElapsedTicks int
	catchUp              catchUpRound
}

// catchUpRound measures whether a learner keeps up with the leader's log (thesis 4.2.1).
// A round lasts until the learner holds all entries that the leader had at its start.
type catchUpRound struct {
	targetIndex uint64
	startTick   uint64
	// previousInTime is set if the previous round took at most ElectionTicks, the shortest
	// election timeout.
	previousInTime bool
}

// acknowledge records that the member holds all entries up to index. It reports whether
// matchIndex advanced.
func (p *progress) acknowledge(index uint64) bool {
	for len(p.inFlight) > 0 && p.inFlight[0] <= index {
		p.inFlight = p.inFlight[1:]
	}
	p.nextIndex = max(p.nextIndex, index+1)
	if index <= p.matchIndex {
		return false
	}
	p.matchIndex = index
	return true
}

func (p *progress) becomeProbe(nextIndex uint64) {
	p.state = stateProbe
	p.probeSent = false
	p.inFlight = nil
	p.nextIndex = max(nextIndex, p.matchIndex+1)
}

func (p *progress) becomeReplicate() {
	p.becomeProbe(p.matchIndex + 1)
	p.state = stateReplicate
}

func (p *progress) isPaused(maxInFlight int) bool {
	switch p.state {
	case stateProbe:
		return p.probeSent
	case stateReplicate:
		return len(p.inFlight) >= maxInFlight
	default:
		return true
	}
}

// syncProgress adds and removes progress entries so that they match the configuration.
func (c *Core) syncProgress() {
	config := c.log.config()
	for _, m := range config.Members {
		if c.progress[m.ID] != nil {
			continue
		}
		// A new member counts as active, which gives it one election timeout to respond.
		// Starting at the last entry ensures that there is an entry to send as a probe.
		p := &progress{nextIndex: max(c.log.lastIndex(), 1), lastResponseTick: c.ticks}
		p.catchUp = catchUpRound{targetIndex: c.log.lastIndex(), startTick: c.ticks}
		if m.ID == c.id {
			p.matchIndex = c.log.stable
		}
		c.progress[m.ID] = p
	}
	for id := range c.progress {
		if _, ok := config.Find(id); !ok {
			delete(c.progress, id)
		}
	}
}

// updateCatchUpRound starts the next round if the member completed the current one.
func (c *Core) updateCatchUpRound(p *progress) {
	if p.matchIndex < p.catchUp.targetIndex {
		return
	}
	roundTicks := c.ticks - p.catchUp.startTick
	p.catchUp = catchUpRound{
		targetIndex:    c.log.lastIndex(),
		startTick:      c.ticks,
		previousInTime: roundTicks <= uint64(c.config.ElectionTicks),
	}
}

// CaughtUp reports whether the leader may promote the learner: the previous catch-up
// round, which ends when the entries are durable on the learner, took at most
// ElectionTicks, and the current round has not taken longer so far.
func (c *Core) CaughtUp(id uint64) bool {
	p := c.progress[id]
	if c.role != Leader || p == nil || !p.catchUp.previousInTime {
		return false
	}
	return c.ticks-p.catchUp.startTick <= uint64(c.config.ElectionTicks)
}
