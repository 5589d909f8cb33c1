package routing

import "math/rand/v2"

// maxCredits bounds the routes with credits, those that are gone included. Beyond it
// all routes start anew.
const maxCredits = 8192

// Splitter chooses the services of a route's requests by their weights. It is not safe
// for concurrent use.
//
// Each route keeps a credit for each of its services, as in smooth weighted round
// robin: the shares hold over any few requests, where independent draws would be off by
// several in a hundred. The credits start at random, since many entries with few
// requests each would otherwise all begin with the same service.
type Splitter struct {
	random  *rand.Rand
	credits map[string]*credits
}

// credits belong to one version of a route; a changed split starts anew.
type credits struct {
	route  *Route
	values []int
}

// NewSplitter returns a splitter that draws from random.
func NewSplitter(random *rand.Rand) *Splitter {
	return &Splitter{random: random, credits: map[string]*credits{}}
}

// Choose returns the service for the next request of the route.
func (s *Splitter) Choose(route *Route) string {
	if len(route.Backends) == 1 {
		return route.Backends[0].Service
	}
	c := s.credits[route.Name]
	if c == nil || !sameSplit(c.route, route) {
		if len(s.credits) >= maxCredits {
			clear(s.credits)
		}
		c = s.start(route)
		s.credits[route.Name] = c
	}
	best := 0
	for i := range c.values {
		c.values[i] += route.Backends[i].Weight
		if c.values[i] > c.values[best] {
			best = i
		}
	}
	c.values[best] -= route.total
	return route.Backends[best].Service
}

func (s *Splitter) start(route *Route) *credits {
	c := &credits{route: route, values: make([]int, len(route.Backends))}
	for i := range c.values {
		c.values[i] = s.random.IntN(route.total)
	}
	return c
}

func sameSplit(a, b *Route) bool {
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
