package httpapi

import (
	"net/http"
	"strconv"
)

// Dialect holds the names of the headers that callers, nodes and upstreams exchange, for
// deployments whose callers and upstreams use other names than the defaults. A header
// whose name is empty is neither sent nor read.
type Dialect struct {
	// RequestID carries the ID of a caller's request. An upstream echoes it in its response.
	RequestID string
	// OpaqueRequestID is set when the request ID is forwarded as the caller sent it;
	// otherwise any value that is not a UUID is replaced by one.
	OpaqueRequestID bool
	// EchoesRequestID is set when upstreams echo the request ID, so that a response with
	// no ID or a different one does not belong to the request.
	EchoesRequestID bool
	// Timeout carries the remaining time of a request in milliseconds.
	Timeout string
	// Depth counts the hops between services.
	Depth string
	// Instance carries the instance that a request is addressed to. Any other instance
	// responds with 421 and does not run the request.
	Instance string
	// InstanceID carries, in a response, the instance of the upstream that sent it.
	InstanceID string
	// APIKey carries the key of an organisation in a caller's request. It is never sent on.
	APIKey string
	// Organisation carries, in a request to an upstream, the name of the organisation whose
	// key the caller sent.
	Organisation string
	// CallerService carries, in a request to an upstream, the service of the VM on which
	// the request originated.
	CallerService string
	// Load carries, in a response, the load of the upstream; ParseLoad parses its value.
	Load      string
	ParseLoad func(value string) (UpstreamLoad, bool)
	// NotRun is set by an upstream on a response to guarantee that it did not run the
	// request.
	NotRun string
	// OriginMarker is set by an upstream on each response that it generated itself. A
	// successful response without it is not forwarded.
	OriginMarker string
	// ColdMs carries, in a health check response, the remaining time of the upstream's
	// cold start in milliseconds.
	ColdMs string
	// RateLimit carries, in a response of an upstream in need, the requests per second that the
	// upstream accepts from all nodes together, as a decimal number. A response without it ends
	// the need.
	RateLimit string
	// Leaving is set by an upstream on each response once it is leaving; its value is
	// LeavingValue.
	Leaving string
	// FractionalRetryAfter is set when callers accept fractions of a second in Retry-After.
	FractionalRetryAfter bool
}

// UpstreamLoad is the load that an upstream reports in a response.
type UpstreamLoad struct {
	InFlight int
	Queued   int
	Slots    int
	// SlowdownPercent is the current service time in percent of the usual one: 100 is as
	// usual, 0 unknown.
	SlowdownPercent int
}

// DefaultDialect returns the project's default header names.
func DefaultDialect() *Dialect {
	return &Dialect{
		RequestID:    HeaderRequestID,
		Timeout:      HeaderTimeout,
		Depth:        HeaderDepth,
		Load:         HeaderLoad,
		ParseLoad:    parseInFlight,
		RateLimit:    HeaderRateLimit,
		Leaving:      HeaderLeaving,
		APIKey:       HeaderAPIKey,
		Organisation: HeaderOrganisation,
	}
}

func parseInFlight(value string) (UpstreamLoad, bool) {
	inFlight, err := strconv.Atoi(value)
	return UpstreamLoad{InFlight: inFlight}, err == nil && inFlight >= 0
}

// SystemRequestHeaders returns the request headers that only the system sets or reads;
// values from a caller are not forwarded.
func (d *Dialect) SystemRequestHeaders() map[string]bool {
	return canonicalSet(d.Instance, d.CallerService, d.APIKey, d.Organisation)
}

// UpstreamOnlyHeaders returns the response headers that are only for the node beside the
// upstream.
func (d *Dialect) UpstreamOnlyHeaders() map[string]bool {
	return canonicalSet(d.Load, d.NotRun, d.InstanceID, d.ColdMs, HeaderOutcome, HeaderReason, HeaderRecorded, HeaderLoad)
}

// canonicalSet returns the canonical forms of the header names that are not empty.
func canonicalSet(names ...string) map[string]bool {
	set := map[string]bool{}
	for _, name := range names {
		if name != "" {
			set[http.CanonicalHeaderKey(name)] = true
		}
	}
	return set
}

// IsForOtherRequest reports whether a response belongs to a request other than the one
// with requestID.
func (d *Dialect) IsForOtherRequest(response http.Header, requestID string) bool {
	return d.EchoesRequestID && requestID != "" && response.Get(d.RequestID) != requestID
}

// IsNotRun reports whether the response guarantees that the upstream did not run the
// request.
func (d *Dialect) IsNotRun(status int, response http.Header) bool {
	if d.Instance != "" && status == http.StatusMisdirectedRequest {
		return true
	}
	return d.NotRun != "" && len(response[http.CanonicalHeaderKey(d.NotRun)]) > 0
}

// HasOriginMarker reports whether the upstream itself generated the response, or true if
// the dialect has no OriginMarker. A response with a content encoding was modified in
// transit, since no request asks for one.
func (d *Dialect) HasOriginMarker(response http.Header) bool {
	if d.OriginMarker == "" {
		return true
	}
	return response.Get(d.OriginMarker) != "" && response.Get("Content-Encoding") == ""
}
