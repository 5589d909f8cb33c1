package admission

import "time"

const (
	// workGain is the weight of one response in the mean processing time.
	workGain = 1.0 / 16
	// maxWorkRoutes bounds the number of routes with a mean of their own.
	maxWorkRoutes = 256
)

// Work is how long a request takes at an upstream.
type Work struct {
	// OwnTime is the processing time in the upstream itself at its usual speed, 0 when
	// unknown.
	OwnTime time.Duration
	// NestedWait is the time for which the request waits for its nested calls. It does
	// not depend on the speed of the upstream.
	NestedWait time.Duration
}

// WorkEstimator estimates the work of requests by the mean of their route at an upstream.
// It is not safe for concurrent use. The zero value has no observations.
type WorkEstimator struct {
	mean   meanWork // of all routes
	routes map[string]meanWork
}

// meanWork is an exponentially weighted mean of Work.
type meanWork struct{ ownSeconds, nestedWaitSeconds float64 }

func (m meanWork) updated(ownSeconds, nestedWaitSeconds float64) meanWork {
	if m == (meanWork{}) {
		return meanWork{ownSeconds, nestedWaitSeconds}
	}
	return meanWork{m.ownSeconds + (ownSeconds-m.ownSeconds)*workGain, m.nestedWaitSeconds + (nestedWaitSeconds-m.nestedWaitSeconds)*workGain}
}

func (m meanWork) work() Work {
	return Work{OwnTime: fromSeconds(m.ownSeconds), NestedWait: fromSeconds(m.nestedWaitSeconds)}
}

// Observe records the service time of a response, the part of it in which the request
// waited for nested calls, and the slowdown of the upstream at its start compared to the
// usual speed, 0 when unknown.
func (w *WorkEstimator) Observe(route string, serviceTime, nestedWait time.Duration, slowdown float64) {
	nestedWait = min(nestedWait, serviceTime)
	ownSeconds := (serviceTime - nestedWait).Seconds() / max(1, slowdown)
	w.mean = w.mean.updated(ownSeconds, nestedWait.Seconds())
	if w.routes == nil {
		w.routes = map[string]meanWork{}
	}
	if _, known := w.routes[route]; known || len(w.routes) < maxWorkRoutes {
		w.routes[route] = w.routes[route].updated(ownSeconds, nestedWait.Seconds())
	}
}

// Estimate returns the mean work of a route's requests. For a route without observations it
// returns the prior as their own time or, without a prior, the mean of all routes, which is
// 0 before the first observation.
func (w *WorkEstimator) Estimate(route string, prior time.Duration) Work {
	routeMean, known := w.routes[route]
	switch {
	case known:
		return routeMean.work()
	case prior > 0:
		return Work{OwnTime: prior}
	default:
		return w.mean.work()
	}
}
