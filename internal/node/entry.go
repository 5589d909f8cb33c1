package node

import (
	"context"
	"math"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/overload"
	"github.com/chicorylever/chicorylever/internal/coordination/retry"
	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

const (
	// subscribeWait bounds the wait for the first state of a service.
	subscribeWait = 2 * time.Second
)

// handleCall serves a caller's request.
func (n *Node) handleCall(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	current := n.awaitConfiguration(r)
	c, err := n.newCall(current, r, arrived)
	if err != nil {
		n.logRejected(r, err, current, arrived)
		if errors.Is(err, errNoService) {
			n.setReturn(w, n.returnWithoutService(r))
		}
		rejectCall(w, err)
		return
	}
	if c.urgency == overload.Nested {
		n.upstream.running.CallBegan(c.parent, c.started)
		defer func() { n.upstream.running.CallEnded(c.parent, time.Now()) }()
	}
	n.metrics.begin(c.service)
	result := callFailed
	defer func() {
		n.metrics.end(c, result)
		n.logEnded(c, result)
	}()
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	defer func() {
		if c.resetWrite != nil {
			c.resetWrite()
		}
	}()
	if err := c.hold(w); err != nil {
		rejectBody(w, err)
		return
	}
	n.waitForInstances(ctx, c.service)
	c.view = n.awaitInstances(ctx, c)
	result = n.serveCall(ctx, w, c)
}

// rejectCall answers a request that names no service or is invalid.
func rejectCall(w http.ResponseWriter, err error) {
	body := httpapi.ErrorBody{Error: err.Error(), Outcome: httpapi.OutcomeNotRun}
	switch {
	case errors.Is(err, errNoRoute):
		body.Reason = httpapi.ReasonNoRoute
		writeError(w, http.StatusNotFound, body)
	case errors.Is(err, errNoService):
		refuse(w, wire.RefusalReason_REFUSAL_NO_UPSTREAM, err.Error())
	case errors.Is(err, errDepth):
		body.Reason = httpapi.ReasonDepth
		writeError(w, http.StatusLoopDetected, body)
	case errors.Is(err, errBodyLength):
		writeError(w, http.StatusRequestEntityTooLarge, body)
	default:
		writeError(w, http.StatusBadRequest, body)
	}
}

// rejectBody answers a request whose body could not be read.
func rejectBody(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		rejectCall(w, errBodyLength)
		return
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		writeError(w, http.StatusRequestTimeout, httpapi.ErrorBody{Error: "body did not arrive in time", Outcome: httpapi.OutcomeNotRun})
		return
	}
	rejectCall(w, errors.WithMessage(err, "read body"))
}

// serveCall tries instances until one answers or no other may be tried.
func (n *Node) serveCall(ctx context.Context, w http.ResponseWriter, c *call) callResult {
	hedgeAfter := n.peers.firstAttempt(c.service, c.limits)
	var tried map[string]bool
	// fallback is an error response of an upstream that is passed on when no other
	// instance gives a better one.
	var fallback attemptResult
	failure := attemptResult{reason: wire.RefusalReason_REFUSAL_NO_UPSTREAM}
	for number := 1; ; number++ {
		instance, _, ok := n.place(ctx, c, number, tried)
		if !ok && failure.isBroken() {
			// All instances were tried. The last one, whose connection went silent or
			// broke, may answer on a new one; only repeatable requests get here.
			tried = nil
			instance, _, ok = n.place(ctx, c, number, tried)
		}
		if !ok {
			break
		}
		if number > 1 {
			c.retries++
			n.metrics.retries.Inc()
		}
		result := n.nextAttempt(ctx, c, instance, number, hedgeAfter)
		if result.outcome == outcomeAnswered && !isRetriedStatus(c, result) {
			fallback.finish()
			if n.pass(w, c, &result) {
				return callAnswered
			}
		}
		failure = failure.followedBy(result)
		retries := n.mayRetry(ctx, c, result, number)
		n.logFailedAttempt(c, number, instance, &result, retries)
		if !retries {
			break
		}
		if result.outcome == outcomeAnswered {
			fallback.finish()
			fallback = result
		}
		if tried == nil {
			tried = map[string]bool{}
		}
		tried[instance.GetId()] = true
	}
	return n.endFailed(ctx, w, c, fallback, failure)
}

func (n *Node) nextAttempt(ctx context.Context, c *call, instance *wire.Instance, number int, hedgeAfter time.Duration) attemptResult {
	if number == 1 && hedgeAfter > 0 && c.isHedgeable() {
		return n.hedgedAttempt(ctx, c, instance, hedgeAfter)
	}
	return n.attempt(ctx, c, instance, number)
}

// endFailed answers a call after its last attempt.
func (n *Node) endFailed(ctx context.Context, w http.ResponseWriter, c *call, fallback, failure attemptResult) callResult {
	if failure.outcome == outcomeAnswered {
		fallback.finish()
		fallback = failure
	}
	if fallback.outcome == outcomeAnswered && n.pass(w, c, &fallback) {
		return callAnswered
	}
	if fallback.outcome == outcomeAnswered {
		failure = fallback
	}
	return n.writeFailure(ctx, w, c, failure)
}

