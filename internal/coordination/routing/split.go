package routing

import "math/rand/v2"

// maxTrackedRoutes bounds the routes whose weights are kept, removed routes included. When
// it is reached, the weights of all routes are reset.
const maxTrackedRoutes = 8192

// Splitter distributes the requests of a route over its services by weight. It is not
// safe for concurrent use.
//
// It uses smooth weighted round robin, with a current weight for each service of a route:
// the shares hold even over a few requests, where independent random draws would be off by
// several in a hundred. The current weights start at random values, since many entry nodes
// with few requests each would otherwise all begin with the same service.
type Splitter struct {
	random  *rand.Rand
	weights map[string]*routeWeights
}

// routeWeights holds the current weights of the services of one route, in the order of
// its backends. They are reset when the backends change.
type routeWeights struct {
	route   *Route
	current []int
}

// NewSplitter returns a splitter that draws from random.
func NewSplitter(random *rand.Rand) *Splitter {
	return &Splitter{random: random, weights: map[string]*routeWeights{}}
}

// Choose returns the service for the next request of the route.
func (s *Splitter) Choose(route *Route) string {
	if len(route.Backends) == 1 {
		return route.Backends[0].Service
	}
	w := s.weights[route.Name]
	if w == nil || !sameBackends(w.route, route) {
		if len(s.weights) >= maxTrackedRoutes {
			clear(s.weights)
		}
		w = s.newRouteWeights(route)
		s.weights[route.Name] = w
	}
	best := 0
	for i := range w.current {
		w.current[i] += route.Backends[i].Weight
		if w.current[i] > w.current[best] {
			best = i
		}
	}
	w.current[best] -= route.totalWeight
	return route.Backends[best].Service
}

// Peek returns the service that Choose would return next, without changing a weight. Before
// the first request of a route it is the one with the largest weight.
func (s *Splitter) Peek(route *Route) string {
	w := s.weights[route.Name]
	best, highest := 0, 0
	for i, backend := range route.Backends {
		weight := backend.Weight
		if w != nil && sameBackends(w.route, route) {
			weight += w.current[i]
		}
		if i == 0 || weight > highest {
			best, highest = i, weight
		}
	}
	return route.Backends[best].Service
}

// newRouteWeights returns random current weights for the services of the route.
func (s *Splitter) newRouteWeights(route *Route) *routeWeights {
	w := &routeWeights{route: route, current: make([]int, len(route.Backends))}
	for i := range w.current {
		w.current[i] = s.random.IntN(route.totalWeight)
	}
	return w
}

func sameBackends(a, b *Route) bool {
	if len(a.Backends) != len(b.Backends) {
		return false
	}
	for i := range a.Backends {
		if a.Backends[i] != b.Backends[i] {
			return false
		}
	}
	return true
}
