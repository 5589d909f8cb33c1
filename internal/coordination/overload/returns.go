package overload

import "time"

const (
	// retryThreshold is the share of the longest timeout stated by callers of a route
	// below which a caller counts as retrying after a refusal. The timeouts of first
	// attempts differ by less.
	retryThreshold = 0.8
	// timeoutWindow is the shortest time for which the longest stated timeout is kept.
	timeoutWindow = 10 * time.Second
)

// RetryDetector detects callers that retry after a refusal: they have less time left than
// others of the same route. It is not safe for concurrent use.
type RetryDetector struct {
	routes map[string]*longestTimeouts
}

// longestTimeouts holds the longest stated timeouts of the current and the previous
// timeoutWindow.
type longestTimeouts struct {
	current, previous time.Duration
	windowStart       time.Time
}

// NewRetryDetector returns a detector that has observed no caller.
func NewRetryDetector() *RetryDetector { return &RetryDetector{routes: map[string]*longestTimeouts{}} }

// Observe records the timeout stated by a caller of the route and reports whether the
// request is probably a retry by the caller.
func (d *RetryDetector) Observe(now time.Time, route string, timeout time.Duration) bool {
	longest, known := d.routes[route]
	if !known {
		longest = &longestTimeouts{windowStart: now}
		d.routes[route] = longest
	}
	if now.Sub(longest.windowStart) >= timeoutWindow {
		longest.previous, longest.current, longest.windowStart = longest.current, 0, now
	}
	longest.current = max(longest.current, timeout)
	return float64(timeout) < retryThreshold*float64(max(longest.current, longest.previous))
}

// Keep deletes the records of all routes for which isListed returns false.
func (d *RetryDetector) Keep(isListed func(route string) bool) {
	for route := range d.routes {
		if !isListed(route) {
			delete(d.routes, route)
		}
	}
}
