// Package balance chooses the upstream for each attempt at the entry node, which receives
// the requests of callers. The policy is deterministic: the caller passes in the time and
// the random source, and it does no I/O. It is not safe for concurrent use; the entry node
// calls it under its own lock.
package balance

import (
	"time"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// State is the availability of an instance as the entry node knows it from the registry,
// the configuration document and the latest load report.
type State uint8

const (
	// StateWarm means that the instance accepts requests up to its concurrency limit.
	StateWarm State = iota
	// StateCold means that the instance accepts requests up to a concurrency limit that
	// starts at 1 and grows.
	StateCold
	// StateLeaving means that the instance accepts no new requests; it is never chosen.
	StateLeaving
	// StateZoneOut means that operators took the zone of the instance out of service; it is
	// never chosen.
	StateZoneOut
	// StateEjected means that the caller of the picker ejected the instance; it is chosen
	// only when no other instance is available. The picker's own ejections do not use this
	// state.
	StateEjected
	// StateVersionOut means that the attempt is not for the software version of the instance;
	// it is never chosen.
	StateVersionOut
)

// LoadReport is the load of an upstream as the node beside it reported it.
type LoadReport struct {
	InFlight int
	Queued   int
	// Limit is the current concurrency limit, 0 when there was no report.
	Limit int
	// ServiceTime is the recent mean service time of a request in the upstream.
	ServiceTime time.Duration
}

// LoadReportFromWire converts a load report; a nil report gives the zero value.
func LoadReportFromWire(report *wire.LoadReport) LoadReport {
	return LoadReport{
		InFlight:    int(report.GetInFlight()),
		Queued:      int(report.GetQueued()),
		Limit:       int(report.GetLimit()),
		ServiceTime: time.Duration(report.GetServiceTimeUs()) * time.Microsecond,
	}
}

// StateFromWire converts the state of an instance. An unspecified state is treated as cold,
// because nothing is known about the upstream.
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

// Candidate is an instance of a service with what the entry node knows about it.
type Candidate struct {
	// ID is the identity of the instance.
	ID string
	// Zone is the availability zone of the instance.
	Zone string
	// Slots is the maximum number of concurrent requests that the instance announced.
	Slots int
	// InFlight is the number of this entry node's own requests in flight to the instance.
	InFlight int
	// Report is the last load report, zero when there was none.
	Report LoadReport
	// ReportAge is the time since the report arrived.
	ReportAge time.Duration
	// RTT is the measured round trip time to the node of the instance, 0 when unknown.
	RTT time.Duration
	// State decides whether the instance may be chosen.
	State State
	// Revision is the revision of the configuration that State is based on, 0 when unknown.
	Revision uint64
}

// Result is how an attempt ended.
type Result uint8

const (
	// ResultSuccess is a complete response that does not indicate a fault of the instance.
	ResultSuccess Result = iota
	// ResultError is a failed response or a broken connection.
	ResultError
	// ResultRefused is a refusal that states that the request was not run.
	ResultRefused
	// ResultTimeout is an attempt whose deadline expired without a response.
	ResultTimeout
	// ResultCancelled is an attempt that the entry node cancelled for reasons unrelated to
	// the instance.
	ResultCancelled
)

// Outcome describes how an attempt ended.
type Outcome struct {
	Result Result
	// Reason is the reason of a refusal.
	Reason wire.RefusalReason
	// Revision is the revision of the configuration by which the attempt was refused, 0 when
	// unknown.
	Revision uint64
	// Latency is the time from sending the attempt to the end of its response.
	Latency time.Duration
}

// Picker chooses an upstream for each attempt.
type Picker interface {
	// Pick returns the candidate for the next attempt, or false when no candidate may be
	// chosen. Instances whose IDs are in tried are not chosen.
	Pick(now time.Time, service string, candidates []Candidate, tried map[string]bool) (Candidate, bool)
	// Observe records the end of an attempt. It is called once for each candidate that Pick
	// returned.
	Observe(now time.Time, instanceID string, outcome Outcome)
}
