package document

import (
	"strconv"
	"strings"
	"time"
)

const (
	// maxRouteTimeoutMs bounds the timeout of a route in milliseconds.
	maxRouteTimeoutMs = 10 * 60 * 1000
	// maxObjectiveExcessMs is the exclusive bound in milliseconds by which the objective of
	// a route may exceed its timeout. An objective beyond it can never be missed.
	maxObjectiveExcessMs = 60 * 1000
	// maxAttemptsLimit bounds MaxAttempts, the number of instances that one request may be
	// sent to.
	maxAttemptsLimit = 16
	// maxBackends bounds the number of services that a route splits its requests between.
	maxBackends = 64
)

// RouteKind says how often a request of a route may be executed.
type RouteKind string

const (
	// RouteIdempotent requests may be executed more than once.
	RouteIdempotent RouteKind = "idempotent"
	// RouteOnce requests are executed at most once.
	RouteOnce RouteKind = "once"
	// RouteUpload requests have large bodies and are executed at most once.
	RouteUpload RouteKind = "upload"
)

// Route sends the requests for a host and path prefix to one or more services.
type Route struct {
	Owner string `json:"owner"`
	// Host is the value of the Host header without a port.
	Host string `json:"host"`
	// PathPrefix begins and ends with a slash. Of the routes that match a request, the
	// one with the longest prefix is used.
	PathPrefix string `json:"path_prefix"`
	// Kind says how often a request may be executed.
	Kind RouteKind `json:"kind"`
	// TimeoutMs is the longest timeout of a request in milliseconds.
	TimeoutMs int `json:"timeout_ms"`
	// ObjectiveMs is the longest response time in milliseconds that counts as good, 0 for
	// no objective.
	ObjectiveMs int `json:"objective_ms,omitempty"`
	// Priority orders the requests of routes under overload; 0 is the highest priority.
	Priority int `json:"priority,omitempty"`
	// Backends are the services that requests are sent to, in proportion to their weights.
	Backends []Backend `json:"backends"`
	// MaxAttempts bounds the number of instances that one request may be sent to.
	MaxAttempts int `json:"max_attempts"`
	// Public exempts the requests of the route from the key of an organisation.
	Public bool `json:"public,omitempty"`
	// Labels are stored for operators' tools and not interpreted.
	Labels map[string]string `json:"labels,omitempty"`
}

// Backend is a service that a route sends requests to.
type Backend struct {
	Service string `json:"service"`
	// Weight sets the share of requests, relative to the sum of the route's weights. It may
	// be 0 in a route with one backend.
	Weight int `json:"weight,omitempty"`
}

// Repeatable reports whether a request of the route may be executed more than once.
func (r *Route) Repeatable() bool { return r.Kind == RouteIdempotent }

// Timeout returns TimeoutMs as a duration.
func (r *Route) Timeout() time.Duration { return time.Duration(r.TimeoutMs) * time.Millisecond }

// Objective returns ObjectiveMs as a duration, 0 for no objective.
func (r *Route) Objective() time.Duration { return time.Duration(r.ObjectiveMs) * time.Millisecond }

// validate checks all fields but the owner and the existence of the services, which need
// the document.
func (r *Route) validate(path string) error {
	switch {
	case r.Host == "" || strings.ContainsAny(r.Host, "/: "):
		return &FieldError{path + "/host", "must be a host name without port"}
	case !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/"):
		return &FieldError{path + "/path_prefix", "must begin and end with /"}
	case r.Kind != RouteIdempotent && r.Kind != RouteOnce && r.Kind != RouteUpload:
		return &FieldError{path + "/kind", `must be "idempotent", "once" or "upload"`}
	case r.TimeoutMs < 1 || r.TimeoutMs > maxRouteTimeoutMs:
		return &FieldError{path + "/timeout_ms", "must be between 1 and " + strconv.Itoa(maxRouteTimeoutMs)}
	case r.ObjectiveMs < 0 || r.ObjectiveMs >= r.TimeoutMs+maxObjectiveExcessMs:
		return &FieldError{path + "/objective_ms", "must be less than a minute above timeout_ms"}
	case r.Priority < 0:
		return &FieldError{path + "/priority", "must not be negative"}
	case r.MaxAttempts < 1 || r.MaxAttempts > maxAttemptsLimit:
		return &FieldError{path + "/max_attempts", "must be between 1 and " + strconv.Itoa(maxAttemptsLimit)}
	}
	return r.validateBackends(path + "/backends")
}

func (r *Route) validateBackends(path string) error {
	if len(r.Backends) == 0 || len(r.Backends) > maxBackends {
		return &FieldError{path, "must name between 1 and " + strconv.Itoa(maxBackends) + " services"}
	}
	totalWeight := 0
	for i, backend := range r.Backends {
		if backend.Weight < 0 {
			return &FieldError{path + "/" + strconv.Itoa(i) + "/weight", "must not be negative"}
		}
		totalWeight += backend.Weight
	}
	if totalWeight == 0 && len(r.Backends) > 1 {
		return &FieldError{path, "must have a positive weight"}
	}
	return nil
}

// validateRoutes checks all routes and that their owners and services exist.
func (d *Document) validateRoutes() error {
	for _, name := range sortedKeys(d.Routes) {
		route := d.Routes[name]
		path := kindRoutes + "/" + name
		if !namePattern.MatchString(name) {
			return &FieldError{path, nameProblem}
		}
		if err := d.validateOwner(path, route.Owner); err != nil {
			return err
		}
		if err := route.validate(path); err != nil {
			return err
		}
		if err := route.checkServices(path, d.hasService); err != nil {
			return err
		}
	}
	return nil
}

func (d *Document) hasService(name string) bool {
	_, ok := d.Services[name]
	return ok
}

// checkServices returns an error for the first backend whose service does not exist
// according to exists.
func (r *Route) checkServices(path string, exists func(name string) bool) error {
	for i, backend := range r.Backends {
		if !exists(backend.Service) {
			field := path + "/backends/" + strconv.Itoa(i) + "/service"
			return &FieldError{field, "no service named " + strconv.Quote(backend.Service)}
		}
	}
	return nil
}
