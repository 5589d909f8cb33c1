package httpapi

import (
	"net/http"
	"strconv"
)

// Dialect names the headers that callers, nodes and upstreams exchange, for deployments
// whose callers and upstreams have names of their own. A header without a name is
// neither sent nor read.
type Dialect struct {
	// RequestID identifies a caller's request. An upstream repeats it in its response.
	RequestID string
	// OpaqueRequestID is set when the identity is passed on as the caller sent it;
	// otherwise anything but a UUID is replaced by one.
	OpaqueRequestID bool
	// EchoesRequestID is set when a response whose RequestID is missing or another one
	// does not belong to the request.
	EchoesRequestID bool
	// Timeout carries the time left for a request in milliseconds.
	Timeout string
	// Depth counts the hops between services.
	Depth string
	// Instance tells an upstream which instance is meant. Another one answers 421 and
	// does not run the request.
	Instance string
	// InstanceID tells in an upstream's response which instance it is.
	InstanceID string
	// CallerService tells an upstream the service of the VM on which a request began.
	CallerService string
	// Load is set by upstreams on responses; ParseLoad reads its value.
	Load      string
	ParseLoad func(value string) (UpstreamLoad, bool)
	// NotRun is set by an upstream on a response that promises that it did not run the
	// request.
	NotRun string
	// Proof is set by an upstream on each response that it made itself. Without it a
	// success is not passed on.
	Proof string
	// ColdMs tells in a health response how long the upstream stays cold, in milliseconds.
	ColdMs string
	// FractionalRetryAfter is set when callers take fractions of seconds in Retry-After.
	FractionalRetryAfter bool
}

// UpstreamLoad is what an upstream says about itself.
type UpstreamLoad struct {
	InFlight int
	Queued   int
	Slots    int
	// SlowdownPercent is how long work takes at this moment, 100 is as usual and 0 unknown.
	SlowdownPercent int
}

// DefaultDialect returns the project's own names.
func DefaultDialect() *Dialect {
	return &Dialect{
		RequestID: HeaderRequestID,
		Timeout:   HeaderTimeout,
		Depth:     HeaderDepth,
		Load:      HeaderLoad,
		ParseLoad: parseInFlight,
	}
}

func parseInFlight(value string) (UpstreamLoad, bool) {
	inFlight, err := strconv.Atoi(value)
	return UpstreamLoad{InFlight: inFlight}, err == nil && inFlight >= 0
}

// OwnHeaders returns the request headers that the system itself sets, whatever a
// caller sent.
func (d *Dialect) OwnHeaders() map[string]bool {
	return names(d.Instance, d.CallerService)
}

// UpstreamHeaders returns the response headers that are meant for the node beside the
// upstream only.
func (d *Dialect) UpstreamHeaders() map[string]bool {
	return names(d.Load, d.NotRun, d.InstanceID, d.ColdMs, HeaderOutcome, HeaderReason, HeaderRecorded, HeaderLoad)
}

func names(headers ...string) map[string]bool {
	set := map[string]bool{}
	for _, header := range headers {
		if header != "" {
			set[http.CanonicalHeaderKey(header)] = true
		}
	}
	return set
}

// IsStray reports whether a response belongs to another request than the one with the
// identity.
func (d *Dialect) IsStray(response http.Header, requestID string) bool {
	return d.EchoesRequestID && requestID != "" && response.Get(d.RequestID) != requestID
}

// IsNotRun reports whether the response promises that the upstream did not run the
// request.
func (d *Dialect) IsNotRun(status int, response http.Header) bool {
	if d.Instance != "" && status == http.StatusMisdirectedRequest {
		return true
	}
	return d.NotRun != "" && len(response[http.CanonicalHeaderKey(d.NotRun)]) > 0
}

// IsProven reports whether the upstream itself made the response. A response with a
// content encoding was changed on its way, since no request asks for one.
func (d *Dialect) IsProven(response http.Header) bool {
	if d.Proof == "" {
		return true
	}
	return response.Get(d.Proof) != "" && response.Get("Content-Encoding") == ""
}
