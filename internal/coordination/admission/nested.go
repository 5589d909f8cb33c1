package admission

import "github.com/chicorylever/chicorylever/internal/coordination/overload"

// nestedShareDivisor divides the limit; the result, rounded up, is the number of running
// requests up to which nested ones go first.
const nestedShareDivisor = 3

// nestedShare is the number of running requests up to which nested ones go before all others.
// Within it the work done for their parents counts, whatever the priority of these; beyond it
// nested requests must not take the slots of callers with a higher priority.
func (m *Machine) nestedShare() int {
	return (m.limit() + nestedShareDivisor - 1) / nestedShareDivisor
}

// isBelowNestedShare reports whether a request is nested, can meet its objective, and fits into
// the share of nested requests. An upstream whose rate is limited has no such share: the few
// requests that it gets go by priority, and nested requests have the priority of their parents.
func (m *Machine) isBelowNestedShare(w *waiter) bool {
	return w.urgency == overload.Nested && !w.overdue && m.nestedRunning < m.nestedShare() && !m.isRateLimited()
}

// mayOvertake reports whether a request may start before those ahead of it in the queue. A
// nested request may, if it is within the share of nested requests, or unless a request of a
// higher priority waits that can still meet its objective.
func (m *Machine) mayOvertake(w *waiter) bool {
	if w.urgency != overload.Nested {
		return false
	}
	if len(m.queue) == 0 || m.isBelowNestedShare(w) {
		return true
	}
	first := &m.queue[0]
	return first.isLate() || first.priority >= w.priority
}

// nestedShareWait is the expected wait, in service times, until a nested request that arrives
// now starts within the share of nested requests.
func (m *Machine) nestedShareWait() float64 {
	share := m.nestedShare()
	ahead := m.nestedRunning - share
	for i := range m.queue {
		if m.queue[i].urgency == overload.Nested && !m.queue[i].overdue {
			ahead++
		}
	}
	return float64(max(0, ahead)+1) / float64(max(1, share))
}
