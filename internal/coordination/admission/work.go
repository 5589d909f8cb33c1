package admission

import "time"

const (
	// workGain is the weight of one response in the mean work.
	workGain = 1.0 / 16
	// maxWorkRoutes bounds the routes whose work is known by itself.
	maxWorkRoutes = 256
)

// Works knows how long requests take at an upstream at its usual speed. It is not safe
// for concurrent use. The zero value knows nothing.
type Works struct {
	mean   float64 // seconds
	routes map[string]float64
}

// Observe takes the service time of a response and how long work took at its start
// compared to the usual, 0 when unknown.
func (w *Works) Observe(route string, serviceTime time.Duration, slowdown float64) {
	sample := serviceTime.Seconds() / max(1, slowdown)
	w.mean = blend(w.mean, sample, workGain)
	if w.routes == nil {
		w.routes = map[string]float64{}
	}
	if _, known := w.routes[route]; known || len(w.routes) < maxWorkRoutes {
		w.routes[route] = blend(w.routes[route], sample, workGain)
	}
}

// Of returns the mean work of a route's requests. While none was observed it returns the
// prior, or without one the mean of all, which is 0 while nothing is known.
func (w *Works) Of(route string, prior time.Duration) time.Duration {
	own, known := w.routes[route]
	switch {
	case known:
		return seconds(own)
	case prior > 0:
		return prior
	default:
		return seconds(w.mean)
	}
}
