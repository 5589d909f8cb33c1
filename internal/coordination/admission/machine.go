package admission

import (
	"slices"
	"time"

	"github.com/chicorylever/chicorylever/internal/coordination/overload"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// notRefused is the refusal reason of a request that is admitted or queued.
const notRefused = wire.RefusalReason_REFUSAL_UNSPECIFIED

// Ticket identifies a request that was offered to a Machine.
type Ticket uint64

// Verdict is the immediate decision on an offered request.
type Verdict uint8

const (
	// Admitted means that the request holds a permit.
	Admitted Verdict = iota
	// Queued means that the request waits and that an Event with its ticket will follow.
	Queued
	// Refused means that the request gets no permit.
	Refused
)

// Event is the decision on a queued request.
type Event struct {
	Ticket Ticket
	// Admitted is set when the request now holds a permit.
	Admitted bool
	// Reason is the reason of the refusal when Admitted is not set.
	Reason wire.RefusalReason
}

// Defaults of Config.
const (
	// defaultBaseQueueTimeout is the round-trip time to another zone.
	defaultBaseQueueTimeout = 3 * time.Millisecond
	defaultServiceTime      = 5 * time.Millisecond
	defaultStepInterval     = 200 * time.Millisecond
)

// Config holds the parameters of a Machine. Zero values take the defaults.
type Config struct {
	// BaseQueueTimeout is the time to reach another instance. The queue timeout of an
	// attempt, after which another instance is the better choice, is this plus half a
	// service time, the estimated queue wait there. The sum is at most maxBaseQueueTimeout
	// and is multiplied by the attempt number.
	BaseQueueTimeout time.Duration
	// StepInterval is the shortest time between two increases of the limit of a cold
	// upstream.
	StepInterval time.Duration
	// ColdTolerance is the load that a cold upstream tolerates beyond its configured rate.
	ColdTolerance ColdTolerance
}

func (c Config) withDefaults() Config {
	if c.BaseQueueTimeout == 0 {
		c.BaseQueueTimeout = defaultBaseQueueTimeout
	}
	if c.StepInterval == 0 {
		c.StepInterval = defaultStepInterval
	}
	if c.ColdTolerance == (ColdTolerance{}) {
		c.ColdTolerance = defaultColdTolerance
	}
	return c
}

// Machine is the admission state of one upstream. It is not safe for concurrent use.
// Methods that admit or refuse queued requests return events; the slice is valid until the
// next call.
type Machine struct {
	config     Config
	startID    string
	slots      int // 0 while there is no upstream
	leaving    bool
	zoneOut    bool
	stopping   bool
	epoch      uint64 // number of cold starts
	lastTicket Ticket
	running    map[Ticket]runningRequest
	// nestedRunning is the number of running requests that are nested.
	nestedRunning int
	queue         []waiter
	events        []Event
	ramp          ramp
	warmup        warmup
	stated        statedRate
	speed         speed
	fairShare     fairShare
	full          fullBound
	// updatedAt is the time of the last transition or, with a Gate, of the last report.
	updatedAt time.Time
	// reassessQueue is set at a cold start, or when the upstream states a lower rate, until
	// the queued requests have been checked against the lower limit.
	reassessQueue bool
}

// runningRequest is a request that holds a permit.
type runningRequest struct {
	// epoch is the one in which the request was admitted.
	epoch  uint64
	nested bool
}

// waiter is a queued request.
type waiter struct {
	ticket   Ticket
	urgency  overload.Urgency
	priority int
	// organisation is empty when unknown, and weight is the size of its share.
	organisation string
	weight       float64
	// excess is how far the organisation is above its share; see fairShare.excess.
	excess int
	// givesWay is set for a request whose nested calls will probably have no room.
	givesWay bool
	// latestStart is when the request must start to meet its objective, zero when unknown.
	latestStart time.Time
	// ownObjective is when the processing in the upstream itself must be complete to meet the
	// objective, zero without one.
	ownObjective time.Time
	// overdue is set for a nested request once latestStart has passed.
	overdue bool
	// ownTime is the processing time in the upstream itself at its usual speed, 0 when
	// unknown.
	ownTime time.Duration
	// expiry is when the request is refused if it is still queued.
	expiry time.Time
	// expiresByDeadline is set when the expiry follows from the deadline of the request and
	// not from the queue timeout.
	expiresByDeadline bool
}

// NewMachine returns a machine without an upstream; it refuses all requests until Start.
func NewMachine(config Config) *Machine {
	config = config.withDefaults()
	return &Machine{config: config, running: map[Ticket]runningRequest{}, warmup: warmup{coldTolerance: config.ColdTolerance}}
}

// Start announces the upstream. A new start ID begins a cold start; a known start ID only
// updates the number of slots.
func (m *Machine) Start(now time.Time, startID string, slots int) []Event {
	m.events = m.events[:0]
	m.slots = max(0, slots)
	if startID != m.startID {
		m.startID = startID
		m.leaving = false
		m.stated.active = false
		m.full = fullBound{}
		m.startCold(now)
	}
	m.ramp.limit = max(1, min(m.ramp.limit, m.slots))
	m.processQueue(now)
	return m.events
}

// RenameStart replaces the start ID of the upstream without a cold start. It is for an upstream
// whose start ID was not known before.
func (m *Machine) RenameStart(startID string) []Event {
	m.startID = startID
	return nil
}

// Withdraw removes the upstream: all queued requests are refused.
func (m *Machine) Withdraw(now time.Time) []Event {
	m.events = m.events[:0]
	m.slots = 0
	m.startID = ""
	m.processQueue(now)
	return m.events
}

// SetLeaving sets whether the upstream is leaving. While it is, all new and queued requests
// are refused.
func (m *Machine) SetLeaving(now time.Time, leaving bool) []Event {
	m.events = m.events[:0]
	m.leaving = leaving
	m.processQueue(now)
	return m.events
}

// SetZoneOut sets whether the zone is out of service. When it returns to service, the
// upstream starts cold.
func (m *Machine) SetZoneOut(now time.Time, out bool) []Event {
	m.events = m.events[:0]
	if m.zoneOut && !out {
		m.startCold(now)
	}
	m.zoneOut = out
	m.processQueue(now)
	return m.events
}

// Stop records that the node is shutting down. All new and queued requests are refused.
func (m *Machine) Stop(now time.Time) []Event {
	m.events = m.events[:0]
	m.stopping = true
	m.processQueue(now)
	return m.events
}

// Offer asks for a permit. The reason is set when the verdict is Refused.
func (m *Machine) Offer(now time.Time, req Request) (Ticket, Verdict, wire.RefusalReason) {
	if reason := m.closedReason(); reason != notRefused {
		return 0, Refused, reason
	}
	if !req.Deadline.IsZero() && !now.Before(req.Deadline) {
		return 0, Refused, wire.RefusalReason_REFUSAL_DEADLINE
	}
	m.lastTicket++
	ticket := m.lastTicket
	m.updatedAt = now
	w := m.newWaiter(now, req)
	w.ticket = ticket
	if w.urgency != overload.Late && !req.Objective.IsZero() {
		w.latestStart = m.latestStart(req)
		w.ownObjective = req.Objective.Add(-req.Work.NestedWait)
		w.overdue = now.After(w.latestStart)
	}
	ahead := m.countAhead(&w)
	if (ahead == 0 || m.mayOvertake(&w)) && m.tryStart(now, &w) {
		m.admit(now, &w)
		return ticket, Admitted, notRefused
	}
	if reason := m.checkQueueWait(now, &w, ahead, req); reason != notRefused {
		return 0, Refused, reason
	}
	m.queue = slices.Insert(m.queue, ahead, w)
	return ticket, Queued, notRefused
}

// admit counts a request as running.
func (m *Machine) admit(now time.Time, w *waiter) {
	m.recordShare(now, w)
	nested := w.urgency == overload.Nested
	m.running[w.ticket] = runningRequest{epoch: m.epoch, nested: nested}
	if nested {
		m.nestedRunning++
	}
}

// Release ends an admitted request and admits queued ones.
func (m *Machine) Release(now time.Time, ticket Ticket, outcome Outcome) []Event {
	m.events = m.events[:0]
	request, admitted := m.running[ticket]
	if !admitted {
		return m.events
	}
	delete(m.running, ticket)
	if request.nested {
		m.nestedRunning--
	}
	m.observe(now, request.epoch, outcome)
	m.processQueue(now)
	return m.events
}

// observe updates the service times and the limit. Requests admitted before the last cold
// start do not affect the limit.
func (m *Machine) observe(now time.Time, epoch uint64, outcome Outcome) {
	if outcome.Result == ResultReset && epoch == m.epoch {
		m.full.observeReset(now, len(m.running))
	}
	if m.warmup.isConfigured() {
		m.ramp.observeServiceTime(outcome)
		return
	}
	if epoch == m.epoch && m.ramp.observe(now, outcome, m.slots, m.config.StepInterval) {
		m.startCold(now)
	}
}

// Abandon removes a queued request. It returns false when the request is no longer queued,
// because it was already admitted or refused.
func (m *Machine) Abandon(ticket Ticket) bool {
	for i := range m.queue {
		if m.queue[i].ticket == ticket {
			m.queue = append(m.queue[:i], m.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Expire refuses the queued requests whose expiry has passed and admits queued requests
// that may start by now.
func (m *Machine) Expire(now time.Time) []Event {
	m.events = m.events[:0]
	m.processQueue(now)
	return m.events
}

// Expiry returns the time at which a queued request is refused, and false when the request
// is not queued.
func (m *Machine) Expiry(ticket Ticket) (time.Time, bool) {
	for i := range m.queue {
		if m.queue[i].ticket == ticket {
			return m.queue[i].expiry, true
		}
	}
	return time.Time{}, false
}

// Report returns the load as of the last transition.
func (m *Machine) Report() *wire.LoadReport {
	return &wire.LoadReport{
		InFlight:      uint32(len(m.running)),
		Queued:        uint32(len(m.queue)),
		Limit:         uint32(m.effectiveLimit()),
		State:         m.state(),
		ServiceTimeUs: uint64(m.ramp.recentSeconds / float64(time.Microsecond.Seconds())),
	}
}

func (m *Machine) state() wire.InstanceState {
	switch {
	case m.leaving || m.stopping || m.slots == 0:
		return wire.InstanceState_INSTANCE_LEAVING
	case m.isCold() || m.zoneOut:
		return wire.InstanceState_INSTANCE_COLD
	default:
		return wire.InstanceState_INSTANCE_WARM
	}
}

func (m *Machine) isCold() bool {
	if m.warmup.isConfigured() {
		return m.warmup.isCold(m.updatedAt)
	}
	return m.ramp.cold
}

// closedReason returns why the machine refuses all requests, or notRefused while it is open.
func (m *Machine) closedReason() wire.RefusalReason {
	switch {
	case m.stopping:
		return wire.RefusalReason_REFUSAL_STOPPING
	case m.slots == 0:
		return wire.RefusalReason_REFUSAL_NO_UPSTREAM
	case m.leaving:
		return wire.RefusalReason_REFUSAL_LEAVING
	case m.zoneOut:
		return wire.RefusalReason_REFUSAL_ZONE_OUT
	default:
		return notRefused
	}
}

// startCold begins a cold start. Successes of requests admitted before it no longer raise
// the limit.
func (m *Machine) startCold(now time.Time) {
	m.epoch++
	m.reassessQueue = true
	m.ramp.startCold(now)
}
