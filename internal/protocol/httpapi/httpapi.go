// Package httpapi defines the headers, outcomes and JSON bodies of the HTTP
// interfaces to callers and upstreams.
package httpapi

import "github.com/chicorylever/chicorylever/internal/protocol/wire"

const (
	// HeaderTimeout carries the remaining time of a request in milliseconds.
	HeaderTimeout = "Chicory-Timeout-Ms"
	// HeaderOutcome states what is known about the execution of a request that got no
	// complete response.
	HeaderOutcome = "Chicory-Outcome"
	// HeaderReason states why a request got no complete response.
	HeaderReason = "Chicory-Reason"
	// HeaderRetried is set on a response when this hop has retried the request or exhausted
	// its retry budget, so that earlier hops in the call chain do not retry it again.
	HeaderRetried = "Chicory-Retried"
	// HeaderRequestID carries the ID of a caller's request.
	HeaderRequestID = "Chicory-Request-Id"
	// HeaderDepth counts the hops between services.
	HeaderDepth = "Chicory-Depth"
	// HeaderRecorded marks a response that was recorded when a request with the same
	// idempotency key ran earlier.
	HeaderRecorded = "Chicory-Recorded"
	// RecordedWhole is the value of HeaderRecorded for a response recorded with its body.
	RecordedWhole = "whole"
	// RecordedStatusOnly is the value of HeaderRecorded for a response whose body was too
	// large to be recorded.
	RecordedStatusOnly = "status-only"
	// HeaderLoad carries, in a response, the number of requests in progress at the upstream.
	HeaderLoad = "Chicory-Load"
	// HeaderRateLimit carries, in a response, the requests per second that an upstream in need
	// accepts from all nodes together.
	HeaderRateLimit = "Chicory-Rate-Limit"
	// HeaderLeaving is set to LeavingValue on each response of an upstream that is leaving.
	HeaderLeaving = "Chicory-Leaving"
	// LeavingValue is the value of HeaderLeaving.
	LeavingValue = "1"
	// HeaderAPIKey carries the key of an organisation in a caller's request.
	HeaderAPIKey = "Chicory-Api-Key" //nolint:gosec // the name of a header
	// HeaderOrganisation carries, in a request to an upstream, the name of the organisation
	// whose key the caller sent.
	HeaderOrganisation = "Chicory-Organisation"
	// HeaderIdempotencyKey carries the key that all submissions of one request share.
	HeaderIdempotencyKey = "Idempotency-Key"

	// OutcomeNotRun guarantees that nothing was written to an upstream.
	OutcomeNotRun = "not-run"
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown = "unknown"
	// OutcomeInProgress means that an earlier submission with the same idempotency key is
	// still running.
	OutcomeInProgress = "in-progress"

	// ReasonDepth is the reason for rejecting a request whose call chain exceeds MaxDepth.
	ReasonDepth = "depth"
	// ReasonNoRoute is the reason for rejecting a request that matches no route.
	ReasonNoRoute = "no-route"
	// ReasonNotReady is the reason for rejecting a request at a node that has no
	// configuration yet.
	ReasonNotReady = "not-ready"

	// ReasonKeyMissing is the reason for refusing a request without the key that it needs.
	ReasonKeyMissing = "key-missing"
	// ReasonKeyRepeated is the reason for refusing a request with several keys.
	ReasonKeyRepeated = "key-repeated"
	// ReasonKeyUnknown is the reason for refusing a request whose key belongs to no
	// organisation.
	ReasonKeyUnknown = "key-unknown"
	// ReasonKeyRemoved is the reason for refusing a request whose key was removed after the
	// request had arrived.
	ReasonKeyRemoved = "key-removed"

	// MaxDepth is the maximum number of hops between services in a call chain.
	MaxDepth = 16
)

// Announcement is the body of POST /v1/announce on a node's loopback listener.
type Announcement struct {
	// Service is the name of the service in the configuration document.
	Service string `json:"service"`
	// Address is host:port of the upstream's HTTP server.
	Address string `json:"address"`
	// Instance identifies the upstream and stays the same across restarts.
	Instance string `json:"instance"`
	// StartID identifies the upstream process and changes whenever it starts.
	StartID string `json:"start_id"`
	// Slots is the number of requests that the upstream processes concurrently.
	Slots int `json:"slots"`
	// Connections is the maximum number of connections that the upstream accepts.
	Connections int `json:"connections"`
	// Version is the version of the upstream's software, empty if it is unknown. It stays the
	// same until the upstream starts again: an announcement that omits it keeps the one that
	// was announced.
	Version string `json:"version,omitempty"`
	// StartedMs is the start time of the upstream in milliseconds since 1970, 0 if it is
	// unknown. Announcements of an earlier start are stale and ignored.
	StartedMs int64 `json:"started_ms,omitempty"`
	// Sequence increases with each announcement for the same StartID, 0 if it is unknown.
	// An announcement whose Sequence does not exceed the last one is stale and ignored.
	Sequence uint64 `json:"sequence,omitempty"`
	// ColdMs is the remaining time of the upstream's cold start in milliseconds.
	ColdMs int64 `json:"cold_ms,omitempty"`
	// Leaving is set when the upstream accepts no new requests. It remains in effect until
	// the upstream starts again, even if a later announcement omits it.
	Leaving bool `json:"leaving,omitempty"`
	// Provisional is set when the node has made the announcement itself, from a health
	// response. Its StartID is not that of the upstream.
	Provisional bool `json:"-"`
}

// Load is the body of POST /v1/load, with which the upstream reports its own load.
type Load struct {
	StartID  string `json:"start_id"`
	InFlight int    `json:"in_flight"`
}

// Leave is the body of POST /v1/leave, after which the upstream gets no new requests.
type Leave struct {
	StartID string `json:"start_id"`
}

// ErrorBody is the JSON body of every error response that the system itself generates.
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
	wire.RefusalReason_REFUSAL_RATE_LIMITED:      "rate-limited",
	wire.RefusalReason_REFUSAL_VERSION:           "version",
	wire.RefusalReason_REFUSAL_QUOTA:             "quota",
	wire.RefusalReason_REFUSAL_MEMORY:            "memory",
}

// ReasonName returns the stable name of a refusal reason for headers, logs and metrics.
func ReasonName(reason wire.RefusalReason) string {
	if name, ok := reasonNames[reason]; ok {
		return name
	}
	return "unspecified"
}
