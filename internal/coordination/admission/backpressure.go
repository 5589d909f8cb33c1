package admission

import "time"

const (
	// maxNestedRoutes bounds the routes whose nested calls are known to lack room.
	maxNestedRoutes = 256
	// forgottenRefusals is the number of recent refusals below which a route is forgotten.
	forgottenRefusals = 0.05
)

// NestedRoom records for which routes the nested calls of requests have recently been refused
// because the service that they call had no room. Such a request takes its slot in vain. It
// is not safe for concurrent use. The zero value has no observations.
type NestedRoom struct {
	routes map[string]*FailureTracker
}

// Observe records the end of a request and whether one of its nested calls was refused.
func (n *NestedRoom) Observe(now time.Time, route string, refused bool) {
	tracker, known := n.routes[route]
	if !known {
		if !refused || len(n.routes) >= maxNestedRoutes {
			return
		}
		if n.routes == nil {
			n.routes = map[string]*FailureTracker{}
		}
		tracker = &FailureTracker{}
		n.routes[route] = tracker
	}
	tracker.Observe(now, refused)
	if tracker.failures < forgottenRefusals {
		delete(n.routes, route)
	}
}

// RefusedShare returns the share of the route's requests whose nested calls have no room,
// between 0 and 1. That part of them should set Request.GivesWay.
func (n *NestedRoom) RefusedShare(now time.Time, route string) float64 {
	tracker, known := n.routes[route]
	if !known {
		return 0
	}
	return tracker.Share(now)
}