// isRetriedStatus reports whether the response says that the upstream could not do
// the work, so that a repeatable request may be tried elsewhere. It is not when a
// hop below has retried already.
func isRetriedStatus(c *call, result attemptResult) bool {
	if !c.isRepeatable() || c.uploading {
		return false
	}
	switch result.head.GetStatus() {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return !hasHeader(result.head.GetHeaders(), httpapi.HeaderRetried)
	default:
		return false
	}
}

func hasHeader(headers []*wire.Header, name string) bool {
	for _, header := range headers {
		if header.GetName() == name {
			return true
		}
	}
	return false
}

// mayRetry reports whether another attempt may follow and takes it from the budget.
func (n *Node) mayRetry(ctx context.Context, c *call, result attemptResult, number int) bool {
	switch result.reason {
	case wire.RefusalReason_REFUSAL_CLAIM_UNAVAILABLE,
		wire.RefusalReason_REFUSAL_CLAIM_IN_PROGRESS,
		wire.RefusalReason_REFUSAL_CLAIM_UNKNOWN,
		wire.RefusalReason_REFUSAL_KEY_MISMATCH:
		// Another node would find the same claim.
		return false
	}
	if ctx.Err() != nil {
		return false
	}
	verdict := n.peers.decideRetry(c.service, c.limits, c.failure(result, number))
	c.stopsRetries = verdict != retry.VerdictRetry && verdict.StopsRetriesAbove(number)
	return verdict == retry.VerdictRetry
}

// failure describes an attempt for the decision on another one. The attempts of a route
// are those that reached an upstream.
func (c *call) failure(result attemptResult, number int) retry.Failure {
	failure := retry.Failure{
		NotRun:     result.outcome == outcomeNotRun,
		Repeatable: c.isRepeatable(),
		Resendable: !c.uploading,
		Attempts:   number,
		Remaining:  time.Until(c.deadline),
	}
	if c.route == nil {
		return failure
	}
	if failure.NotRun && !result.declined {
		failure.Refused = true
		c.refusals++
	} else {
		c.sent++
	}
	failure.Attempts, failure.MaxAttempts, failure.Refusals = c.sent, c.route.MaxAttempts, c.refusals
	if c.hedged.Load() {
		failure.Attempts++
	}
	return failure
}

// writeFailure answers a call that got no response.
func (n *Node) writeFailure(ctx context.Context, w http.ResponseWriter, c *call, failure attemptResult) callResult {
	setRetried(w, c)
	if errors.Is(ctx.Err(), context.Canceled) {
		return callCancelled
	}
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
	writeError(w, unknownStatus(ctx, failure), body)
	return callUnknown
}

// setRetryAfter tells the caller when a place is likely to be free.
func (n *Node) setRetryAfter(w http.ResponseWriter, c *call, failure attemptResult) {
	if c.stated > 0 && !isPassing(failure.reason) {
		n.setReturn(w, n.peers.returnAfterOverload(c.stated-time.Since(c.started)))
		return
	}
	n.setReturn(w, n.peers.returnAfter(failure.wait))
}

func (n *Node) setReturn(w http.ResponseWriter, after time.Duration) {
	text := strconv.Itoa(int(math.Ceil(after.Seconds())))
	if n.dialect.FractionalRetryAfter {
		text = strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
	}
	w.Header().Set("Retry-After", text)
}

// isPassing reports whether the last attempt was refused for a reason that another
// instance does not have, so that the caller need not wait for room.
func isPassing(reason wire.RefusalReason) bool {
	switch reason {
	case wire.RefusalReason_REFUSAL_LEAVING,
		wire.RefusalReason_REFUSAL_STOPPING,
		wire.RefusalReason_REFUSAL_ZONE_OUT,
		wire.RefusalReason_REFUSAL_WRONG_INSTANCE:
		return true
	default:
		return false
	}
}

// setRetried tells callers above that this hop has retried, or would have but for its
// budget, so that they do not multiply the attempts.
func setRetried(w http.ResponseWriter, c *call) {
	if c.retries > 0 || c.stopsRetries {
		w.Header().Set(httpapi.HeaderRetried, strconv.Itoa(c.retries))
	}
}

func unknownStatus(ctx context.Context, failure attemptResult) int {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(failure.uploadErr, &tooLarge):
		return http.StatusRequestEntityTooLarge
	case ctx.Err() != nil || failure.reason == wire.RefusalReason_REFUSAL_DEADLINE:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

func refuse(w http.ResponseWriter, reason wire.RefusalReason, detail string) {
	writeError(w, http.StatusServiceUnavailable, httpapi.ErrorBody{
		Error: detail, Outcome: httpapi.OutcomeNotRun, Reason: httpapi.ReasonName(reason),
	})
}
