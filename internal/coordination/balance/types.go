// Package balance chooses the upstream of each attempt at the entry. The policy
// is pure: time and the random source are passed in, and it does no I/O. It is
// not safe for concurrent use; the entry calls it under its own lock.
package balance

import (
	"time"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// State is what the entry knows about an instance from the registry, the
// document and the latest load report.
type State uint8

const (
	// StateWarm takes work up to its limit.
	StateWarm State = iota
	// StateCold takes work up to a limit that starts at 1 and grows.
	StateCold
	// StateLeaving takes no new work and is never chosen.
	StateLeaving
	// StateZoneOut is in a zone that operators took out and is never chosen.
	StateZoneOut
	// StateEjected is kept out by the caller; it is chosen only as a last resort.
	// The picker's own ejections need no state from the caller.
	StateEjected
)

// LoadReport is the load of an upstream as its node reported it.
type LoadReport struct {
	InFlight int
	Queued   int
	// Limit is the concurrency limit in force, 0 when there was no report.
	Limit int
	// ServiceTime is the recent mean time of a request in the upstream.
	ServiceTime time.Duration
}

// FromWire converts a report; a nil report gives the zero value.
func FromWire(report *wire.LoadReport) LoadReport {
	return LoadReport{
		InFlight:    int(report.GetInFlight()),
		Queued:      int(report.GetQueued()),
		Limit:       int(report.GetLimit()),
		ServiceTime: time.Duration(report.GetServiceTimeUs()) * time.Microsecond,
	}
}

// StateFromWire converts the state of an instance; an unspecified state is cold,
// because nothing is known of the upstream.
func StateFromWire(state wire.InstanceState) State {
	switch state {
	case wire.InstanceState_INSTANCE_WARM:
		return StateWarm
	case wire.InstanceState_INSTANCE_LEAVING:
		return StateLeaving
	default:
		return StateCold
	}
}

// Candidate is an instance of a service as the entry sees it.
type Candidate struct {
	// ID is the identity of the instance.
	ID string
	// Zone is the availability zone of the instance.
	Zone string
	// Slots is the announced number of concurrent requests.
	Slots int
	// InFlight counts this entry's own requests in flight to the instance.
	InFlight int
	// Report is the last load report, zero when there was none.
	Report LoadReport
	// ReportAge is the time since the report arrived.
	ReportAge time.Duration
	// RTT is the measured round trip to the node of the instance, 0 when unknown.
	RTT time.Duration
	// State decides whether the instance may be chosen.
	State State
	// Revision is that of the configuration from which State follows, 0 when unknown.
	Revision uint64
}

// Result is how an attempt ended.
type Result uint8

const (
	// ResultSuccess is a complete response that does not blame the instance.
	ResultSuccess Result = iota
	// ResultError is a failed response or a broken connection.
	ResultError
	// ResultRefused is an explicit "not run".
	ResultRefused
	// ResultTimeout is an attempt whose deadline passed without a response.
	ResultTimeout
	// ResultCancelled is an attempt that the entry gave up for its own reasons; it
	// says nothing about the instance.
	ResultCancelled
)

// Outcome ends an attempt.
type Outcome struct {
	Result Result
	// Reason of a refusal.
	Reason wire.RefusalReason
	// Revision of the configuration by which it was refused, 0 when unknown.
	Revision uint64
	// Latency is the time from sending the attempt to the end of its response.
	Latency time.Duration
}

// Picker chooses an upstream for each attempt.
type Picker interface {
	// Pick returns the candidate for the next attempt, or false when none may be
	// chosen. Instances in tried are not chosen.
	Pick(now time.Time, service string, candidates []Candidate, tried map[string]bool) (Candidate, bool)
	// Observe records the end of an attempt. Each Pick is followed by one Observe.
	Observe(now time.Time, instance string, outcome Outcome)
}
