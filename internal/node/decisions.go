package node

import (
	"net/http"
	"time"

	"github.com/go-kit/log/level"
	"github.com/google/uuid"

	"github.com/chicorylever/chicorylever/internal/coordination/retry"
	"github.com/chicorylever/chicorylever/internal/node/directory"
	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// The functions below log the steps of a request. Each line has the request ID of the
// caller in "request"; docs/OPERATIONS.md shows how to follow one.

// logSelection logs the instance that was chosen for an attempt and its quote.
func (n *Node) logSelection(c *call, attemptNumber int, chosen *wire.Instance, sample []quoteCandidate) {
	quoted := 0
	keyvals := []any{
		"msg", "attempt placed", "request", c.requestID, "attempt", attemptNumber, "service", c.service,
		"instance", chosen.GetId(), "zone", chosen.GetZone(), "revision", c.view.Revision,
	}
	for i := range sample {
		if sample[i].quote == nil {
			continue
		}
		quoted++
		if sample[i].instance == chosen {
			q := sample[i].quote
			keyvals = append(keyvals, "running", q.Running, "queued", q.Queued, "limit", q.Limit, "slowdown", q.Slowdown, "wait_ms", q.QueueWait.Milliseconds(), "cold", q.Cold)
		}
	}
	keyvals = append(keyvals, "asked", len(sample), "quoted", quoted)
	_ = level.Debug(n.logger).Log(keyvals...)
}

// logHedge logs a second attempt and what was known of the upstream of the first one.
func (n *Node) logHedge(h *hedge, target hedgeTarget, primary retry.Primary) {
	_ = level.Info(n.logger).Log("msg", "attempt hedged", "request", h.call.requestID, "service", h.call.service,
		"first", h.primary.GetId(), "instance", target.instance.GetId(), "waited_ms", time.Since(h.sentAt).Milliseconds(),
		"first_answered_quote", primary.Quote != nil, "first_responded", primary.Responded)
}

// logFailedAttempt logs why an attempt gave no response that was forwarded, and whether a
// retry follows.
func (n *Node) logFailedAttempt(c *call, attemptNumber int, instance *wire.Instance, result *attemptResult, willRetry bool) {
	_ = level.Info(n.logger).Log("msg", "attempt failed", "request", c.requestID, "attempt", attemptNumber, "service", c.service,
		"instance", instance.GetId(), "outcome", result.outcome.String(), "reason", httpapi.ReasonName(result.reason),
		"declined", result.declined, "status", result.head.GetStatus(), "retried", willRetry, "sent", c.sentAttempts, "refusals", c.refusedAttempts,
		"left_ms", time.Until(c.deadline).Milliseconds())
}

// logRejectedRequest logs why a request was rejected before it became a call, the
// configuration revision that was used, and how long the request waited for a
// configuration.
func (n *Node) logRejectedRequest(r *http.Request, err error, view *directory.View, arrivedAt time.Time) {
	_, requestID := parseRequestID(r, n.dialect.RequestID)
	_ = level.Info(n.logger).Log("msg", "request rejected", "request", requestID, "host", r.Host, "path", r.URL.Path, "err", err,
		"waited_ms", time.Since(arrivedAt).Milliseconds(), "revision", view.Revision)
}

// logCallEnd logs how a call ended, at debug level when it was answered in time and
// without a server error.
func (n *Node) logCallEnd(c *call, result callResult) {
	elapsed := time.Since(c.started)
	late := !c.objectiveDeadline.IsZero() && time.Now().After(c.objectiveDeadline)
	logger := level.Info(n.logger)
	if result == callAnswered && c.status < 500 && !late {
		logger = level.Debug(n.logger)
	}
	_ = logger.Log("msg", "request ended", "request", c.requestID, "route", c.routeName(), "addressed_by", c.addressing, "urgency", c.urgency, "service", c.service, "organisation", c.organisation, "result", callResultNames[result],
		"status", c.status, "late", late, "elapsed_ms", elapsed.Milliseconds(), "sent", c.sentAttempts, "refusals", c.refusedAttempts,
		"revision", c.view.Revision)
}

// logRevision logs that a revision of the configuration has come into force.
func (n *Node) logRevision(change directory.InForce) {
	_ = level.Info(n.logger).Log("msg", "configuration in force", "revision", change.Revision, "previous", change.Previous,
		"from_peer", change.FromPeer, "sections", change.Sections, "bytes", change.Bytes)
}

// logRefusal logs why the node beside an upstream refused an attempt.
func (r *receivedAttempt) logRefusal(reason wire.RefusalReason, load *wire.LoadReport) {
	_ = level.Info(r.node.logger).Log("msg", "attempt refused", "request", r.requestID(), "instance", r.head.GetInstance(),
		"reason", httpapi.ReasonName(reason), "not_run", !r.isDispatched() || r.declined, "declined", r.declined,
		"urgency", urgencyFromWire(r.head.GetUrgency()), "slowdown_percent", load.GetSlowdownPercent(),
		"running", load.GetInFlight(), "queued", load.GetQueued(), "limit", load.GetLimit(), "state", stateName(load.GetState()), "stated_rate_limit", r.node.upstream.statedRateLimit(),
		"left_ms", time.Until(r.deadline).Milliseconds(), "revision", r.node.directory.View().Revision)
}

// requestID returns the request ID that the caller sent, or the empty string.
func (r *receivedAttempt) requestID() string {
	for _, header := range r.head.GetHeaders() {
		if header.GetName() == r.node.dialect.RequestID && len(header.GetValues()) > 0 {
			return header.GetValues()[0]
		}
	}
	return ""
}

// upstreamRequestID returns the request ID that the upstream receives and extends for its
// nested calls. It differs from requestID if the caller sent none that is forwarded.
func (r *receivedAttempt) upstreamRequestID() string {
	id, err := uuid.FromBytes(r.head.GetRequestId())
	if r.node.dialect.OpaqueRequestID || err != nil {
		return r.requestID()
	}
	return id.String()
}

func (o outcome) String() string {
	switch o {
	case outcomeNotRun:
		return httpapi.OutcomeNotRun
	case outcomeAnswered:
		return "answered"
	default:
		return httpapi.OutcomeUnknown
	}
}
