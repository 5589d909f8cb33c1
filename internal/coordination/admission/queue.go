package admission

import (
	"slices"
	"time"

	"github.com/chicorylever/chicorylever/internal/coordination/overload"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

const (
	// maxBaseQueueTimeout bounds the queue wait of a first attempt where service times are
	// long.
	maxBaseQueueTimeout = 50 * time.Millisecond
	// maxQueuedPerSlot bounds the queue length where service times are so short that many
	// requests would be served within the queue timeout.
	maxQueuedPerSlot = 2
	// coldSlowdown is how many times longer processing takes at a cold upstream.
	coldSlowdown = 2.0
	// serviceTimeMargin times the mean service time is the time reserved for a request.
	// Service times vary, and half of the requests that start with just the mean left
	// would end too late.
	serviceTimeMargin = 1.2
)

// urgency returns the urgency of a request at the given time: a request that can no longer
// meet its objective is late.
func (m *Machine) urgency(now time.Time, req Request) overload.Urgency {
	if req.Urgency == overload.InTime && !req.Objective.IsZero() && now.After(m.latestStart(req)) {
		return overload.Late
	}
	return req.Urgency
}

// latestStart is when a request with an objective must start so that most requests like it
// meet the objective.
func (m *Machine) latestStart(req Request) time.Time {
	return req.Objective.Add(-m.reservedTime(req))
}

// reservedTime is the time reserved for a request, so that most requests like it end
// within it.
func (m *Machine) reservedTime(req Request) time.Duration {
	return time.Duration(serviceTimeMargin * float64(m.expectedServiceTime(req)))
}

// countAhead returns how many queued requests precede w.
func (m *Machine) countAhead(w *waiter) int {
	for i := range m.queue {
		if w.precedes(&m.queue[i]) {
			return i
		}
	}
	return len(m.queue)
}

func (w *waiter) precedes(other *waiter) bool {
	isLate, otherIsLate := w.isLate(), other.isLate()
	switch {
	case isLate != otherIsLate:
		return otherIsLate
	case w.priority != other.priority:
		return w.priority < other.priority
	case w.urgency != other.urgency:
		return w.urgency.Precedes(other.urgency)
	case w.givesWay != other.givesWay:
		return other.givesWay
	case w.excess != other.excess:
		return w.excess < other.excess
	}
	return !w.latestStart.IsZero() && (other.latestStart.IsZero() || w.latestStart.Before(other.latestStart))
}

// isLate reports whether the request gets only the capacity left by requests that can still
// meet their objectives.
func (w *waiter) isLate() bool { return w.urgency == overload.Late || w.overdue }

// demoteOverdue marks requests that can no longer meet their objective, which then go behind
// the others, and reports whether there are any. Only nested requests are affected, since
// others are refused at their latest start.
func (m *Machine) demoteOverdue(now time.Time) bool {
	changed := false
	for i := range m.queue {
		w := &m.queue[i]
		if !w.overdue && !w.latestStart.IsZero() && now.After(w.latestStart) {
			w.overdue, changed = true, true
		}
	}
	return changed
}

// sortQueue restores the order of the queue after requests in it have changed.
func (m *Machine) sortQueue() {
	slices.SortStableFunc(m.queue, func(a, b waiter) int {
		switch {
		case a.precedes(&b):
			return -1
		case b.precedes(&a):
			return 1
		}
		return 0
	})
}

// checkQueueWait decides whether queueing is worthwhile for a request that cannot start now
// and has ahead requests before it. It sets the expiry of w, or returns a refusal reason.
func (m *Machine) checkQueueWait(now time.Time, w *waiter, ahead int, req Request) wire.RefusalReason {
	queueTimeout := m.queueTimeout(now, w, req)
	wait := m.expectedWait(now, w, ahead)
	if wait > queueTimeout || m.isQueueFull(w, ahead) {
		return m.fullReason()
	}
	w.expiry = now.Add(queueTimeout)
	if req.Deadline.IsZero() {
		return notRefused
	}
	latestStart := req.Deadline.Add(-m.reservedTime(req))
	if now.Add(wait).After(latestStart) {
		return wire.RefusalReason_REFUSAL_DEADLINE
	}
	if latestStart.Before(w.expiry) {
		w.expiry = latestStart
		w.expiresByDeadline = true
	}
	return notRefused
}

// isQueueFull reports whether a request with ahead others before it finds no room in the
// queue. One of an organisation below its share replaces the last of one above it, and at a
// cold upstream one that is not late replaces the last late one. The next transition refuses
// the one that is replaced.
func (m *Machine) isQueueFull(w *waiter, ahead int) bool {
	room := maxQueuedPerSlot * m.slots
	if len(m.queue) == room && ahead < room {
		last := &m.queue[room-1]
		givesWay := last.excess > w.excess || m.warmup.isCold(m.updatedAt) && last.isLate() && !w.isLate()
		if givesWay {
			return false
		}
	}
	return len(m.queue) >= room
}

// expectedServiceTime is the expected time from the start of the request to the end of its
// response.
func (m *Machine) expectedServiceTime(req Request) time.Duration {
	if req.Work.OwnTime == 0 {
		return m.ramp.serviceTime()
	}
	if m.warmup.isCold(m.updatedAt) {
		return time.Duration(coldSlowdown*float64(req.Work.OwnTime)) + req.Work.NestedWait
	}
	return req.Work.OwnTime + req.Work.NestedWait
}

// queueTimeout is how long an attempt may be queued: a nested request with a deadline as
// long as it can meet the deadline, an in-time request with an objective as long as it can
// meet the objective, and any other until another instance is likely to be faster.
func (m *Machine) queueTimeout(now time.Time, w *waiter, req Request) time.Duration {
	switch {
	case w.urgency == overload.Nested && !req.Deadline.IsZero():
		return max(0, req.Deadline.Sub(now)-m.reservedTime(req))
	case w.urgency == overload.InTime && !req.Objective.IsZero():
		return max(0, m.latestStart(req).Sub(now))
	}
	if timeout, isColdLate := m.coldLateTimeout(now, w, req); isColdLate {
		return timeout
	}
	otherInstanceWait := m.config.BaseQueueTimeout + fromSeconds(m.ramp.usualSeconds/2)
	return min(otherInstanceWait, maxBaseQueueTimeout) * time.Duration(max(1, req.Attempt))
}

// expectedWait is the expected time until a request with ahead others before it is admitted.
func (m *Machine) expectedWait(now time.Time, w *waiter, ahead int) time.Duration {
	wait := m.slotWait(now, w, ahead)
	if m.speed.shouldDelay(now, w.ownTime) {
		wait = max(wait, meanRemainingSlowdownTime)
	}
	return wait
}

// slotWait is the expected time until a request with ahead others before it gets a slot and
// the rate limit of a cold upstream allows it.
func (m *Machine) slotWait(now time.Time, w *waiter, ahead int) time.Duration {
	wait := max(m.rateWait(now, ahead), m.full.pause(now))
	limit := m.limit()
	overLimit := len(m.running) - limit
	if overLimit+ahead < 0 {
		return wait
	}
	serviceTimes := float64(ahead+1+max(0, overLimit)) / float64(max(1, limit))
	if w.urgency == overload.Nested && !w.overdue && !m.isRateLimited() {
		serviceTimes = min(serviceTimes, m.nestedShareWait())
	}
	return max(wait, time.Duration(serviceTimes*float64(m.ramp.serviceTime())))
}

// NextStart returns when a rate limit, or the end of the pause of a full upstream, allows the
// next queued request to start. It returns false when the queue is empty, or when that request
// waits for something else.
func (m *Machine) NextStart(now time.Time) (time.Time, bool) {
	pause := m.full.pause(now)
	if len(m.queue) == 0 || pause == 0 && !m.isRateLimited() || !m.hasCapacity(now, &m.queue[0]) {
		return time.Time{}, false
	}
	return now.Add(max(pause, m.rateWait(now, 0))), true
}

// fullReason is the refusal reason of a request whose queue wait would be too long.
func (m *Machine) fullReason() wire.RefusalReason {
	switch {
	case m.isCold():
		return wire.RefusalReason_REFUSAL_COLD
	case m.stated.active:
		return wire.RefusalReason_REFUSAL_RATE_LIMITED
	default:
		return wire.RefusalReason_REFUSAL_QUEUE_FULL
	}
}

// processQueue refuses queued requests that have expired or may no longer run, then admits
// as many as the limit allows.
func (m *Machine) processQueue(now time.Time) {
	m.updatedAt = now
	m.refuseQueued(now)
	if m.demoteOverdue(now) {
		m.sortQueue()
	}
	for i := m.takeStartable(now); i >= 0; i = m.takeStartable(now) {
		w := m.queue[i]
		m.queue = slices.Delete(m.queue, i, i+1)
		m.admit(now, &w)
		m.events = append(m.events, Event{Ticket: w.ticket, Admitted: true})
	}
}

// takeStartable returns the index of the queued request that starts now, or -1, and counts
// the request against the rate limit of a cold upstream.
func (m *Machine) takeStartable(now time.Time) int {
	if len(m.queue) == 0 {
		return -1
	}
	if m.updateExcess() {
		m.sortQueue()
	}
	next := slices.IndexFunc(m.queue, func(w waiter) bool { return m.isBelowNestedShare(&w) && m.hasCapacity(now, &w) })
	if next < 0 {
		next = 0
	}
	if !m.hasCapacity(now, &m.queue[next]) {
		next = slices.IndexFunc(m.queue, func(w waiter) bool { return m.mayOvertake(&w) && m.hasCapacity(now, &w) })
	}
	if next < 0 || !m.tryStart(now, &m.queue[next]) {
		return -1
	}
	return next
}

// refuseQueued refuses the queued requests that must not wait any longer.
func (m *Machine) refuseQueued(now time.Time) {
	kept := m.queue[:0]
	for _, w := range m.queue {
		reason := m.queuedReason(now, w, len(kept))
		if reason == notRefused {
			kept = append(kept, w)
			continue
		}
		m.events = append(m.events, Event{Ticket: w.ticket, Reason: reason})
	}
	m.queue = kept
	m.reassessQueue = false
}

// queuedReason returns why a queued request with ahead others before it must not wait any
// longer, or notRefused. Once a cold start has begun, requests that cannot be admitted
// before their expiry under the limit of 1 are refused at once.
func (m *Machine) queuedReason(now time.Time, w waiter, ahead int) wire.RefusalReason {
	if reason := m.closedReason(); reason != notRefused {
		return reason
	}
	if !now.Before(w.expiry) {
		return m.expiredReason(w)
	}
	waitsTooLong := m.reassessQueue && now.Add(m.expectedWait(now, &w, ahead)).After(w.expiry)
	if waitsTooLong || ahead >= maxQueuedPerSlot*m.slots {
		return m.fullReason()
	}
	return notRefused
}

func (m *Machine) expiredReason(w waiter) wire.RefusalReason {
	if w.expiresByDeadline {
		return wire.RefusalReason_REFUSAL_DEADLINE
	}
	return m.fullReason()
}
