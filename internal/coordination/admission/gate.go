package admission

import (
	"context"
	"sync"
	"time"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// Gate is the Limiter that nodes use: a Machine with a lock and blocking calls. It is safe
// for concurrent use.
type Gate struct {
	mu            sync.Mutex
	machine       *Machine
	eventChannels map[Ticket]chan Event // channels for the events of queued requests
	now           func() time.Time
	// startTimer fires when a rate limit allows the next queued request to start; nil while no
	// timer is running.
	startTimer   *time.Timer
	startTimerAt time.Time
}

var _ Limiter = (*Gate)(nil)

// NewGate returns a gate that refuses all requests until Start. The clock now is usually
// time.Now.
func NewGate(config Config, now func() time.Time) *Gate {
	return &Gate{machine: NewMachine(config), eventChannels: map[Ticket]chan Event{}, now: now}
}

// Start announces the upstream; see Machine.Start.
func (g *Gate) Start(startID string, slots int) {
	g.apply(func(now time.Time) []Event { return g.machine.Start(now, startID, slots) })
}

// RenameStart replaces the start ID of the upstream without a cold start.
func (g *Gate) RenameStart(startID string) {
	g.apply(func(time.Time) []Event { return g.machine.RenameStart(startID) })
}

// Withdraw removes the upstream; see Machine.Withdraw.
func (g *Gate) Withdraw() {
	g.apply(g.machine.Withdraw)
}

// SetLeaving sets whether the upstream is leaving. While it is, all new and queued requests
// are refused.
func (g *Gate) SetLeaving(leaving bool) {
	g.apply(func(now time.Time) []Event { return g.machine.SetLeaving(now, leaving) })
}

// SetZoneOut sets whether the zone is out of service; see Machine.SetZoneOut.
func (g *Gate) SetZoneOut(out bool) {
	g.apply(func(now time.Time) []Event { return g.machine.SetZoneOut(now, out) })
}

// SetWarmup sets the rate limit of the upstream while it is cold; see Machine.SetWarmup.
func (g *Gate) SetWarmup(perSecond float64, coldUntil time.Time) {
	g.apply(func(now time.Time) []Event { return g.machine.SetWarmup(now, perSecond, coldUntil) })
}

// SetStatedRate sets the rate that the upstream states it accepts; see Machine.SetStatedRate.
func (g *Gate) SetStatedRate(perSecond float64) {
	g.apply(func(now time.Time) []Event { return g.machine.SetStatedRate(now, perSecond) })
}

// ClearStatedRate ends the bound that SetStatedRate has set.
func (g *Gate) ClearStatedRate() {
	g.apply(g.machine.ClearStatedRate)
}

// SetSlowdown sets the current slowdown of the upstream; see Machine.SetSlowdown.
func (g *Gate) SetSlowdown(slowdown float64) {
	g.apply(func(now time.Time) []Event { return g.machine.SetSlowdown(now, slowdown) })
}

// Suspect treats the upstream as cold for the duration; see Machine.Suspect.
func (g *Gate) Suspect(duration time.Duration) {
	g.apply(func(now time.Time) []Event { return g.machine.Suspect(now, duration) })
}

// Stop refuses all further requests permanently; running requests finish.
func (g *Gate) Stop() {
	g.apply(g.machine.Stop)
}

// Report implements Limiter.
func (g *Gate) Report() *wire.LoadReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.machine.updatedAt = g.now()
	return g.machine.Report()
}

// Wait estimates the time until a request that arrives now can start; see Machine.Wait.
func (g *Gate) Wait(req Request) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Wait(g.now(), req)
}

// Acquire implements Limiter. When ctx ends while the request is queued, the error is a
// *Refusal with reason deadline: nothing was sent.
func (g *Gate) Acquire(ctx context.Context, req Request) (Permit, error) {
	if deadline, set := ctx.Deadline(); set && req.Deadline.IsZero() {
		req.Deadline = deadline
	}
	if ctx.Err() != nil {
		return nil, g.refusal(wire.RefusalReason_REFUSAL_DEADLINE)
	}
	ticket, verdict, reason, queued := g.offer(req)
	switch verdict {
	case Admitted:
		return g.newPermit(ticket), nil
	case Refused:
		return nil, g.refusal(reason)
	default:
		return g.awaitEvent(ctx, ticket, queued)
	}
}

