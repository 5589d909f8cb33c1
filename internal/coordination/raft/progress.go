package raft

type progressState uint8

const (
	// stateProbe sends one append at a time until the matching entry is found.
	stateProbe progressState = iota
	// stateReplicate sends appends ahead of their acknowledgement.
	stateReplicate
	// stateSnapshot waits for a snapshot to be installed.
	stateSnapshot
)

// progress is the leader's knowledge of one member.
type progress struct {
	match uint64
	next  uint64
	state progressState
	// probeSent holds back further appends in stateProbe until an answer or a heartbeat's answer.
	probeSent bool
	// inFlight holds the last index of each append that is not acknowledged.
	inFlight []uint64
	// heard is the tick of the member's last answer.
	heard    uint64
	readSeen uint64
	// snapshotElapsed counts the ticks in stateSnapshot.
	snapshotElapsed int
	catchUp         catchUpRound
}

// catchUpRound measures whether a learner keeps up (thesis 4.2.1): a round
// replicates everything that the leader held when it began.
type catchUpRound struct {
	target  uint64
	started uint64
	// quick is set when the last round took at most one election timeout.
	quick bool
}

func (p *progress) acknowledge(index uint64) bool {
	for len(p.inFlight) > 0 && p.inFlight[0] <= index {
		p.inFlight = p.inFlight[1:]
	}
	p.next = max(p.next, index+1)
	if index <= p.match {
		return false
	}
	p.match = index
	return true
}

func (p *progress) probe(next uint64) {
	p.state = stateProbe
	p.probeSent = false
	p.inFlight = nil
	p.next = max(next, p.match+1)
}

func (p *progress) replicate() {
	p.probe(p.match + 1)
	p.state = stateReplicate
}

func (p *progress) paused(maxInFlight int) bool {
	switch p.state {
	case stateProbe:
		return p.probeSent
	case stateReplicate:
		return len(p.inFlight) >= maxInFlight
	default:
		return true
	}
}

// syncProgress makes the leader's progress table follow the configuration.
func (c *Core) syncProgress() {
	config := c.log.config()
	for _, m := range config.Members {
		if c.progress[m.ID] != nil {
			continue
		}
		// A new member counts as heard so that it gets one election timeout to answer.
		// Starting at the last entry makes sure that there is one to probe with.
		p := &progress{next: max(c.log.lastIndex(), 1), heard: c.ticks}
		p.catchUp = catchUpRound{target: c.log.lastIndex(), started: c.ticks}
		if m.ID == c.id {
			p.match = c.log.stable
		}
		c.progress[m.ID] = p
	}
	for id := range c.progress {
		if _, ok := config.Find(id); !ok {
			delete(c.progress, id)
		}
	}
}

func (c *Core) measureCatchUp(p *progress) {
	if p.match < p.catchUp.target {
		return
	}
	took := c.ticks - p.catchUp.started
	p.catchUp = catchUpRound{
		target:  c.log.lastIndex(),
		started: c.ticks,
		quick:   took <= uint64(c.config.ElectionTicks),
	}
}

// CaughtUp reports whether the leader may promote the learner: its last round of
// replication, durable on the learner, was quick, and the present one still is.
func (c *Core) CaughtUp(id uint64) bool {
	p := c.progress[id]
	if c.role != Leader || p == nil || !p.catchUp.quick {
		return false
	}
	return c.ticks-p.catchUp.started <= uint64(c.config.ElectionTicks)
}
