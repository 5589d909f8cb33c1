package node

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/admission"
	"github.com/chicorylever/chicorylever/internal/node/egress"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// resetWindow is the time after dispatch in which a reset means that the upstream is full. One
// that is running a request and stops resets it later.
const resetWindow = 100 * time.Millisecond

// refuseDeclined refuses an attempt after the upstream has responded that it did not run
// the attempt.
func (r *receivedAttempt) refuseDeclined(response *egress.Response) admission.Outcome {
	r.settleClaim(nil)
	r.node.upstream.setLoadFromHeader(response.Header.Get(r.node.dialect.Load))
	outcome := admission.Outcome{Result: admission.ResultOverloaded}
	reason := wire.RefusalReason_REFUSAL_QUEUE_FULL
	if response.StatusCode == http.StatusMisdirectedRequest {
		outcome.Result = admission.ResultCancelled
		reason = wire.RefusalReason_REFUSAL_WRONG_INSTANCE
	} else {
		r.node.upstream.observeSignals(r.pool, r.dispatchedAt, response.Header)
	}
	r.recordUpstreamOutcome(outcome.Result)
	if response.IsSendDone() {
		// The connection is kept for the next request, which the permit may allow at once.
		response.Discard()
		response.Close()
	}
	r.permit.Release(outcome)
	r.declined = true
	r.refuse(reason, "declined by the upstream")
	return outcome
}

// fail ends an attempt that got no response head, or one that is not forwarded.
func (r *receivedAttempt) fail(ctx context.Context, err error) admission.Outcome {
	r.settleClaim(nil)
	if errors.Is(err, egress.ErrUnreachable) && ctx.Err() == nil {
		r.node.upstream.markUnreachable(r.pool)
	}
	outcome := admission.Outcome{Result: r.failureResult(ctx, err)}
	if r.isDispatched() {
		outcome.ServiceTime = time.Since(r.dispatchedAt)
	}
	reason := wire.RefusalReason_REFUSAL_CONNECT
	if refusal := wire.RefusalReason(r.versionRefusal.Load()); refusal != wire.RefusalReason_REFUSAL_UNSPECIFIED {
		reason = refusal
	} else if errors.Is(ctx.Err(), context.DeadlineExceeded) || !time.Now().Before(r.deadline) {
		reason = wire.RefusalReason_REFUSAL_DEADLINE
	}
	r.recordUpstreamOutcome(outcome.Result)
	r.recordBrokenResponse(outcome.Result)
	r.reportBrokenResponse(outcome.Result, err)
	r.permit.Release(outcome)
	r.refuse(reason, "")
	return outcome
}

// recordUpstreamOutcome records for quotes whether the upstream itself failed the attempt. A
// cancelled attempt tells nothing, nor does one that failed with a nested call.
func (r *receivedAttempt) recordUpstreamOutcome(result admission.Result) {
	if result != admission.ResultCancelled {
		r.node.upstream.observeNestedRoom(r.head.GetRoute(), r.requestID())
	}
	switch {
	case result == admission.ResultCancelled:
	case result == admission.ResultSuccess:
		r.node.upstream.recordOutcome(false)
	case !r.node.upstream.requestTracker.NestedFailed(r.upstreamRequestID()):
		r.node.upstream.recordOutcome(true)
	}
}

func (r *receivedAttempt) failureResult(ctx context.Context, err error) admission.Result {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return admission.ResultCancelled
	case errors.Is(err, egress.ErrUnreachable) && ctx.Err() == nil:
		return admission.ResultConnectRefused
	case !r.isDispatched():
		return admission.ResultCancelled
	case ctx.Err() != nil:
		return admission.ResultTimeout
	case r.isResetByFullUpstream(err):
		r.node.metrics.upstreamResets.Inc()
		_ = r.node.upstream.signalLogger.Log("msg", "upstream resets requests and gets fewer for some seconds", "instance", r.head.GetInstance())
		return admission.ResultReset
	default:
		return admission.ResultError
	}
}

// isResetByFullUpstream reports whether the upstream has reset the attempt because it is full.
func (r *receivedAttempt) isResetByFullUpstream(err error) bool {
	return errors.Is(err, egress.ErrReset) && time.Since(r.dispatchedAt) < resetWindow && !r.node.upstream.reportsRoom()
}

// sendLast sends the last message of the attempt. The head of the next attempt may arrive
// as soon as the entry node has received it.
func (r *receivedAttempt) sendLast(message *wire.Envelope) {
	nothingReceived := r.watch != nil && r.watch.end()
	err := sendAndFlush(r.stream, message)
	r.endedCleanly = nothingReceived && err == nil
}

// refuse ends the attempt without a response. It states that the attempt was not run if
// the attempt was not dispatched or the upstream declined it.
func (r *receivedAttempt) refuse(reason wire.RefusalReason, detail string) {
	r.node.metrics.countRefusal(reason)
	load := r.node.upstream.loadReport()
	r.logRefusal(reason, load)
	r.sendLast(refused(&wire.Refused{
		Reason:   reason,
		NotRun:   !r.isDispatched() || r.declined,
		Declined: r.declined,
		Load:     load,
		Revision: r.node.directory.View().Revision,
		Detail:   detail,
	}))
}
