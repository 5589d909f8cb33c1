package admission

import (
	"math"
	"time"
)

const (
	// shareMemory is the time after which the work of an organisation counts 1/e. It spans
	// several requests of an organisation at one of many upstreams, and is short against a
	// burst of some seconds.
	shareMemory = 1500 * time.Millisecond
	// forgottenShare is the part of a request's usual work below which an organisation is
	// forgotten.
	forgottenShare = 0.05
	// maxTrackedOrganisations bounds the organisations whose work is remembered. Beyond it
	// the one with the least work is forgotten, which is treated like one without work.
	maxTrackedOrganisations = 256
	// shareTolerance times what the others use by weight is what an organisation may use
	// before its requests wait behind theirs: an upstream sees few requests of each.
	shareTolerance = 1.3
	// farAboveShare is the excess from which an organisation leaves a slot to the others.
	// Otherwise theirs would often arrive while all slots are taken for longer than they can
	// wait.
	farAboveShare = 2
)

// fairShare records the recent work of each organisation at an upstream, as the total
// processing time of the requests that were started. Shares are within a priority. Its zero
// value has no records and never prefers a request.
type fairShare struct {
	recent    map[shareKey]*recentWork
	updatedAt time.Time
	// totals has the sums over all organisations of each priority in recent.
	totals map[int]recentWork
}

// shareKey is an organisation and a priority of its requests.
type shareKey struct {
	organisation string
	priority     int
}

func (w *waiter) shareKey() shareKey { return shareKey{w.organisation, w.priority} }

// recentWork is the work of one organisation.
type recentWork struct{ seconds, weight float64 }

// record counts a started request. Requests without an organisation don't count.
func (f *fairShare) record(now time.Time, w *waiter, seconds float64) {
	if w.organisation == "" {
		return
	}
	f.decay(now, seconds)
	key := w.shareKey()
	work, known := f.recent[key]
	if !known {
		f.makeRoom()
		work = &recentWork{}
		f.recent[key] = work
	}
	f.add(key.priority, seconds, w.weight-work.weight)
	work.weight = w.weight
	work.seconds += seconds
}

// add adds to the sums of a priority.
func (f *fairShare) add(priority int, seconds, weight float64) {
	total := f.totals[priority]
	f.totals[priority] = recentWork{seconds: max(0, total.seconds+seconds), weight: max(0, total.weight+weight)}
}

// decay reduces the work that was recorded before, and forgets organisations with little
// of it.
func (f *fairShare) decay(now time.Time, usualSeconds float64) {
	elapsed := now.Sub(f.updatedAt)
	if elapsed <= 0 {
		return
	}
	f.updatedAt = now
	remaining := math.Exp(-elapsed.Seconds() / shareMemory.Seconds())
	for priority, total := range f.totals {
		f.add(priority, (remaining-1)*total.seconds, 0)
	}
	for key, work := range f.recent {
		work.seconds *= remaining
		if work.seconds < forgottenShare*usualSeconds {
			f.forget(key)
		}
	}
}

// makeRoom forgets the organisation with the least work when there are too many.
func (f *fairShare) makeRoom() {
	if f.recent == nil {
		f.recent, f.totals = map[shareKey]*recentWork{}, map[int]recentWork{}
	}
	if len(f.recent) < maxTrackedOrganisations {
		return
	}
	var least shareKey
	leastSeconds := math.Inf(1)
	for key, work := range f.recent {
		if work.seconds < leastSeconds {
			least, leastSeconds = key, work.seconds
		}
	}
	f.forget(least)
}

func (f *fairShare) forget(key shareKey) {
	work := f.recent[key]
	delete(f.recent, key)
	f.add(key.priority, -work.seconds, -work.weight)
	if f.totals[key.priority].weight <= roundingTolerance*work.weight {
		delete(f.totals, key.priority)
	}
}

// excess returns how far an organisation is above its weighted share of the recent work, as
// the others of the priority use theirs: 0 up to shareTolerance times as much by weight as they, and one more
// for each further doubling. Steps keep the order by latest start among organisations that
// use about as much as each other.
func (f *fairShare) excess(key shareKey) int {
	work, others := f.compare(key)
	if work.seconds <= 0 || others.seconds <= 0 || others.weight <= 0 {
		return 0
	}
	ratio := work.seconds / work.weight * others.weight / others.seconds
	if ratio <= shareTolerance {
		return 0
	}
	return 1 + int(math.Log2(ratio/shareTolerance))
}

// compare returns the recent work of an organisation and that of all others of the priority
// together.
func (f *fairShare) compare(key shareKey) (work, others recentWork) {
	known := f.recent[key]
	if known == nil {
		return recentWork{}, recentWork{}
	}
	total := f.totals[key.priority]
	if others := total.weight - known.weight; others > roundingTolerance*total.weight {
		return *known, recentWork{seconds: total.seconds - known.seconds, weight: others}
	}
	return *known, recentWork{}
}

// reservedSlots returns how many of the slots an organisation leaves free for the others: one,
// if it is far above its share and the others have recently used as much.
func (f *fairShare) reservedSlots(w *waiter, slots int) int {
	if w.excess < farAboveShare || slots < 2 {
		return 0
	}
	if work, others := f.compare(w.shareKey()); others.seconds*float64(slots) < work.seconds+others.seconds {
		return 0
	}
	return 1
}

// newWaiter returns the queue entry of a request without its ticket and times.
func (m *Machine) newWaiter(now time.Time, req Request) waiter {
	w := waiter{
		urgency: m.urgency(now, req), priority: req.Priority, ownTime: req.Work.OwnTime,
		organisation: req.Organisation, weight: req.Weight, givesWay: req.GivesWay,
	}
	if w.weight <= 0 {
		w.weight = 1
	}
	w.excess = m.fairShare.excess(w.shareKey())
	return w
}

// recordShare counts a request that starts for its organisation.
func (m *Machine) recordShare(now time.Time, w *waiter) {
	seconds := w.ownTime.Seconds()
	if seconds == 0 {
		seconds = m.ramp.serviceTime().Seconds()
	}
	m.fairShare.record(now, w, seconds)
}

// updateExcess updates the shares of the queued requests and reports whether any changed.
func (m *Machine) updateExcess() bool {
	changed := false
	for i := range m.queue {
		w := &m.queue[i]
		if excess := m.fairShare.excess(w.shareKey()); excess != w.excess {
			w.excess, changed = excess, true
		}
	}
	return changed
}
