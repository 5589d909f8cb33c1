// Package document implements the replicated configuration document that operators edit:
// its sections, their owners, edits and validation.
package document

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ErrInvalid is the cause of every validation error.
var ErrInvalid = errors.New("invalid document")

// FieldError reports the field that makes a document invalid.
type FieldError struct {
	// Path is the path of the field, for example services/drafts/timeout_ms.
	Path string
	// Problem says what is wrong with the field.
	Problem string
}

// Error returns the path and the problem.
func (e *FieldError) Error() string { return e.Path + ": " + e.Problem }

// Unwrap returns ErrInvalid.
func (e *FieldError) Unwrap() error { return ErrInvalid }

// Document is the configuration of the whole system.
type Document struct {
	Teams    map[string]Team    `json:"teams"`
	Zones    map[string]Zone    `json:"zones"`
	Services map[string]Service `json:"services"`
	Routes   map[string]Route   `json:"routes,omitempty"`
	// Organisations are the sets of callers that hold keys. If there are any, requests of
	// routes that are not public need a key.
	Organisations map[string]Organisation `json:"organisations,omitempty"`
	// Rollouts holds the latest rollout of each service by the name of the service.
	Rollouts map[string]Rollout `json:"rollouts,omitempty"`
	Limits   Limits             `json:"limits"`
}

// Team is a team of operators. It may edit the sections that it owns.
type Team struct {
	// TokenSHA256 holds the SHA-256 digests of the team's tokens in hexadecimal. An edit
	// that omits it keeps the digests; an empty list removes them.
	TokenSHA256 []string `json:"token_sha256"`
	// Admin allows the team to edit the teams and limits sections and to create and remove
	// sections.
	Admin bool `json:"admin,omitempty"`
}

// ZoneState tells whether an availability zone takes new requests.
type ZoneState string

const (
	// ZoneIn means that the zone takes new requests.
	ZoneIn ZoneState = "in"
	// ZoneOut means that the zone takes no new requests.
	ZoneOut ZoneState = "out"
)

// Zone is an availability zone.
type Zone struct {
	Owner string    `json:"owner"`
	State ZoneState `json:"state"`
}

// Service is a set of upstreams and the rules for requests to them.
type Service struct {
	Owner string `json:"owner"`
	// Hosts are the Host header values that select the service.
	Hosts []string `json:"hosts,omitempty"`
	// TimeoutMs is the default timeout in milliseconds of a request that no route matches.
	TimeoutMs int `json:"timeout_ms"`
	// Rules are matched in order and the first match applies. Without a match, GET,
	// HEAD and OPTIONS are repeatable.
	Rules []RequestRule `json:"rules,omitempty"`
	// Objective is the service-level objective.
	Objective Objective `json:"objective"`
	// Measuring bounds the rate of probes to each upstream.
	Measuring Measuring `json:"measuring"`
	// HealthPath is the path of the upstreams' health check, empty when there is none.
	HealthPath string `json:"health_path,omitempty"`
	// MaxConnections is the number of connections that an upstream accepts, 0 when
	// unknown.
	MaxConnections int `json:"max_connections,omitempty"`
	// ColdStartMs is the duration of an upstream's cold start in milliseconds.
	ColdStartMs int `json:"cold_start_ms,omitempty"`
	// WarmupPerSecond is the rate of requests per second that an upstream can serve during
	// its cold start. At 0 the rate is not limited; only the concurrency limit, which
	// grows, applies.
	WarmupPerSecond float64 `json:"warmup_per_second,omitempty"`
	// Labels are stored for operators' tools and not interpreted.
	Labels map[string]string `json:"labels,omitempty"`
}

// RequestRule sets the timeout of matching requests and whether they may be repeated.
type RequestRule struct {
	// Methods are the HTTP methods that match; an empty list matches all.
	Methods []string `json:"methods,omitempty"`
	// PathPrefix is the prefix of the paths that match; an empty prefix matches all.
	PathPrefix string `json:"path_prefix,omitempty"`
	// Repeatable allows a request to be executed more than once.
	Repeatable bool `json:"repeatable"`
	// TimeoutMs is the timeout in milliseconds, 0 for that of the service.
	TimeoutMs int `json:"timeout_ms,omitempty"`
}

// Objective is a service-level objective: a share of good responses over a window.
type Objective struct {
	// GoodWithinMs is the longest response time in milliseconds that counts as good.
	GoodWithinMs int `json:"good_within_ms"`
	// Share is the share of requests that must be good, between 0 and 1.
	Share float64 `json:"share"`
	// WindowHours is the length of the window in hours.
	WindowHours int `json:"window_hours"`
}

