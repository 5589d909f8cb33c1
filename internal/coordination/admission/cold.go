package admission

import (
	"time"

	"github.com/chicorylever/chicorylever/internal/coordination/overload"
)

const (
	// coldReserveDivisor divides the limit of a cold upstream; the result is the number of
	// slots that requests without a chance to meet their objective leave free. A cold
	// upstream takes longer for a request than those with a chance can wait for a slot.
	coldReserveDivisor = 2
	// maxColdLateWait bounds how long such a request waits for what others leave. Asking
	// again elsewhere would take the same attempts without coming to its turn.
	maxColdLateWait = 2 * time.Second
)

// coldReserve is how many of the slots of a cold upstream with a configured rate a request
// leaves free, because it cannot meet its objective.
func (m *Machine) coldReserve(now time.Time, w *waiter, limit int) int {
	if !m.warmup.isCold(now) || m.canMeetObjective(now, w) {
		return 0
	}
	return limit / coldReserveDivisor
}

// canMeetObjective reports whether a request can meet its objective when it starts now, at the
// current speed. It returns true for a request without an objective.
func (m *Machine) canMeetObjective(now time.Time, w *waiter) bool {
	if w.isLate() {
		return false
	}
	ownTime := time.Duration(m.speed.slowdown * float64(w.ownTime))
	return w.ownObjective.IsZero() || !now.Add(ownTime).After(w.ownObjective)
}

// coldLateTimeout is how long a request that has no chance to meet its objective may be queued
// at a cold upstream. It returns false when that is not such a request.
func (m *Machine) coldLateTimeout(now time.Time, w *waiter, req Request) (time.Duration, bool) {
	if w.urgency != overload.Late || req.Deadline.IsZero() || !m.warmup.isCold(now) {
		return 0, false
	}
	return min(maxColdLateWait, max(0, req.Deadline.Sub(now)-m.reservedTime(req))), true
}
