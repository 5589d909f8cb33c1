package node

import (
	"context"
	"math"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/memlimit"
	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// rejectCall responds to a request that is invalid or names no known service.
func rejectCall(w http.ResponseWriter, err error) {
	body := httpapi.ErrorBody{Error: err.Error(), Outcome: httpapi.OutcomeNotRun}
	switch {
	case errors.Is(err, errNoRoute):
		body.Reason = httpapi.ReasonNoRoute
		writeError(w, http.StatusNotFound, body)
	case errors.Is(err, errNoService):
		writeRefusal(w, wire.RefusalReason_REFUSAL_NO_UPSTREAM, err.Error())
	case errors.Is(err, errCallDepth):
		body.Reason = httpapi.ReasonDepth
		writeError(w, http.StatusLoopDetected, body)
	case errors.Is(err, errBodyTooLarge):
		writeError(w, http.StatusRequestEntityTooLarge, body)
	default:
		writeError(w, http.StatusBadRequest, body)
	}
}

// rejectBody responds to a request whose body could not be read.
func (n *Node) rejectBody(w http.ResponseWriter, r *http.Request, err error) {
	var noMemory *memlimit.RefusedError
	if errors.As(err, &noMemory) {
		n.refuseForMemory(w, r)
		return
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		rejectCall(w, errBodyTooLarge)
		return
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		writeError(w, http.StatusRequestTimeout, httpapi.ErrorBody{Error: "body did not arrive in time", Outcome: httpapi.OutcomeNotRun})
		return
	}
	rejectCall(w, errors.WithMessage(err, "read body"))
}

// writeFailure responds to a call that got no response from an upstream.
func (n *Node) writeFailure(ctx context.Context, w http.ResponseWriter, c *call, failure attemptResult) callResult {
	setRetriedHeader(w, c)
	if c.hasCallerLeft(ctx) {
		return callCancelled
	}
	n.recordNestedFailure(c, failure)
	body := httpapi.ErrorBody{Outcome: httpapi.OutcomeNotRun, Reason: httpapi.ReasonName(failure.reason)}
	switch failure.reason {
	case wire.RefusalReason_REFUSAL_CLAIM_IN_PROGRESS:
		body.Error, body.Outcome = "an earlier submission of the key is running", httpapi.OutcomeInProgress
		writeError(w, http.StatusConflict, body)
		return callRefused
	case wire.RefusalReason_REFUSAL_CLAIM_UNKNOWN:
		body.Error, body.Outcome = "the outcome of an earlier submission of the key is unknown", httpapi.OutcomeUnknown
		writeError(w, http.StatusConflict, body)
		return callRefused
	case wire.RefusalReason_REFUSAL_KEY_MISMATCH:
		body.Error = "the key was used for another request"
		writeError(w, http.StatusUnprocessableEntity, body)
		return callRefused
	}
	if failure.outcome == outcomeNotRun {
		body.Error = "no upstream took the request"
		n.setRetryAfter(w, c, failure)
		writeError(w, http.StatusServiceUnavailable, body)
		return callNotRun
	}
	body.Error, body.Outcome = "no complete response", httpapi.OutcomeUnknown
	writeError(w, c.statusForUnknownOutcome(ctx, failure), body)
	return callUnknown
}

// setRetryAfter tells the caller when capacity is likely to be available.
func (n *Node) setRetryAfter(w http.ResponseWriter, c *call, failure attemptResult) {
	if c.callerTimeout > 0 && !isInstanceSpecific(failure.reason) {
		n.writeRetryAfter(w, n.balancer.retryAfterOverload(c.callerTimeout-time.Since(c.started)))
		return
	}
	n.writeRetryAfter(w, n.balancer.retryAfter(failure.queueWait))
}

func (n *Node) writeRetryAfter(w http.ResponseWriter, delay time.Duration) {
	text := strconv.Itoa(int(math.Ceil(delay.Seconds())))
	if n.dialect.FractionalRetryAfter {
		text = strconv.FormatFloat(delay.Seconds(), 'f', 3, 64)
	}
	w.Header().Set("Retry-After", text)
}

// isInstanceSpecific reports whether the reason of a refusal applies to that instance
// only, so that the caller need not wait for capacity.
func isInstanceSpecific(reason wire.RefusalReason) bool {
	switch reason {
	case wire.RefusalReason_REFUSAL_LEAVING,
		wire.RefusalReason_REFUSAL_STOPPING,
		wire.RefusalReason_REFUSAL_ZONE_OUT,
		wire.RefusalReason_REFUSAL_VERSION,
		wire.RefusalReason_REFUSAL_WRONG_INSTANCE:
		return true
	default:
		return false
	}
}

// setRetriedHeader tells the hops above that this hop has retried, or would have but for
// its budget, so that they do not multiply the attempts.
func setRetriedHeader(w http.ResponseWriter, c *call) {
	if c.retries > 0 || c.suppressCallerRetries {
		w.Header().Set(httpapi.HeaderRetried, strconv.Itoa(c.retries))
	}
}

func (c *call) statusForUnknownOutcome(ctx context.Context, failure attemptResult) int {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(failure.uploadErr, &tooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(ctx.Err(), context.DeadlineExceeded) || c.isDeadlinePassed() || failure.reason == wire.RefusalReason_REFUSAL_DEADLINE:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

func writeRefusal(w http.ResponseWriter, reason wire.RefusalReason, detail string) {
	writeError(w, http.StatusServiceUnavailable, httpapi.ErrorBody{
		Error: detail, Outcome: httpapi.OutcomeNotRun, Reason: httpapi.ReasonName(reason),
	})
}