// Measuring is the budget for probes and connections opened to measure one upstream.
type Measuring struct {
	// PerSecond is the number of probes and connections per second.
	PerSecond float64 `json:"per_second"`
}

// Limits are the limits of the whole system.
type Limits struct {
	// MaxBodyBytes bounds the size of a request body.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
	// RetryShare is the share of first attempts that may be retried.
	RetryShare float64 `json:"retry_share,omitempty"`
	// HedgeShare is the share of the requests of a service that may be hedged, summed over
	// all nodes. 0 switches hedging off, nil selects the default.
	HedgeShare *float64 `json:"hedge_share,omitempty"`
	// ClaimHours is how many hours the record of a request with an idempotency key is kept.
	ClaimHours int `json:"claim_hours,omitempty"`
	// MaxHeaderBytes bounds the size of a request head; 0 selects 64 KiB.
	MaxHeaderBytes int `json:"max_header_bytes,omitempty"`
	// HeaderTimeoutMs bounds the time in milliseconds to receive a request head; 0 selects
	// 5 s.
	HeaderTimeoutMs int `json:"header_timeout_ms,omitempty"`
	// IdleTimeoutMs is the time in milliseconds after which an idle connection of a caller
	// is closed; 0 selects 2 min.
	IdleTimeoutMs int `json:"idle_timeout_ms,omitempty"`
	// Labels are stored for operators' tools and not interpreted.
	Labels map[string]string `json:"labels,omitempty"`
}

// DefaultLimits returns the defaults of MaxBodyBytes, RetryShare and ClaimHours, which apply
// where a document leaves them at 0, and of HedgeShare, which applies where it is nil.
func DefaultLimits() Limits {
	hedgeShare := 0.02
	return Limits{MaxBodyBytes: 256 << 20, RetryShare: 0.2, HedgeShare: &hedgeShare, ClaimHours: 24}
}

// HedgeShareOrDefault returns HedgeShare, or its default when the document states none.
func (l *Limits) HedgeShareOrDefault() float64 {
	if l.HedgeShare == nil {
		return *DefaultLimits().HedgeShare
	}
	return *l.HedgeShare
}

// Parse decodes a document, sets default limits and validates it. Unknown fields are
// errors.
func Parse(data []byte) (*Document, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	doc := &Document{}
	if err := decoder.Decode(doc); err != nil {
		return nil, errors.WithMessage(ErrInvalid, err.Error())
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.WithMessage(ErrInvalid, "data after the document")
	}
	if len(doc.Rollouts) > 0 {
		return nil, &FieldError{kindRollouts, "a document of operators holds no rollouts"}
	}
	doc.setDefaults()
	return doc, doc.Validate()
}

// setDefaults sets limits of 0, and a HedgeShare of nil, to those of DefaultLimits.
func (d *Document) setDefaults() {
	defaults := DefaultLimits()
	if d.Limits.MaxBodyBytes == 0 {
		d.Limits.MaxBodyBytes = defaults.MaxBodyBytes
	}
	if d.Limits.RetryShare == 0 {
		d.Limits.RetryShare = defaults.RetryShare
	}
	if d.Limits.HedgeShare == nil {
		d.Limits.HedgeShare = defaults.HedgeShare
	}
	if d.Limits.ClaimHours == 0 {
		d.Limits.ClaimHours = defaults.ClaimHours
	}
}

// Rule returns the rule that applies to a request. The path has no /svc/NAME prefix.
func (s *Service) Rule(method, path string) RequestRule {
	for _, rule := range s.Rules {
		if rule.matches(method, path) {
			return rule.withTimeout(s.TimeoutMs)
		}
	}
	repeatable := method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
	return RequestRule{Repeatable: repeatable, TimeoutMs: s.TimeoutMs}
}

// Timeout returns TimeoutMs as a duration.
func (r RequestRule) Timeout() time.Duration {
	return time.Duration(r.TimeoutMs) * time.Millisecond
}

// withTimeout returns the rule with the service's timeout when it has none of its own.
func (r RequestRule) withTimeout(serviceTimeoutMs int) RequestRule {
	if r.TimeoutMs == 0 {
		r.TimeoutMs = serviceTimeoutMs
	}
	return r
}

func (r RequestRule) matches(method, path string) bool {
	if !strings.HasPrefix(path, r.PathPrefix) {
		return false
	}
	if len(r.Methods) == 0 {
		return true
	}
	for _, m := range r.Methods {
		if m == method {
			return true
		}
	}
	return false
}

// LongestTimeout returns the longest timeout among the service's default and its rules.
func (s *Service) LongestTimeout() time.Duration {
	longest := s.TimeoutMs
	for _, rule := range s.Rules {
		longest = max(longest, rule.TimeoutMs)
	}
	return time.Duration(longest) * time.Millisecond
}
