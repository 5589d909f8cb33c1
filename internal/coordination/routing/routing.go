// Package routing selects the route of a request and the service that receives it. It is
// deterministic: the caller passes in the random source, and the package does no I/O.
package routing

import (
	"net"
	"slices"
	"strings"

	"github.com/chicorylever/chicorylever/internal/state/document"
)

// Route is a route of the configuration document with its name. It is immutable.
type Route struct {
	Name string
	document.Route
	// totalWeight is the sum of the backends' weights, 0 for a single backend without a
	// weight.
	totalWeight int
}

// Table finds the route of a request. It is immutable and safe for concurrent use. The
// zero value has no routes.
type Table struct {
	// routesByHost holds the routes of each host by descending length of the path prefix.
	routesByHost map[string][]*Route
}

// NewTable returns a table of the given routes by name.
func NewTable(routes map[string]document.Route) *Table {
	t := &Table{routesByHost: map[string][]*Route{}}
	for name, route := range routes {
		host := strings.ToLower(route.Host)
		t.routesByHost[host] = append(t.routesByHost[host], newRoute(name, route))
	}
	for _, hostRoutes := range t.routesByHost {
		slices.SortFunc(hostRoutes, byPrefixLength)
	}
	return t
}

func newRoute(name string, route document.Route) *Route {
	r := &Route{Name: name, Route: route}
	for _, backend := range route.Backends {
		r.totalWeight += backend.Weight
	}
	return r
}

// byPrefixLength orders longer prefixes first. Equal prefixes are ordered by name, so that
// all nodes select the same route.
func byPrefixLength(a, b *Route) int {
	if d := len(b.PathPrefix) - len(a.PathPrefix); d != 0 {
		return d
	}
	return strings.Compare(a.Name, b.Name)
}

// IsEmpty reports whether the table has no routes.
func (t *Table) IsEmpty() bool { return t == nil || len(t.routesByHost) == 0 }

// Match returns the route of the host whose path prefix is the longest match, or nil. The
// host may have a port. The path must not have a query.
func (t *Table) Match(host, path string) *Route {
	if t == nil {
		return nil
	}
	for _, route := range t.routesByHost[NormalizeHost(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// NormalizeHost returns the host in lower case without a port.
func NormalizeHost(host string) string {
	host = strings.ToLower(host)
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}
