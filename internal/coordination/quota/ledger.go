package quota

import (
	"time"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// lastUsageTime is the time constant over which the usage of a sender is averaged, for the
// estimate that is charged once it is silent.
const lastUsageTime = 2 * time.Second

// ledger turns the totals that senders report into differences that count each request
// once, whatever is lost, repeated or reordered.
type ledger struct {
	senders map[string]*sender
	// settlesEstimates is set when senders report in the end what they used while they were
	// silent. What was charged by estimate is then taken off that report.
	settlesEstimates bool
}

type sender struct {
	start, sequence uint64
	totals          map[string]*senderTotals
	heardAt         time.Time
	// sharesSentAt is the time of the last grant to the sender that listed shares.
	sharesSentAt time.Time
	// joinedLate is set when the ledger did not see the first report of the sender. The first
	// total of each organisation is then only the base of those that follow.
	joinedLate bool
	// chargedUntil is the time until which estimates have been charged; zero while the
	// sender is not silent.
	chargedUntil time.Time
}

type senderTotals struct {
	last       use
	usage      average
	reportedAt time.Time
	// charged is the estimate charged since the last report.
	charged float64
}

func newLedger() *ledger { return &ledger{senders: map[string]*sender{}} }

// observe calls count with what a report adds to the totals of each organisation. It
// ignores a report that is repeated, or older than one that was counted.
func (l *ledger) observe(now time.Time, report *wire.QuotaReport, count func(organisation string, added use)) {
	s := l.senders[report.GetSender()]
	if s != nil && (report.GetSenderStart() < s.start || report.GetSenderStart() == s.start && report.GetSequence() <= s.sequence) {
		return
	}
	if s == nil {
		s = &sender{totals: map[string]*senderTotals{}, joinedLate: report.GetSequence() > 1}
		l.senders[report.GetSender()] = s
	}
	if s.start != report.GetSenderStart() {
		for _, totals := range s.totals {
			totals.last = use{}
		}
		s.joinedLate = report.GetSequence() > 1
	}
	s.start, s.sequence, s.heardAt, s.chargedUntil = report.GetSenderStart(), report.GetSequence(), now, time.Time{}
	for _, reported := range report.GetUses() {
		count(reported.GetOrganisation(), s.add(now, reported, l.settlesEstimates))
	}
}

func (s *sender) add(now time.Time, reported *wire.QuotaUse, settlesEstimates bool) use {
	current := useFromWire(reported)
	totals := s.totals[reported.GetOrganisation()]
	if totals == nil {
		totals = &senderTotals{}
		if s.joinedLate {
			totals.last = current
		}
		s.totals[reported.GetOrganisation()] = totals
	}
	if current.below(totals.last) {
		totals.last = use{}
	}
	added := current.minus(totals.last)
	totals.last, totals.reportedAt = current, now
	totals.usage.add(now, float64(added.admitted)-float64(added.returned), lastUsageTime)
	if settlesEstimates {
		added.admitted -= min(added.admitted, uint64(totals.charged))
	}
	totals.charged = 0
	return added
}

// charge calls count with the estimated usage of silent senders since the last call. It
// forgets senders that have been silent for silenceCharge or are counted elsewhere.
func (l *ledger) charge(now time.Time, isElsewhere func(sender string) bool, count func(organisation string, admitted float64)) {
	for name, s := range l.senders {
		silence := now.Sub(s.heardAt)
		if silence < silenceTimeout {
			continue
		}
		if silence >= silenceCharge || isElsewhere(name) {
			delete(l.senders, name)
			continue
		}
		from := s.chargedUntil
		if from.IsZero() {
			from = s.heardAt
		}
		s.chargedUntil = now
		for organisation, totals := range s.totals {
			// The average stays at its value of the last report.
			usage := totals.usage.at(s.heardAt, lastUsageTime)
			estimate := max(0, usage*now.Sub(from).Seconds())
			totals.charged += estimate
			count(organisation, estimate)
		}
	}
}

// sweep removes organisations that a sender has not reported for idleRetention.
func (l *ledger) sweep(now time.Time) {
	for _, s := range l.senders {
		for organisation, totals := range s.totals {
			if now.Sub(totals.reportedAt) >= idleRetention {
				delete(s.totals, organisation)
			}
		}
	}
}

// remove forgets a sender that stopped: it sends no more requests.
func (l *ledger) remove(name string) { delete(l.senders, name) }
