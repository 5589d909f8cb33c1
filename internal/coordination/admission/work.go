package admission

import "time"

const (
	// workGain is the weight of one response in the mean work.
	workGain = 1.0 / 16
	// maxWorkRoutes bounds the routes whose work is known by itself.
	maxWorkRoutes = 256
)

// Work is how long a request takes at an upstream.
type Work struct {
	// Own is the work of the upstream itself at its usual speed, 0 when unknown.
	Own time.Duration
	// Held is the time for which the request waits for its nested calls. It does not
	// depend on the speed of the upstream.
	Held time.Duration
}

// Works knows the mean work of routes at an upstream. It is not safe for concurrent use.
// The zero value knows nothing.
type Works struct {
	mean   meanWork
	routes map[string]meanWork
}

// meanWork is in seconds.
type meanWork struct{ own, held float64 }

func (m meanWork) with(own, held float64) meanWork {
	if m == (meanWork{}) {
		return meanWork{own, held}
	}
	return meanWork{m.own + (own-m.own)*workGain, m.held + (held-m.held)*workGain}
}

func (m meanWork) work() Work { return Work{Own: seconds(m.own), Held: seconds(m.held)} }

// Observe takes the service time of a response, the part of it in which the request waited
// for nested calls, and how long work took at its start compared to the usual, 0 when
// unknown.
func (w *Works) Observe(route string, serviceTime, held time.Duration, slowdown float64) {
	held = min(held, serviceTime)
	own := (serviceTime - held).Seconds() / max(1, slowdown)
	w.mean = w.mean.with(own, held.Seconds())
	if w.routes == nil {
		w.routes = map[string]meanWork{}
	}
	if _, known := w.routes[route]; known || len(w.routes) < maxWorkRoutes {
		w.routes[route] = w.routes[route].with(own, held.Seconds())
	}
}

// Of returns the mean work of a route's requests. While none was observed it returns the
// prior as their own work, or without one the mean of all, which is 0 while nothing is
// known.
func (w *Works) Of(route string, prior time.Duration) Work {
	own, known := w.routes[route]
	switch {
	case known:
		return own.work()
	case prior > 0:
		return Work{Own: prior}
	default:
		return w.mean.work()
	}
}
