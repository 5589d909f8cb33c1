package admission

import (
	"context"
	"sync"
	"time"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// Gate is the Limiter of the product: a Machine with a lock and blocking. It is
// safe for concurrent use.
type Gate struct {
	mu      sync.Mutex
	machine *Machine
	waiting map[Ticket]chan Event
	now     func() time.Time
	// start admits the next waiting request of a cold upstream; nil while none is set.
	start *time.Timer
}

var _ Limiter = (*Gate)(nil)

// NewGate returns a gate that refuses until Start. The clock is usually time.Now.
func NewGate(config Config, now func() time.Time) *Gate {
	return &Gate{machine: NewMachine(config), waiting: map[Ticket]chan Event{}, now: now}
}

// Start announces the upstream; see Machine.Start.
func (g *Gate) Start(startID string, slots int) {
	g.change(func(now time.Time) []Event { return g.machine.Start(now, startID, slots) })
}

// Gone withdraws the upstream; see Machine.Gone.
func (g *Gate) Gone() {
	g.change(g.machine.Gone)
}

// SetLeaving records that the upstream takes no new work.
func (g *Gate) SetLeaving(leaving bool) {
	g.change(func(now time.Time) []Event { return g.machine.SetLeaving(now, leaving) })
}

// SetZoneOut records whether the zone is out; a zone that returns starts cold.
func (g *Gate) SetZoneOut(out bool) {
	g.change(func(now time.Time) []Event { return g.machine.SetZoneOut(now, out) })
}

// SetWarmup states what the upstream bears while it is cold; see Machine.SetWarmup.
func (g *Gate) SetWarmup(perSecond float64, until time.Time) {
	g.change(func(now time.Time) []Event { return g.machine.SetWarmup(now, perSecond, until) })
}

// SetSlowdown takes how long work takes at this moment; see Machine.SetSlowdown.
func (g *Gate) SetSlowdown(slowdown float64) {
	g.change(func(now time.Time) []Event { return g.machine.SetSlowdown(now, slowdown) })
}

// Suspect makes the upstream count as cold for a while; see Machine.Suspect.
func (g *Gate) Suspect(duration time.Duration) {
	g.change(func(now time.Time) []Event { return g.machine.Suspect(now, duration) })
}

// Stop refuses all new work for good; running work finishes.
func (g *Gate) Stop() {
	g.change(g.machine.Stop)
}

// Report implements Limiter.
func (g *Gate) Report() *wire.LoadReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.machine.at = g.now()
	return g.machine.Report()
}

// Wait estimates the time until a request that comes now can start; see Machine.Wait.
func (g *Gate) Wait(req Request) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Wait(g.now(), req)
}

// Acquire implements Limiter. When ctx ends while the request waits, the result is
// a *Refusal with reason deadline: nothing was sent.
func (g *Gate) Acquire(ctx context.Context, req Request) (Permit, error) {
	if deadline, set := ctx.Deadline(); set && req.Deadline.IsZero() {
		req.Deadline = deadline
	}
	if ctx.Err() != nil {
		return nil, g.refusal(wire.RefusalReason_REFUSAL_DEADLINE)
	}
	ticket, verdict, reason, expiry := g.offer(req)
	switch verdict {
	case Admitted:
		return g.permit(ticket), nil
	case Refused:
		return nil, g.refusal(reason)
	default:
		return g.wait(ctx, ticket, expiry)
	}
}

type expiring struct {
	at   time.Time
	done chan Event
}

func (g *Gate) offer(req Request) (Ticket, Verdict, wire.RefusalReason, expiring) {
	g.mu.Lock()
	defer g.mu.Unlock()
	ticket, verdict, reason := g.machine.Offer(g.now(), req)
	if verdict != Queued {
		return ticket, verdict, reason, expiring{}
	}
	at, _ := g.machine.Expiry(ticket)
	done := make(chan Event, 1)
	g.waiting[ticket] = done
	g.scheduleLocked()
	return ticket, verdict, reason, expiring{at: at, done: done}
}

func (g *Gate) wait(ctx context.Context, ticket Ticket, e expiring) (Permit, error) {
	timer := time.NewTimer(e.at.Sub(g.now()))
	defer timer.Stop()
	select {
	case event := <-e.done:
		return g.finish(event)
	case <-timer.C:
		g.change(g.machine.Expire)
	case <-ctx.Done():
	}
	if g.abandon(ticket) {
		return nil, g.refusal(wire.RefusalReason_REFUSAL_DEADLINE)
	}
	event := <-e.done
	if event.Admitted && ctx.Err() != nil {
		g.release(ticket, Outcome{Result: ResultCancelled})
		return nil, g.refusal(wire.RefusalReason_REFUSAL_DEADLINE)
	}
	return g.finish(event)
}

func (g *Gate) finish(event Event) (Permit, error) {
	if event.Admitted {
		return g.permit(event.Ticket), nil
	}
	return nil, g.refusal(event.Reason)
}

// abandon returns false when the event of the ticket was already delivered.
func (g *Gate) abandon(ticket Ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.machine.Abandon(ticket) {
		return false
	}
	delete(g.waiting, ticket)
	return true
}

func (g *Gate) refusal(reason wire.RefusalReason) *Refusal {
	return &Refusal{Reason: reason, Load: g.Report()}
}

// change runs a transition and delivers its events. Each channel has room for its
// only event, so that delivery does not block.
func (g *Gate) change(transition func(now time.Time) []Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, event := range transition(g.now()) {
		g.waiting[event.Ticket] <- event
		delete(g.waiting, event.Ticket)
	}
	g.scheduleLocked()
}

// startSlack is added to the time of the next start, since timers and rates are rounded.
const startSlack = time.Millisecond

// scheduleLocked sets the timer for the next start that no other event causes.
func (g *Gate) scheduleLocked() {
	now := g.now()
	at, waits := g.machine.NextStart(now)
	if !waits || g.start != nil {
		return
	}
	g.start = time.AfterFunc(at.Sub(now)+startSlack, func() {
		g.mu.Lock()
		g.start = nil
		g.mu.Unlock()
		g.change(g.machine.Expire)
	})
}

func (g *Gate) release(ticket Ticket, outcome Outcome) {
	g.change(func(now time.Time) []Event { return g.machine.Release(now, ticket, outcome) })
}

func (g *Gate) permit(ticket Ticket) *permit {
	return &permit{gate: g, ticket: ticket, granted: g.now()}
}

type permit struct {
	gate    *Gate
	ticket  Ticket
	granted time.Time
}

// Release implements Permit. The machine knows each ticket once, so that further
// calls have no effect.
func (p *permit) Release(outcome Outcome) {
	if outcome.ServiceTime == 0 {
		outcome.ServiceTime = p.gate.now().Sub(p.granted)
	}
	p.gate.release(p.ticket, outcome)
}
