package node

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/overload"
	"github.com/chicorylever/chicorylever/internal/coordination/retry"
	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

const (
	// subscribeTimeout bounds the wait for the first list of instances of a service.
	subscribeTimeout = 2 * time.Second
)

// handleCall serves a caller's request.
func (n *Node) handleCall(w http.ResponseWriter, r *http.Request) {
	arrivedAt := time.Now()
	view := n.awaitConfiguration(r)
	c, view, err := n.newAuthenticatedCall(view, r, arrivedAt)
	var refused *keyError
	if errors.As(err, &refused) {
		n.refuseKey(w, r, refused, view, arrivedAt)
		return
	}
	if err != nil {
		n.logRejectedRequest(r, err, view, arrivedAt)
		if errors.Is(err, errNoService) {
			n.writeRetryAfter(w, n.retryAfterWithoutConfiguration(r))
		}
		rejectCall(w, err)
		return
	}
	defer c.hold.Release()
	if !n.entryQuotas.admit(w, c) {
		return
	}
	if c.urgency == overload.Nested {
		n.upstream.requestTracker.CallBegan(c.parentRequestID, c.started)
		defer func() { n.upstream.requestTracker.CallEnded(c.parentRequestID, time.Now()) }()
	}
	n.metrics.beginCall(c)
	result := callFailed
	defer func() {
		n.entryQuotas.finish(c, result)
		n.metrics.endCall(c, result)
		n.logCallEnd(c, result)
	}()
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	defer func() {
		if c.clearWriteDeadline != nil {
			c.clearWriteDeadline()
		}
	}()
	if err := c.bufferBody(w); err != nil {
		n.rejectBody(w, r, err)
		return
	}
	n.awaitFirstInstances(ctx, c.service)
	c.view = n.awaitInstances(ctx, c)
	if err := c.checkKeyAgain(); errors.As(err, &refused) {
		result = callRefused
		n.refuseKey(w, r, refused, c.view, arrivedAt)
		return
	}
	result = n.serveCall(ctx, w, c)
}

// serveCall makes attempts until one gets a response or no further attempt is allowed.
func (n *Node) serveCall(ctx context.Context, w http.ResponseWriter, c *call) callResult {
	n.balancer.recordFirstAttempt(c.service, c.limits)
	var tried map[string]bool
	// fallback is an error response of an upstream. It is forwarded when no other
	// instance gives a better one.
	var fallback attemptResult
	failure := attemptResult{reason: wire.RefusalReason_REFUSAL_NO_UPSTREAM}
	for attemptNumber := 1; ; attemptNumber++ {
		instance, ok := n.selectInstance(ctx, c, attemptNumber, tried)
		if !ok && failure.isConnectionLost() {
			// All instances were tried. The last one, whose connection failed or stopped
			// responding, may respond on a new connection. Only repeatable requests get
			// here.
			tried = nil
			instance, ok = n.selectInstance(ctx, c, attemptNumber, tried)
		}
		if !ok {
			break
		}
		if attemptNumber > 1 {
			c.retries++
			n.metrics.retries.Inc()
		}
		result := n.makeAttempt(ctx, c, instance, attemptNumber)
		c.countAttempt(&result)
		n.observeVersion(c, instance, &result)
		if result.outcome == outcomeAnswered && !isRetryableStatus(c, result) {
			fallback.discard()
			if n.forwardToCaller(w, c, &result) {
				return callAnswered
			}
		}
		failure = failure.combinedWith(result)
		willRetry := n.takeRetry(ctx, c, result, attemptNumber)
		n.logFailedAttempt(c, attemptNumber, instance, &result, willRetry)
		if !willRetry {
			break
		}
		if result.outcome == outcomeAnswered {
			fallback.discard()
			fallback = result
		}
		if tried == nil {
			tried = map[string]bool{}
		}
		tried[instance.GetId()] = true
	}
	return n.finishFailedCall(ctx, w, c, fallback, failure)
}

func (n *Node) makeAttempt(ctx context.Context, c *call, instance *wire.Instance, attemptNumber int) attemptResult {
	if attemptNumber == 1 && c.isHedgeable() {
		if delay := n.balancer.hedgeDelay(c.service, c.limits, c.firstQuote); delay > 0 {
			return n.hedgedAttempt(ctx, c, instance, delay)
		}
	}
	return n.tryInstance(ctx, c, instance, attemptNumber)
}

// finishFailedCall responds to a call after its last attempt: with the fallback response
// if there is one, otherwise with an error.
func (n *Node) finishFailedCall(ctx context.Context, w http.ResponseWriter, c *call, fallback, failure attemptResult) callResult {
	if failure.outcome == outcomeAnswered && failure.attempt != fallback.attempt {
		fallback.discard()
		fallback = failure
	}
	if fallback.outcome == outcomeAnswered && n.forwardToCaller(w, c, &fallback) {
		return callAnswered
	}
	if fallback.outcome == outcomeAnswered {
		failure = fallback
	}
	return n.writeFailure(ctx, w, c, failure)
}

// isRetryableStatus reports whether the status means that the upstream could not process
// the request, so that a repeatable request may be retried at another instance. It
// returns false when the response shows that a hop below has already retried.
func isRetryableStatus(c *call, result attemptResult) bool {
	if !c.isRepeatable() || c.uploadStarted {
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

// takeRetry reports whether another attempt may follow, and takes it from the retry
// budget.
func (n *Node) takeRetry(ctx context.Context, c *call, result attemptResult, attemptNumber int) bool {
	switch result.reason {
	case wire.RefusalReason_REFUSAL_CLAIM_UNAVAILABLE,
		wire.RefusalReason_REFUSAL_CLAIM_IN_PROGRESS,
		wire.RefusalReason_REFUSAL_CLAIM_UNKNOWN,
		wire.RefusalReason_REFUSAL_KEY_MISMATCH:
		// Another node would get the same result for the claim.
		return false
	}
	if ctx.Err() != nil {
		return false
	}
	verdict := n.balancer.decideRetry(c.service, c.limits, c.describeFailure(&result, attemptNumber))
	c.suppressCallerRetries = verdict != retry.VerdictRetry && verdict.StopsCallerRetries(attemptNumber)
	return verdict == retry.VerdictRetry
}

// countAttempt counts an attempt that was sent to an upstream, or refused by its node.
func (c *call) countAttempt(result *attemptResult) {
	if result.isRefusedByNode() {
		c.refusedAttempts++
	} else {
		c.sentAttempts++
	}
}

// describeFailure describes a failed attempt, which has been counted, for the retry decision.
// On a route only the attempts that reached an upstream count as attempts.
func (c *call) describeFailure(result *attemptResult, attemptNumber int) retry.Failure {
	failure := retry.Failure{
		NotRun:     result.outcome == outcomeNotRun,
		Repeatable: c.isRepeatable(),
		Resendable: !c.uploadStarted,
		Attempts:   attemptNumber,
		Remaining:  time.Until(c.deadline),
	}
	if c.route == nil {
		return failure
	}
	failure.Refused = result.isRefusedByNode()
	failure.Attempts, failure.MaxAttempts, failure.Refusals = c.sentAttempts, c.route.MaxAttempts, c.refusedAttempts
	if c.hedged.Load() {
		failure.Attempts++
	}
	return failure
}
