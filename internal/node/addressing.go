package node

import (
	"net/http"
	"strings"
	"unicode/utf8"

	"github.com/chicorylever/chicorylever/internal/coordination/routing"
)

// servicePrefix begins the paths that name a service, as in /svc/NAME/path.
const servicePrefix = "/svc/"

// ambiguousPrefix begins targets that are sent through a parsed URL, since net/http takes
// them for an authority otherwise.
const ambiguousPrefix = "//"

// isValidTarget reports whether the target and the host can be forwarded unchanged.
func isValidTarget(r *http.Request) bool {
	if !utf8.ValidString(r.RequestURI) || !utf8.ValidString(r.Host) {
		return false
	}
	return !strings.HasPrefix(r.RequestURI, ambiguousPrefix) || r.URL.RequestURI() == r.RequestURI
}

// addressing is how a request names its service.
type addressing int

const (
	addressedByRoute addressing = iota
	// addressedByPath is a request whose path begins with servicePrefix and the name of
	// the service. This part of the path is not sent to the upstream.
	addressedByPath
	// addressedByHost is a request whose host is among the hosts of the service.
	addressedByHost
	addressingCount
)

var addressingNames = [addressingCount]string{"route", "path", "host"}

// String returns the name of a in logs and metrics.
func (a addressing) String() string { return addressingNames[a] }

// resolveService sets the service and the target of a call that no route matches from its
// path or host. It returns false if these name no service.
func resolveService(c *call) bool {
	c.target = c.request.RequestURI
	if rest, found := strings.CutPrefix(c.target, servicePrefix); found {
		name, path, _ := strings.Cut(rest, "/")
		c.service, c.target, c.addressing = name, "/"+path, addressedByPath
		_, ok := c.view.Doc.Services[name]
		return ok
	}
	c.addressing = addressedByHost
	var ok bool
	if c.service, ok = c.view.Hosts[c.request.Host]; ok {
		return true
	}
	c.service, ok = c.view.Hosts[routing.NormalizeHost(c.request.Host)]
	return ok
}
