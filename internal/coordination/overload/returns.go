package overload

import "time"

const (
	// returnedShare of the longest time that callers of a route state is what a caller
	// states at the most that has come back after a refusal. Callers differ by less.
	returnedShare = 0.8
	// statedMemory is how long the longest stated time is remembered at least.
	statedMemory = 10 * time.Second
)

// Returns recognizes callers that come back after a refusal: they have less time left than
// others of the same route. It is not safe for concurrent use.
type Returns struct {
	routes map[string]*stated
}

// stated holds the longest times of two periods of statedMemory.
type stated struct {
	current, previous time.Duration
	begun             time.Time
}

// NewReturns returns one that has seen no caller.
func NewReturns() *Returns { return &Returns{routes: map[string]*stated{}} }

// Observe takes the time left that a caller of the route states and reports whether it has
// probably come back.
func (r *Returns) Observe(now time.Time, route string, left time.Duration) bool {
	s, known := r.routes[route]
	if !known {
		s = &stated{begun: now}
		r.routes[route] = s
	}
	if now.Sub(s.begun) >= statedMemory {
		s.previous, s.current, s.begun = s.current, 0, now
	}
	s.current = max(s.current, left)
	return float64(left) < returnedShare*float64(max(s.current, s.previous))
}

// Keep drops what is known of routes that are not listed.
func (r *Returns) Keep(listed func(route string) bool) {
	for route := range r.routes {
		if !listed(route) {
			delete(r.routes, route)
		}
	}
}
