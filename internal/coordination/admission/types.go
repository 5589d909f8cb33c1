// Package admission enforces the exact limit of an upstream at the node beside
// it: a concurrency limit, a short queue that knows deadlines, cold start and the
// measurement budget. Machine is pure and takes the time as an argument; Gate adds
// blocking and locking.
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
	// Deadline after which the work is useless; zero means none. Gate fills it from
	// the context when it is zero.
	Deadline time.Time
	// Objective is when a response stops being good; zero means none.
	Objective time.Time
	// Urgency and Rank order the requests that wait; rank 0 goes first.
	Urgency overload.Urgency
	Rank    int
	// Work is how long the request takes; its own part is 0 when unknown.
	Work Work
	// Attempt is 1 for the first attempt of a request. Later attempts wait longer,
	// since other instances have already refused.
	Attempt int
}

// Result is how an admitted attempt ended at the upstream.
type Result uint8

const (
	// ResultSuccess is a complete response that does not blame the upstream.
	ResultSuccess Result = iota
	// ResultError is a failed response or a broken connection after dispatch.
	ResultError
	// ResultOverloaded is a response by which the upstream sheds load.
	ResultOverloaded
	// ResultConnectRefused is a refused connection; nothing was written.
	ResultConnectRefused
	// ResultTimeout is an attempt whose deadline passed after dispatch.
	ResultTimeout
	// ResultCancelled is an attempt that was not dispatched or that the caller gave up.
	ResultCancelled
)

// Outcome ends an admitted attempt.
type Outcome struct {
	Result Result
	// ServiceTime from dispatch to the end of the response. When it is 0, Gate uses
	// the time since the permit was granted.
	ServiceTime time.Duration
}

// Limiter is the admission control of one upstream.
type Limiter interface {
	// Acquire returns a permit, or a *Refusal when nothing may be sent.
	Acquire(ctx context.Context, req Request) (Permit, error)
	// Report returns the current load.
	Report() *wire.LoadReport
}

// Permit allows one request to be sent to the upstream.
type Permit interface {
	// Release ends the request. Calls after the first have no effect.
	Release(outcome Outcome)
}

// Refusal is the error of a request that was not run.
type Refusal struct {
	Reason wire.RefusalReason
	Load   *wire.LoadReport
}

// Error names the reason.
func (r *Refusal) Error() string {
	return "admission: refused: " + httpapi.ReasonName(r.Reason)
}
