package overload

import (
	"strings"
	"sync"
	"time"
)

// nestedSeparator separates the identity of a request from the suffix that a nested call
// appends to it.
const nestedSeparator = "."

// Parent is a running request that makes a nested call.
type Parent struct {
	// Name is the identity of the request.
	Name string
	// Rank is its priority; lower ranks go first.
	Rank int
	// Objective is the time by which its response must be complete to meet its latency
	// objective; zero means none.
	Objective time.Time
}

// Running tracks the requests that run at an upstream and how long each has waited for its
// nested calls. It is safe for concurrent use.
type Running struct {
	mu       sync.Mutex
	requests map[string]*runningRequest
}

// runningRequest is a tracked request. Attempts with the same identity count as one request.
type runningRequest struct {
	Parent
	attempts int
	// openCalls is the number of its nested calls in progress; callsSince is when that
	// number last rose from 0; nestedWait is the total time spent waiting for nested calls
	// that have ended.
	openCalls  int
	callsSince time.Time
	nestedWait time.Duration
}

// NewRunning returns a tracker without requests.
func NewRunning() *Running { return &Running{requests: map[string]*runningRequest{}} }

// Begin records that a request runs until End is called with its name.
func (r *Running) Begin(request Parent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	tracked, isRunning := r.requests[request.Name]
	if !isRunning {
		tracked = &runningRequest{}
		r.requests[request.Name] = tracked
	}
	tracked.Parent = request
	tracked.attempts++
}

// End ends one attempt of a request.
func (r *Running) End(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	tracked, isRunning := r.requests[name]
	if !isRunning {
		return
	}
	if tracked.attempts--; tracked.attempts == 0 {
		delete(r.requests, name)
	}
}

// Parent returns the running request that made a call, or false when the identity of the
// call does not extend the identity of a running request. Calls of upstreams that use
// other identities for nested calls are treated like those of any caller.
func (r *Running) Parent(call string) (Parent, bool) {
	end := strings.LastIndex(call, nestedSeparator)
	if end <= 0 {
		return Parent{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	tracked, isRunning := r.requests[call[:end]]
	if !isRunning {
		return Parent{}, false
	}
	return tracked.Parent, true
}

// CallBegan records that a running request waits for a nested call until CallEnded is
// called.
func (r *Running) CallBegan(parent string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	tracked, isRunning := r.requests[parent]
	if !isRunning {
		return
	}
	if tracked.openCalls == 0 {
		tracked.callsSince = now
	}
	tracked.openCalls++
}

// CallEnded ends a nested call. It has no effect once the parent has ended.
func (r *Running) CallEnded(parent string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	tracked, isRunning := r.requests[parent]
	if !isRunning || tracked.openCalls == 0 {
		return
	}
	tracked.openCalls--
	if tracked.openCalls == 0 {
		tracked.nestedWait += now.Sub(tracked.callsSince)
	}
}

// Held returns how long a running request has waited for nested calls that have ended.
// Time in which several of its calls were in progress counts once.
func (r *Running) Held(name string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	tracked, isRunning := r.requests[name]
	if !isRunning {
		return 0
	}
	return tracked.nestedWait
}
