package admission

import (
	"slices"
	"time"

	"github.com/chicorylever/chicorylever/internal/coordination/overload"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

const (
	// maxPatience bounds the wait of a first attempt where requests take long.
	maxPatience = 50 * time.Millisecond
	// queuePerSlot bounds the queue where requests are so short that many would be
	// served within the patience.
	queuePerSlot = 2
	// coldWork is how much longer work takes at a cold upstream.
	coldWork = 2.0
	// workMargin times the mean work is the time that is kept for a request. Work varies,
	// and half of the requests that start with just the mean left would end too late.
	workMargin = 1.2
)

// urgency returns the urgency of a request at this moment: one that cannot be answered
// within its objective any more is late.
func (m *Machine) urgency(now time.Time, req Request) overload.Urgency {
	if req.Urgency == overload.InTime && !req.Objective.IsZero() && now.After(m.latestStart(req)) {
		return overload.Late
	}
	return req.Urgency
}

// latestStart is when a request with an objective must start so that most like it are in
// time.
func (m *Machine) latestStart(req Request) time.Time {
	return req.Objective.Add(-m.reserve(req))
}

// reserve is the time that is kept for a request, so that most like it end within it.
func (m *Machine) reserve(req Request) time.Duration {
	return time.Duration(workMargin * float64(m.work(req)))
}

// ahead returns how many waiting requests go before w.
func (m *Machine) ahead(w *waiter) int {
	for i := range m.queue {
		if w.goesBefore(&m.queue[i]) {
			return i
		}
	}
	return len(m.queue)
}

func (w *waiter) goesBefore(other *waiter) bool {
	isLate, otherIsLate := w.isLate(), other.isLate()
	switch {
	case isLate != otherIsLate:
		return otherIsLate
	case w.rank != other.rank:
		return w.rank < other.rank
	case w.urgency != other.urgency:
		return w.urgency.Precedes(other.urgency)
	}
	return !w.latest.IsZero() && (other.latest.IsZero() || w.latest.Before(other.latest))
}

// isLate reports whether the request takes what those leave that can be in time.
func (w *waiter) isLate() bool { return w.urgency == overload.Late || w.overdue }

// postpone puts requests that can't be in time any more behind others. These are nested
// ones, since others are refused at that time.
func (m *Machine) postpone(now time.Time) {
	changed := false
	for i := range m.queue {
		w := &m.queue[i]
		if !w.overdue && !w.latest.IsZero() && now.After(w.latest) {
			w.overdue, changed = true, true
		}
	}
	if changed {
		slices.SortStableFunc(m.queue, func(a, b waiter) int {
			switch {
			case a.goesBefore(&b):
				return -1
			case b.goesBefore(&a):
				return 1
			}
			return 0
		})
	}
}

// limitWait decides whether waiting is worthwhile for a request that finds no free
// permit and has others ahead of it, and until when.
func (m *Machine) limitWait(now time.Time, w *waiter, ahead int, req Request) wire.RefusalReason {
	patience := m.patience(now, w, req)
	wait := m.expectedWait(now, w, ahead)
	if wait > patience || len(m.queue) >= queuePerSlot*m.slots {
		return m.fullReason()
	}
	w.expiry = now.Add(patience)
	if req.Deadline.IsZero() {
		return notRefused
	}
	latest := req.Deadline.Add(-m.reserve(req))
	if now.Add(wait).After(latest) {
		return wire.RefusalReason_REFUSAL_DEADLINE
	}
	if latest.Before(w.expiry) {
		w.expiry = latest
		w.late = true
	}
	return notRefused
}

// work is how long the request is expected to take.
func (m *Machine) work(req Request) time.Duration {
	if req.Work.Own == 0 {
		return m.ramp.serviceTime()
	}
	if m.warmup.isCold(m.at) {
		return time.Duration(coldWork*float64(req.Work.Own)) + req.Work.Held
	}
	return req.Work.Own + req.Work.Held
}

// patience is how long an attempt may wait: one with an objective as long as it can still
// be answered within it, a nested one as long as it can be answered at all, and others
// until another instance is likely to be quicker.
func (m *Machine) patience(now time.Time, w *waiter, req Request) time.Duration {
	switch {
	case w.urgency == overload.Nested && !req.Deadline.IsZero():
		return max(0, req.Deadline.Sub(now)-m.reserve(req))
	case w.urgency == overload.InTime && !req.Objective.IsZero():
		return max(0, m.latestStart(req).Sub(now))
	}
	elsewhere := m.config.Patience + seconds(m.ramp.usual/2)
	return min(elsewhere, maxPatience) * time.Duration(max(1, req.Attempt))
}

// expectedWait is the time until a request with ahead others before it is admitted.
func (m *Machine) expectedWait(now time.Time, w *waiter, ahead int) time.Duration {
	wait := m.turn(now, w, ahead)
	if m.speed.outwaits(now, w.work) {
		wait = max(wait, slowRest)
	}
	return wait
}

// turn is the time until a request with ahead others before it has a place.
func (m *Machine) turn(now time.Time, w *waiter, ahead int) time.Duration {
	wait := m.coldWait(now, ahead)
	limit := m.limitFor(w)
	excess := len(m.running) - limit
	if excess+ahead < 0 {
		return wait
	}
	turns := float64(ahead+1+max(0, excess)) / float64(max(1, limit))
	return max(wait, time.Duration(turns*float64(m.ramp.serviceTime())))
}

// coldWait is the time until the rate that a cold upstream bears allows the request.
func (m *Machine) coldWait(now time.Time, ahead int) time.Duration {
	if !m.warmup.isCold(now) {
		return 0
	}
	return m.warmup.wait(now, ahead)
}

// NextStart returns when the first waiting request may start by itself, because the rate
// of a cold upstream allows it then, and false when only another event can start it.
func (m *Machine) NextStart(now time.Time) (time.Time, bool) {
	if len(m.queue) == 0 || !m.warmup.isCold(now) || !m.hasPlace(now, &m.queue[m.nextWaiter()]) {
		return time.Time{}, false
	}
	return now.Add(m.warmup.wait(now, 0)), true
}

func (m *Machine) fullReason() wire.RefusalReason {
	if m.isCold() {
		return wire.RefusalReason_REFUSAL_COLD
	}
	return wire.RefusalReason_REFUSAL_QUEUE_FULL
}

// settle refuses waiting requests that expired or may not run, then admits as many
// as the limit allows.
func (m *Machine) settle(now time.Time) {
	m.at = now
	m.refuseWaiting(now)
	m.postpone(now)
	for i := m.startable(now); i >= 0; i = m.startable(now) {
		w := m.queue[i]
		m.queue = slices.Delete(m.queue, i, i+1)
		m.running[w.ticket] = m.epoch
		m.events = append(m.events, Event{Ticket: w.ticket, Admitted: true})
	}
}

// startable returns the index of the waiting request that starts now, and counts it, or
// -1. Where the next one finds no place, a nested one may use those that are left free.
func (m *Machine) startable(now time.Time) int {
	if len(m.queue) == 0 {
		return -1
	}
	next := m.nextWaiter()
	if !m.hasPlace(now, &m.queue[next]) {
		next = slices.IndexFunc(m.queue, func(w waiter) bool { return w.urgency == overload.Nested && m.hasPlace(now, &w) })
	}
	if next < 0 || !m.mayStart(now, &m.queue[next]) {
		return -1
	}
	return next
}

func (m *Machine) refuseWaiting(now time.Time) {
	kept := m.queue[:0]
	for _, w := range m.queue {
		reason := m.waitingReason(now, w, len(kept))
		if reason == notRefused {
			kept = append(kept, w)
			continue
		}
		m.events = append(m.events, Event{Ticket: w.ticket, Reason: reason})
	}
	m.queue = kept
	m.chilled = false
}

// waitingReason returns why a request with ahead others before it must not wait
// longer. After a cold start began, requests that the limit of 1 cannot serve in time
// are refused at once.
func (m *Machine) waitingReason(now time.Time, w waiter, ahead int) wire.RefusalReason {
	if reason := m.closed(); reason != notRefused {
		return reason
	}
	if !now.Before(w.expiry) {
		return m.expiredReason(w)
	}
	hopeless := m.chilled && now.Add(m.expectedWait(now, &w, ahead)).After(w.expiry)
	if hopeless || ahead >= queuePerSlot*m.slots {
		return m.fullReason()
	}
	return notRefused
}

func (m *Machine) expiredReason(w waiter) wire.RefusalReason {
	if w.late {
		return wire.RefusalReason_REFUSAL_DEADLINE
	}
	return m.fullReason()
}

// nextWaiter returns the index of the waiting request that is admitted next.
func (m *Machine) nextWaiter() int {
	if m.config.Order == LIFO {
		return len(m.queue) - 1
	}
	return 0
}
