// Package admission enforces the exact concurrency limit of an upstream at its node. It
// comprises the limit, a short queue that takes request deadlines into account, the cold
// start of the upstream and the measurement budget. Machine is pure and takes the time as
// an argument; Gate adds blocking and locking.
package admission

import (
	"context"
	"time"

	"github.com/chicorylever/chicorylever/internal/coordination/overload"
	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// Request is an attempt that asks for a permit.
type Request struct {
	// Deadline is the time after which a response is useless; zero means none. When it is
	// zero, Gate takes it from the context.
	Deadline time.Time
	// Objective is the time by which the response must be complete to meet its latency
	// objective; zero means none.
	Objective time.Time
	// Urgency and Priority determine the order of queued requests; priority 0 goes first.
	Urgency  overload.Urgency
	Priority int
	// Organisation is whose request this is, empty when unknown. Within a priority,
	// requests of organisations that use less than their share of the upstream go first.
	Organisation string
	// Weight is the size of the share of the organisation relative to others; 0 counts as 1.
	Weight float64
	// GivesWay is set for a request that will probably fail, since the calls that requests
	// like it make have had no room recently. Others of its priority go first.
	GivesWay bool
	// Work is the expected service time; Work.OwnTime is 0 when unknown.
	Work Work
	// Attempt is 1 for the first attempt of a request. Later attempts may wait longer,
	// since other instances have already refused the request.
	Attempt int
}

// Result is how an admitted attempt ended at the upstream.
type Result uint8

const (
	// ResultSuccess is a complete response that indicates no fault of the upstream.
	ResultSuccess Result = iota
	// ResultError is a failed response or a connection that broke after dispatch.
	ResultError
	// ResultOverloaded is a response by which the upstream sheds load.
	ResultOverloaded
	// ResultReset is a connection that the upstream has reset shortly after dispatch and
	// before any byte of a response, as some do when they are full.
	ResultReset
	// ResultConnectRefused is a refused connection; nothing was written.
	ResultConnectRefused
	// ResultTimeout is an attempt whose deadline passed after dispatch.
	ResultTimeout
	// ResultCancelled is an attempt that was not dispatched or that the caller cancelled.
	ResultCancelled
)

// Outcome is the result and the duration of an admitted attempt.
type Outcome struct {
	Result Result
	// ServiceTime is the time from dispatch to the end of the response. When it is 0, Gate
	// uses the time since the permit was granted.
	ServiceTime time.Duration
}

// Limiter is the admission control of one upstream.
type Limiter interface {
	// Acquire returns a permit, or a *Refusal when the request must not be sent.
	Acquire(ctx context.Context, req Request) (Permit, error)
	// Report returns the current load.
	Report() *wire.LoadReport
}

// Permit allows one request to be sent to the upstream.
type Permit interface {
	// Release ends the request. Calls after the first have no effect.
	Release(outcome Outcome)
}

// Refusal is the error for a request that was refused and not sent to the upstream.
type Refusal struct {
	Reason wire.RefusalReason
	Load   *wire.LoadReport
}

// Error includes the reason.
func (r *Refusal) Error() string {
	return "admission: refused: " + httpapi.ReasonName(r.Reason)
}
