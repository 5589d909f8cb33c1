// Package httpapi holds the headers, outcomes and JSON bodies of the HTTP
// interfaces towards callers and upstreams.
package httpapi

import "github.com/chicorylever/chicorylever/internal/protocol/wire"

const (
	// HeaderTimeout carries the time left for a request in milliseconds.
	HeaderTimeout = "Chicory-Timeout-Ms"
	// HeaderOutcome tells what is known of a request that got no complete response.
	HeaderOutcome = "Chicory-Outcome"
	// HeaderReason names why a request got no complete response.
	HeaderReason = "Chicory-Reason"
	// HeaderRetried tells callers above that the request was already retried here.
	HeaderRetried = "Chicory-Retried"
	// HeaderRequestID carries the identity of a caller's request.
	HeaderRequestID = "Chicory-Request-Id"
	// HeaderDepth counts the hops between services.
	HeaderDepth = "Chicory-Depth"
	// HeaderRecorded marks a response recorded from an earlier run of a keyed request.
	HeaderRecorded = "Chicory-Recorded"
	// RecordedWhole is the value of HeaderRecorded for a response recorded whole.
	RecordedWhole = "whole"
	// RecordedStatusOnly is its value when the body was too large to be recorded.
	RecordedStatusOnly = "status-only"
	// HeaderLoad is set by upstreams on responses: requests in progress.
	HeaderLoad = "Chicory-Load"
	// HeaderIdempotencyKey identifies resends of one request.
	HeaderIdempotencyKey = "Idempotency-Key"

	// OutcomeNotRun promises that nothing was written to an upstream.
	OutcomeNotRun = "not-run"
	// OutcomeUnknown tells that the request may or may not have run.
	OutcomeUnknown = "unknown"
	// OutcomeInProgress tells that an earlier submission of the key is running.
	OutcomeInProgress = "in-progress"

	// ReasonDepth is the reason of a request whose chain of calls exceeds MaxDepth.
	ReasonDepth = "depth"
	// ReasonNoRoute is the reason of a request that no route matches.
	ReasonNoRoute = "no-route"
	// ReasonNotReady is the reason of a request that a node without configuration got.
	ReasonNotReady = "not-ready"

	// MaxDepth is the deepest chain of calls between services that is served.
	MaxDepth = 16
)

// Announcement is the body of POST /v1/announce on a node's loopback listener.
type Announcement struct {
	// Service names the service in the document.
	Service string `json:"service"`
	// Address is host:port of the upstream's HTTP server.
	Address string `json:"address"`
	// Instance names the upstream and stays the same across restarts.
	Instance string `json:"instance"`
	// StartID changes at every start of the upstream.
	StartID string `json:"start_id"`
	// Slots is the number of requests that the upstream works on at once.
	Slots int `json:"slots"`
	// Connections is the number of connections that the upstream accepts.
	Connections int `json:"connections"`
	// StartedMs is the time of the start in milliseconds since 1970, 0 when it is not
	// known. Announcements of an earlier start are late and have no effect.
	StartedMs int64 `json:"started_ms,omitempty"`
	// Sequence grows with each announcement of a start, 0 when it is not known. One
	// that does not exceed the last one is late and has no effect.
	Sequence uint64 `json:"sequence,omitempty"`
	// ColdMs is how much longer the upstream stays cold, in milliseconds.
	ColdMs int64 `json:"cold_ms,omitempty"`
	// Leaving is set when the upstream takes no new work. It stays so until its next
	// start.
	Leaving bool `json:"leaving,omitempty"`
}

// Load is the body of POST /v1/load: the upstream's own view of its load.
type Load struct {
	StartID  string `json:"start_id"`
	InFlight int    `json:"in_flight"`
}

// Leave is the body of POST /v1/leave: the upstream begins to leave.
type Leave struct {
	StartID string `json:"start_id"`
}

// ErrorBody is the JSON body of every error that the system itself returns.
type ErrorBody struct {
	Error   string `json:"error"`
	Outcome string `json:"outcome,omitempty"`
	Reason  string `json:"reason,omitempty"`
}

var reasonNames = map[wire.RefusalReason]string{
	wire.RefusalReason_REFUSAL_QUEUE_FULL:        "queue-full",
	wire.RefusalReason_REFUSAL_DEADLINE:          "deadline",
	wire.RefusalReason_REFUSAL_LEAVING:           "leaving",
	wire.RefusalReason_REFUSAL_ZONE_OUT:          "zone-out",
	wire.RefusalReason_REFUSAL_COLD:              "cold-start",
	wire.RefusalReason_REFUSAL_WRONG_INSTANCE:    "wrong-instance",
	wire.RefusalReason_REFUSAL_NO_UPSTREAM:       "no-upstream",
	wire.RefusalReason_REFUSAL_CLAIM_UNAVAILABLE: "claim-unavailable",
	wire.RefusalReason_REFUSAL_CLAIM_IN_PROGRESS: "in-progress",
	wire.RefusalReason_REFUSAL_CLAIM_UNKNOWN:     "outcome-unknown",
	wire.RefusalReason_REFUSAL_KEY_MISMATCH:      "key-mismatch",
	wire.RefusalReason_REFUSAL_STOPPING:          "stopping",
	wire.RefusalReason_REFUSAL_CONNECT:           "connect",
}

// ReasonName returns the stable name of a refusal reason for headers, logs and metrics.
func ReasonName(reason wire.RefusalReason) string {
	if name, ok := reasonNames[reason]; ok {
		return name
	}
	return "unspecified"
}
