package admission

import (
	"slices"
	"time"

	"github.com/chicorylever/chicorylever/internal/coordination/overload"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// notRefused is the reason of a request that is admitted or queued.
const notRefused = wire.RefusalReason_REFUSAL_UNSPECIFIED

// Ticket identifies a request that was offered to a Machine.
type Ticket uint64

// Verdict is the immediate answer to an offered request.
type Verdict uint8

const (
	// Admitted means that the request holds a permit.
	Admitted Verdict = iota
	// Queued means that an Event will follow for the ticket.
	Queued
	// Refused means that the request gets no permit.
	Refused
)

// Event ends the wait of a queued request.
type Event struct {
	Ticket Ticket
	// Admitted is set when the request now holds a permit.
	Admitted bool
	// Reason of the refusal when Admitted is not set.
	Reason wire.RefusalReason
}

// Order is the order in which queued requests are admitted.
type Order uint8

const (
	// FIFO admits the request that has waited longest.
	FIFO Order = iota
	// LIFO admits the request that came last.
	LIFO
)

// Defaults of Config.
const (
	// defaultPatience is the round trip to another zone.
	defaultPatience     = 3 * time.Millisecond
	defaultServiceTime  = 5 * time.Millisecond
	defaultStepInterval = 200 * time.Millisecond
)

// Config holds the parameters of a Machine. Zero values take the defaults.
type Config struct {
	// Patience is the wait after which trying elsewhere is better, without the time
	// in the other instance's queue, which is taken as half a service time. The sum
	// is multiplied by the number of the attempt.
	Patience time.Duration
	// Order of the queue.
	Order Order
	// StepInterval is the shortest time between two increases of a cold limit.
	StepInterval time.Duration
	// Excess is what a cold upstream bears beyond its stated rate.
	Excess Excess
}

func (c Config) withDefaults() Config {
	if c.Patience == 0 {
		c.Patience = defaultPatience
	}
	if c.StepInterval == 0 {
		c.StepInterval = defaultStepInterval
	}
	if c.Excess == (Excess{}) {
		c.Excess = defaultExcess
	}
	return c
}

// Machine is the admission state of one upstream. It is not safe for concurrent use.
// Methods that end waits return events; the slice is valid until the next call.
type Machine struct {
	config   Config
	startID  string
	slots    int // 0 while there is no upstream
	leaving  bool
	zoneOut  bool
	stopping bool
	epoch    uint64
	next     Ticket
	running  map[Ticket]uint64 // ticket to the epoch of its admission
	queue    []waiter
	events   []Event
	ramp     ramp
	warmup   warmup
	speed    speed
	// at is the time of the last transition.
	at time.Time
	// chilled is set from the begin of a cold start until the queue was reassessed.
	chilled bool
}

type waiter struct {
	ticket  Ticket
	urgency overload.Urgency
	rank    int
	// latest is when the request must start to be in time, zero when that is unknown. A
	// nested one is overdue after it.
	latest  time.Time
	overdue bool
	// work is the own work of the request at the usual speed, 0 when unknown.
	work   time.Duration
	expiry time.Time
	// late is set when the expiry comes from the deadline.
	late bool
}

// NewMachine returns a machine without an upstream; it refuses until Start.
func NewMachine(config Config) *Machine {
	config = config.withDefaults()
	return &Machine{config: config, running: map[Ticket]uint64{}, warmup: warmup{excess: config.Excess}}
}

// Start announces the upstream. A new start ID begins a cold start; the same one
// only updates the slots.
func (m *Machine) Start(now time.Time, startID string, slots int) []Event {
	m.events = m.events[:0]
	m.slots = max(0, slots)
	if startID != m.startID {
		m.startID = startID
		m.leaving = false
		m.chill(now)
	}
	m.ramp.limit = max(1, min(m.ramp.limit, m.slots))
	m.settle(now)
	return m.events
}

// Gone withdraws the upstream: all waiting requests are refused.
func (m *Machine) Gone(now time.Time) []Event {
	m.events = m.events[:0]
	m.slots = 0
	m.startID = ""
	m.settle(now)
	return m.events
}

// SetLeaving records that the upstream takes no new work.
func (m *Machine) SetLeaving(now time.Time, leaving bool) []Event {
	m.events = m.events[:0]
	m.leaving = leaving
	m.settle(now)
	return m.events
}

// SetZoneOut records whether the zone is out. A zone that returns starts cold.
func (m *Machine) SetZoneOut(now time.Time, out bool) []Event {
	m.events = m.events[:0]
	if m.zoneOut && !out {
		m.chill(now)
	}
	m.zoneOut = out
	m.settle(now)
	return m.events
}

// Stop records that the node is shutting down and takes no new work.
func (m *Machine) Stop(now time.Time) []Event {
	m.events = m.events[:0]
	m.stopping = true
	m.settle(now)
	return m.events
}

// Offer asks for a permit. The reason is set when the verdict is Refused.
func (m *Machine) Offer(now time.Time, req Request) (Ticket, Verdict, wire.RefusalReason) {
	if reason := m.closed(); reason != notRefused {
		return 0, Refused, reason
	}
	if !req.Deadline.IsZero() && !now.Before(req.Deadline) {
		return 0, Refused, wire.RefusalReason_REFUSAL_DEADLINE
	}
	m.next++
	ticket := m.next
	m.at = now
	w := waiter{ticket: ticket, urgency: m.urgency(now, req), rank: req.Rank, work: req.Work.Own}
	if w.urgency != overload.Late && !req.Objective.IsZero() {
		w.latest = m.latestStart(req)
		w.overdue = now.After(w.latest)
	}
	ahead := m.ahead(&w)
	// A nested request passes those that it does not take a place from.
	if (ahead == 0 || w.urgency == overload.Nested) && m.mayStart(now, &w) {
		m.running[ticket] = m.epoch
		return ticket, Admitted, notRefused
	}
	if reason := m.limitWait(now, &w, ahead, req); reason != notRefused {
		return 0, Refused, reason
	}
	m.queue = slices.Insert(m.queue, ahead, w)
	return ticket, Queued, notRefused
}

// Release ends an admitted request and admits waiting ones.
func (m *Machine) Release(now time.Time, ticket Ticket, outcome Outcome) []Event {
	m.events = m.events[:0]
	epoch, admitted := m.running[ticket]
	if !admitted {
		return m.events
	}
	delete(m.running, ticket)
	m.observe(now, epoch, outcome)
	m.settle(now)
	return m.events
}

func (m *Machine) observe(now time.Time, epoch uint64, outcome Outcome) {
	if m.warmup.isStated() {
		m.ramp.measure(outcome)
		return
	}
	if epoch == m.epoch && m.ramp.observe(now, outcome, m.slots, m.config.StepInterval) {
		m.chill(now)
	}
}

// Abandon removes a waiting request. It returns false when the request is not
// waiting: it was admitted or refused before.
func (m *Machine) Abandon(ticket Ticket) bool {
	for i := range m.queue {
		if m.queue[i].ticket == ticket {
			m.queue = append(m.queue[:i], m.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Expire refuses the waiting requests whose time is over.
func (m *Machine) Expire(now time.Time) []Event {
	m.events = m.events[:0]
	m.settle(now)
	return m.events
}

// Expiry returns the time at which a waiting request is refused.
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
		Limit:         uint32(max(0, m.limit())),
		State:         m.state(),
		ServiceTimeUs: uint64(m.ramp.recent / float64(time.Microsecond.Seconds())),
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
	if m.warmup.isStated() {
		return m.warmup.isCold(m.at)
	}
	return m.ramp.cold
}

func (m *Machine) closed() wire.RefusalReason {
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

// chill begins a cold start. Requests admitted before no longer count for growth.
func (m *Machine) chill(now time.Time) {
	m.epoch++
	m.chilled = true
	m.ramp.chill(now)
}