// queuedRequest is a request that is queued until its expiry. The channel receives its only
// event.
type queuedRequest struct {
	expiry time.Time
	events chan Event
}

func (g *Gate) offer(req Request) (Ticket, Verdict, wire.RefusalReason, queuedRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	ticket, verdict, reason := g.machine.Offer(g.now(), req)
	if verdict != Queued {
		return ticket, verdict, reason, queuedRequest{}
	}
	expiry, _ := g.machine.Expiry(ticket)
	events := make(chan Event, 1)
	g.eventChannels[ticket] = events
	g.scheduleLocked()
	return ticket, verdict, reason, queuedRequest{expiry: expiry, events: events}
}

// awaitEvent blocks until a queued request is admitted or refused or its context ends.
func (g *Gate) awaitEvent(ctx context.Context, ticket Ticket, queued queuedRequest) (Permit, error) {
	timer := time.NewTimer(queued.expiry.Sub(g.now()))
	defer timer.Stop()
	select {
	case event := <-queued.events:
		return g.resolve(event)
	case <-timer.C:
		g.apply(g.machine.Expire)
	case <-ctx.Done():
	}
	if g.abandon(ticket) {
		return nil, g.refusal(wire.RefusalReason_REFUSAL_DEADLINE)
	}
	event := <-queued.events
	if event.Admitted && ctx.Err() != nil {
		g.release(ticket, Outcome{Result: ResultCancelled})
		return nil, g.refusal(wire.RefusalReason_REFUSAL_DEADLINE)
	}
	return g.resolve(event)
}

// resolve converts the event of a queued request to the result of Acquire.
func (g *Gate) resolve(event Event) (Permit, error) {
	if event.Admitted {
		return g.newPermit(event.Ticket), nil
	}
	return nil, g.refusal(event.Reason)
}

// abandon removes a queued request. It returns false when the event of the request was
// already delivered.
func (g *Gate) abandon(ticket Ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.machine.Abandon(ticket) {
		return false
	}
	delete(g.eventChannels, ticket)
	return true
}

func (g *Gate) refusal(reason wire.RefusalReason) *Refusal {
	return &Refusal{Reason: reason, Load: g.Report()}
}

// apply runs a transition of the machine and delivers its events. Each channel has capacity
// for its only event, so that delivery does not block.
func (g *Gate) apply(transition func(now time.Time) []Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, event := range transition(g.now()) {
		g.eventChannels[event.Ticket] <- event
		delete(g.eventChannels, event.Ticket)
	}
	g.scheduleLocked()
}

// startTimerMargin is added to the delay of the start timer, since timers and rates are
// rounded.
const startTimerMargin = time.Millisecond

// scheduleLocked sets the start timer when the next queued request waits only for a rate
// limit. An earlier start replaces the timer, since the limit may have been raised. The caller
// holds the lock.
func (g *Gate) scheduleLocked() {
	now := g.now()
	startAt, startsByTimer := g.machine.NextStart(now)
	if !startsByTimer || g.startTimer != nil && !startAt.Before(g.startTimerAt) {
		return
	}
	if g.startTimer != nil {
		g.startTimer.Stop()
	}
	var timer *time.Timer
	timer = time.AfterFunc(startAt.Sub(now)+startTimerMargin, func() {
		g.mu.Lock()
		if g.startTimer == timer {
			g.startTimer = nil
		}
		g.mu.Unlock()
		g.apply(g.machine.Expire)
	})
	g.startTimer, g.startTimerAt = timer, startAt
}

func (g *Gate) release(ticket Ticket, outcome Outcome) {
	g.apply(func(now time.Time) []Event { return g.machine.Release(now, ticket, outcome) })
}

func (g *Gate) newPermit(ticket Ticket) *permit {
	return &permit{gate: g, ticket: ticket, grantedAt: g.now()}
}

type permit struct {
	gate      *Gate
	ticket    Ticket
	grantedAt time.Time
}

// Release implements Permit. The machine releases each ticket only once, so that further
// calls have no effect.
func (p *permit) Release(outcome Outcome) {
	if outcome.ServiceTime == 0 {
		outcome.ServiceTime = p.gate.now().Sub(p.grantedAt)
	}
	p.gate.release(p.ticket, outcome)
}
