package document

import (
	"strconv"
	"strings"
	"time"
)

const (
	// maxRouteTimeoutMs bounds the time that an operator may let a request take.
	maxRouteTimeoutMs = 10 * 60 * 1000
	// maxObjectiveExcessMs is how far the objective must stay below the end of the
	// timeout plus this time. An objective beyond it can never be missed.
	maxObjectiveExcessMs = 60 * 1000
	// maxAttemptsLimit bounds the instances that one request may be sent to.
	maxAttemptsLimit = 16
	// maxBackends bounds the services that one route is split between.
	maxBackends = 64
)

// RouteKind says how often the requests of a route may run.
type RouteKind string

const (
	// RouteIdempotent requests may run more than once.
	RouteIdempotent RouteKind = "idempotent"
	// RouteOnce requests run at most once.
	RouteOnce RouteKind = "once"
	// RouteUpload requests have large bodies and run at most once.
	RouteUpload RouteKind = "upload"
)

// Route sends the requests of a host below a path to one or more services.
type Route struct {
	Owner string `json:"owner"`
	// Host is the Host header without a port.
	Host string `json:"host"`
	// PathPrefix begins and ends with a slash. Of the matching routes of a host the
	// one with the longest prefix is used.
	PathPrefix string    `json:"path_prefix"`
	Kind       RouteKind `json:"kind"`
	// TimeoutMs is the longest time in milliseconds that a request is kept waiting.
	TimeoutMs int `json:"timeout_ms"`
	// ObjectiveMs is the time in milliseconds within which a response is good, 0 for none.
	ObjectiveMs int `json:"objective_ms,omitempty"`
	// Priority ranks the route when there is too much work; 0 is the highest rank.
	Priority int `json:"priority,omitempty"`
	// Backends are the services that take the requests, in proportion to their weights.
	Backends []Backend `json:"backends"`
	// MaxAttempts is the number of instances that one request may be sent to.
	MaxAttempts int `json:"max_attempts"`
	// Labels are kept for operators' tools and not interpreted.
	Labels map[string]string `json:"labels,omitempty"`
}

// Backend is a service and its share of a route's requests.
type Backend struct {
	Service string `json:"service"`
	// Weight is relative to the sum of the route's weights; a route with one backend
	// may leave it at 0.
	Weight int `json:"weight,omitempty"`
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == RouteIdempotent }

// Timeout returns the longest time that a request is kept waiting.
func (r *Route) Timeout() time.Duration { return time.Duration(r.TimeoutMs) * time.Millisecond }

// Objective returns the time within which a response is good, 0 for none.
func (r *Route) Objective() time.Duration { return time.Duration(r.ObjectiveMs) * time.Millisecond }

// validate checks the route by itself. Owner and services are checked by the document.
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
	sum := 0
	for i, backend := range r.Backends {
		if backend.Weight < 0 {
			return &FieldError{path + "/" + strconv.Itoa(i) + "/weight", "must not be negative"}
		}
		sum += backend.Weight
	}
	if sum == 0 && len(r.Backends) > 1 {
		return &FieldError{path, "must have a positive weight"}
	}
	return nil
}

// validateRoutes checks each route and that its services exist.
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

func (r *Route) checkServices(path string, known func(name string) bool) error {
	for i, backend := range r.Backends {
		if !known(backend.Service) {
			field := path + "/backends/" + strconv.Itoa(i) + "/service"
			return &FieldError{field, "no service named " + strconv.Quote(backend.Service)}
		}
	}
	return nil
}
