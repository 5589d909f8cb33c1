// Package routing selects the route of a request and the service that takes it. It is
// pure: the random source is passed in, and it does no I/O.
package routing

import (
	"net"
	"slices"
	"strings"

	"github.com/chicorylever/chicorylever/internal/state/document"
)

// Route is a route of the document with its name. It is never changed.
type Route struct {
	Name string
	document.Route
	// total is the sum of the weights, 0 for a single backend without one.
	total int
}

// Table finds routes. It never changes, so any goroutine may read it. The zero value
// has no route.
type Table struct {
	// hosts holds the routes of each host, those with the longest prefix first.
	hosts map[string][]*Route
}

// NewTable returns the table of a document's routes.
func NewTable(routes map[string]document.Route) *Table {
	t := &Table{hosts: map[string][]*Route{}}
	for name, route := range routes {
		host := strings.ToLower(route.Host)
		t.hosts[host] = append(t.hosts[host], newRoute(name, route))
	}
	for _, list := range t.hosts {
		slices.SortFunc(list, byPrefix)
	}
	return t
}

func newRoute(name string, route document.Route) *Route {
	r := &Route{Name: name, Route: route}
	for _, backend := range route.Backends {
		r.total += backend.Weight
	}
	return r
}

// byPrefix orders longer prefixes first. Equal prefixes are ordered by name, so that
// all nodes choose alike.
func byPrefix(a, b *Route) int {
	if d := len(b.PathPrefix) - len(a.PathPrefix); d != 0 {
		return d
	}
	return strings.Compare(a.Name, b.Name)
}

// IsEmpty reports whether there is no route.
func (t *Table) IsEmpty() bool { return t == nil || len(t.hosts) == 0 }

// Match returns the route with the longest prefix that begins the path, or nil. The
// host may have a port. The path has no query.
func (t *Table) Match(host, path string) *Route {
	if t == nil {
		return nil
	}
	for _, route := range t.hosts[hostName(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

func hostName(host string) string {
	host = strings.ToLower(host)
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}
