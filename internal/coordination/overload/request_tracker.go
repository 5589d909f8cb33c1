package overload

import (
	"strings"
	"sync"
	"time"
)

// nestedSeparator separates the ID of a request from the suffix that a nested call appends
// to it.
const nestedSeparator = "."

// Parent is a running request that makes a nested call.
type Parent struct {
	// RequestID identifies the request.
	RequestID string
	// Priority orders requests; lower values go first.
	Priority int
	// Objective is the time by which its response must be complete to meet its latency
	// objective; zero means none.
	Objective time.Time
	// Organisation is the one on whose behalf the request runs, empty when it has none.
	Organisation string
}

// RequestTracker tracks the requests that run at an upstream and how long each has waited
// for its nested calls. It is safe for concurrent use.
type RequestTracker struct {
	mu       sync.Mutex
	requests map[string]*trackedRequest
}

// trackedRequest is a running request. Attempts with the same ID count as one request.
type trackedRequest struct {
	Parent
	attempts int
	// openCalls is the number of its nested calls in progress; callsSince is when that
	// number last rose from 0; nestedWait is the total time in which calls were in progress,
	// up to the last time that their number fell to 0.
	openCalls  int
	callsSince time.Time
	nestedWait time.Duration
	// nestedFailed is set once one of its nested calls has failed.
	nestedFailed bool
	// nestedRefused is set once one of its nested calls was refused for lack of room.
	nestedRefused bool
}

// NewRequestTracker returns a tracker without requests.
func NewRequestTracker() *RequestTracker {
	return &RequestTracker{requests: map[string]*trackedRequest{}}
}

// Begin records that a request runs until End is called with its ID.
func (t *RequestTracker) Begin(request Parent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked, isRunning := t.requests[request.RequestID]
	if !isRunning {
		tracked = &trackedRequest{}
		t.requests[request.RequestID] = tracked
	}
	tracked.Parent = request
	tracked.attempts++
}

// End ends one attempt of a request.
func (t *RequestTracker) End(requestID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked, isRunning := t.requests[requestID]
	if !isRunning {
		return
	}
	if tracked.attempts--; tracked.attempts == 0 {
		delete(t.requests, requestID)
	}
}

// Parent returns the running request that made a call, or false when the ID of the call
// does not extend the ID of a running request. Calls of upstreams that use other IDs for
// nested calls are treated like those of any caller.
func (t *RequestTracker) Parent(callID string) (Parent, bool) {
	end := strings.LastIndex(callID, nestedSeparator)
	if end <= 0 {
		return Parent{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked, isRunning := t.requests[callID[:end]]
	if !isRunning {
		return Parent{}, false
	}
	return tracked.Parent, true
}

// CallBegan records that a running request waits for a nested call until CallEnded is
// called.
func (t *RequestTracker) CallBegan(parentID string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked, isRunning := t.requests[parentID]
	if !isRunning {
		return
	}
	if tracked.openCalls == 0 {
		tracked.callsSince = now
	}
	tracked.openCalls++
}

// CallEnded ends a nested call. It has no effect once the parent has ended.
func (t *RequestTracker) CallEnded(parentID string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked, isRunning := t.requests[parentID]
	if !isRunning || tracked.openCalls == 0 {
		return
	}
	tracked.openCalls--
	if tracked.openCalls == 0 {
		tracked.nestedWait += now.Sub(tracked.callsSince)
	}
}

// CallFailed records that a nested call fails, before its caller learns of it. It has no effect
// once the parent has ended.
func (t *RequestTracker) CallFailed(parentID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if tracked, isRunning := t.requests[parentID]; isRunning {
		tracked.nestedFailed = true
	}
}

// CallRefused records that a nested call was refused because the service that it calls has no
// room, besides CallFailed.
func (t *RequestTracker) CallRefused(parentID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if tracked, isRunning := t.requests[parentID]; isRunning {
		tracked.nestedRefused = true
	}
}

// NestedRefused reports whether a nested call of a running request was refused for lack of
// room.
func (t *RequestTracker) NestedRefused(requestID string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked, isRunning := t.requests[requestID]
	return isRunning && tracked.nestedRefused
}

// NestedFailed reports whether a nested call of the request has failed or is still in
// progress. A failure of such a request is not one of its upstream.
func (t *RequestTracker) NestedFailed(requestID string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked, isRunning := t.requests[requestID]
	return isRunning && (tracked.nestedFailed || tracked.openCalls > 0)
}

// NestedWait returns how long a running request has waited for its nested calls, up to the
// last time that all of them had ended. Time in which several calls were in progress counts
// once.
func (t *RequestTracker) NestedWait(requestID string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked, isRunning := t.requests[requestID]
	if !isRunning {
		return 0
	}
	return tracked.nestedWait
}
