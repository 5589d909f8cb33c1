package node

import (
	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
)

var (
	// errOutdated reports an announcement that is older than the current one.
	errOutdated = errors.New("announcement is outdated")
	// errServiceChanged reports an announcement that moves a start to another service.
	errServiceChanged = errors.New("service is not that of this start")
	// errUnknownService reports an announcement of a service that the configuration lacks, in
	// place of one that it has.
	errUnknownService = errors.New("no service of the configuration")
)

// serviceSet reports whether the configuration of the node has a service.
type serviceSet func(service string) bool

// checkPrecedence returns why an announcement must not replace the current one, or nil if it may.
//
// An announcement of a service that the configuration lacks may come from a writer that is no
// upstream. It never replaces one of a service that the configuration has, whatever instance and
// start time it names. It is accepted where nothing better is known, since the configuration of
// the node may be older than the upstream, and gives way as soon as an instance of a service that
// the configuration has announces itself, even with an earlier start time.
func checkPrecedence(a, current *httpapi.Announcement, knows serviceSet) error {
	switch {
	case current == nil:
		return nil
	case current.Provisional && !a.Provisional:
		return nil // the node has only assumed the service
	case a.StartID == current.StartID:
		return checkSameStart(a, current)
	case a.Instance != current.Instance && knows(a.Service) && !knows(current.Service):
		return nil
	case a.Provisional:
		return errOutdated
	case a.StartedMs != 0 && a.StartedMs < current.StartedMs:
		return errOutdated
	case !knows(a.Service) && knows(current.Service):
		return errors.WithMessagef(errUnknownService, "%q", a.Service)
	}
	return nil
}

// checkSameStart returns why an announcement must not replace an earlier one of the same start.
func checkSameStart(a, current *httpapi.Announcement) error {
	switch {
	case a.Provisional:
		return errOutdated
	case a.Service != current.Service:
		return errors.WithMessagef(errServiceChanged, "%q", a.Service)
	case a.StartedMs != 0 && a.StartedMs < current.StartedMs:
		return errOutdated
	case a.Sequence != 0 && a.Sequence <= current.Sequence:
		return errOutdated
	}
	return nil
}
