// Package document holds the operators' document: its sections, owners and
// validation.
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

// FieldError names the field that makes a document invalid.
type FieldError struct {
	// Path of the field, for example services/drafts/timeout_ms.
	Path    string
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
	Limits   Limits             `json:"limits"`
}

// Team may edit the sections that it owns.
type Team struct {
	// TokenSHA256 holds the hex SHA-256 digests of the team's tokens. An edit that
	// leaves it out keeps the digests; an empty list removes them.
	TokenSHA256 []string `json:"token_sha256"`
	// Admin may edit the teams and limits sections and create sections.
	Admin bool `json:"admin,omitempty"`
}

// ZoneState tells whether an availability zone takes new work.
type ZoneState string

const (
	// ZoneIn takes new work.
	ZoneIn ZoneState = "in"
	// ZoneOut takes no new work.
	ZoneOut ZoneState = "out"
)

// Zone is an availability zone.
type Zone struct {
	Owner string    `json:"owner"`
	State ZoneState `json:"state"`
}

// Service is a named set of upstreams with the rules for its requests.
type Service struct {
	Owner string `json:"owner"`
	// Hosts are the Host header values that select the service.
	Hosts []string `json:"hosts,omitempty"`
	// TimeoutMs is the default time in milliseconds for a request that no route matches.
	TimeoutMs int `json:"timeout_ms"`
	// Rules are tried in order; the first match decides. Without a match GET,
	// HEAD and OPTIONS are repeatable.
	Rules []RequestRule `json:"rules,omitempty"`
	// Objective is the service-level objective.
	Objective Objective `json:"objective"`
	// Measuring bounds the probes of each upstream.
	Measuring Measuring `json:"measuring"`
	// HealthPath is the path of the upstreams' health check, empty for none.
	HealthPath string `json:"health_path,omitempty"`
	// MaxConnections is the number of connections that an upstream accepts, 0 when
	// it is unknown.
	MaxConnections int `json:"max_connections,omitempty"`
	// ColdStartMs is how long an upstream is cold after its start.
	ColdStartMs int `json:"cold_start_ms,omitempty"`
	// WarmupPerSecond is the number of requests a second that a cold upstream bears;
	// 0 leaves it to the growing concurrency limit.
	WarmupPerSecond float64 `json:"warmup_per_second,omitempty"`
	// Labels are kept for operators' tools and not interpreted.
	Labels map[string]string `json:"labels,omitempty"`
}

// RequestRule says how requests that match it may be treated.
type RequestRule struct {
	Methods    []string `json:"methods,omitempty"`
	PathPrefix string   `json:"path_prefix,omitempty"`
	Repeatable bool     `json:"repeatable"`
	// TimeoutMs replaces the service's default when it is not 0.
	TimeoutMs int `json:"timeout_ms,omitempty"`
}

// Objective is a share of good responses over a window.
type Objective struct {
	// GoodWithinMs is the longest time of a good response in milliseconds.
	GoodWithinMs int `json:"good_within_ms"`
	// Share of requests that must be good, between 0 and 1.
	Share float64 `json:"share"`
	// WindowHours is the length of the window.
	WindowHours int `json:"window_hours"`
}

// Measuring is the budget for probes and connections opened to measure one upstream.
type Measuring struct {
	PerSecond float64 `json:"per_second"`
}

// Limits bound work for the whole system.
type Limits struct {
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// RetryShare is the share of first attempts that may be retried.
	RetryShare float64 `json:"retry_share"`
	// HedgeShare is the share of first attempts that may be hedged.
	HedgeShare float64 `json:"hedge_share"`
	// ClaimHours is how long the record of a keyed request is kept.
	ClaimHours int `json:"claim_hours"`
	// MaxHeaderBytes bounds the head of a request, 0 selects 64 KiB.
	MaxHeaderBytes int `json:"max_header_bytes,omitempty"`
	// HeaderTimeoutMs bounds the time in milliseconds for the head of a request, 0
	// selects 5 s.
	HeaderTimeoutMs int `json:"header_timeout_ms,omitempty"`
	// IdleTimeoutMs is the time in milliseconds after which a caller's connection
	// without requests is closed, 0 selects 2 min.
	IdleTimeoutMs int `json:"idle_timeout_ms,omitempty"`
	// Labels are kept for operators' tools and not interpreted.
	Labels map[string]string `json:"labels,omitempty"`
}

// DefaultLimits are in force where the document leaves a limit at 0.
func DefaultLimits() Limits {
	return Limits{MaxBodyBytes: 256 << 20, RetryShare: 0.2, HedgeShare: 0.02, ClaimHours: 24}
}

// Parse decodes a document strictly and validates it.
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
	doc.setDefaults()
	return doc, doc.Validate()
}

func (d *Document) setDefaults() {
	defaults := DefaultLimits()
	if d.Limits.MaxBodyBytes == 0 {
		d.Limits.MaxBodyBytes = defaults.MaxBodyBytes
	}
	if d.Limits.RetryShare == 0 {
		d.Limits.RetryShare = defaults.RetryShare
	}
	if d.Limits.HedgeShare == 0 {
		d.Limits.HedgeShare = defaults.HedgeShare
	}
	if d.Limits.ClaimHours == 0 {
		d.Limits.ClaimHours = defaults.ClaimHours
	}
}

// Rule returns the rule in force for a request. The path has no service prefix.
func (s *Service) Rule(method, path string) RequestRule {
	for _, rule := range s.Rules {
		if rule.matches(method, path) {
			return rule.withTimeout(s.TimeoutMs)
		}
	}
	repeatable := method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
	return RequestRule{Repeatable: repeatable, TimeoutMs: s.TimeoutMs}
}

// Timeout returns the rule's timeout.
func (r RequestRule) Timeout() time.Duration {
	return time.Duration(r.TimeoutMs) * time.Millisecond
}

func (r RequestRule) withTimeout(serviceMs int) RequestRule {
	if r.TimeoutMs == 0 {
		r.TimeoutMs = serviceMs
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

// LongestTimeout returns the longest time that a request of the service may take
// by its rules.
func (s *Service) LongestTimeout() time.Duration {
	longest := s.TimeoutMs
	for _, rule := range s.Rules {
		longest = max(longest, rule.TimeoutMs)
	}
	return time.Duration(longest) * time.Millisecond
}
