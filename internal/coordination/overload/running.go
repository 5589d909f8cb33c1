package overload

import (
	"strings"
	"sync"
	"time"
)

// nestedSeparator joins the identity of a request to that of one that it makes.
const nestedSeparator = "."

// Parent is a running request that makes a nested call.
type Parent struct {
	Name string
	Rank int
	// Objective is when its response stops being good; zero without one.
	Objective time.Time
}

// Running knows the requests that run at an upstream, and for how long they have waited for
// their nested calls. It is safe for concurrent use.
type Running struct {
	mu       sync.Mutex
	requests map[string]*running
}

// running is a request. Attempts of the same identity count as one.
type running struct {
	Parent
	attempts int
	// calls are its nested calls under way, since begins the time in which there are some,
	// and held is the time that it has waited for them.
	calls int
	since time.Time
	held  time.Duration
}

// NewRunning returns one without requests.
func NewRunning() *Running { return &Running{requests: map[string]*running{}} }

// Begin records that a request runs until End is called with its name.
func (r *Running) Begin(request Parent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, isRunning := r.requests[request.Name]
	if !isRunning {
		known = &running{}
		r.requests[request.Name] = known
	}
	known.Parent = request
	known.attempts++
}

// End ends an attempt of a request.
func (r *Running) End(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, isRunning := r.requests[name]
	if !isRunning {
		return
	}
	if known.attempts--; known.attempts == 0 {
		delete(r.requests, name)
	}
}

// Parent returns the request that makes a call, and false for a call whose identity does
// not extend that of a running request. Upstreams that name their calls otherwise are
// served as any caller.
func (r *Running) Parent(call string) (Parent, bool) {
	end := strings.LastIndex(call, nestedSeparator)
	if end <= 0 {
		return Parent{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known, isRunning := r.requests[call[:end]]
	if !isRunning {
		return Parent{}, false
	}
	return known.Parent, true
}

// CallBegan records that a running request waits for a nested call until CallEnded is
// called.
func (r *Running) CallBegan(parent string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, isRunning := r.requests[parent]
	if !isRunning {
		return
	}
	if known.calls == 0 {
		known.since = now
	}
	known.calls++
}

// CallEnded ends a nested call. It has no effect once its parent has ended.
func (r *Running) CallEnded(parent string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, isRunning := r.requests[parent]
	if !isRunning || known.calls == 0 {
		return
	}
	known.calls--
	if known.calls == 0 {
		known.held += now.Sub(known.since)
	}
}

// Held returns for how long a running request has waited for nested calls that have ended.
func (r *Running) Held(name string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, isRunning := r.requests[name]
	if !isRunning {
		return 0
	}
	return known.held
}
