package admission

import "time"

const (
	// fullHold is how long the limit stays at what the upstream had taken when it reset a
	// request. Then it rises by one in each fullStep.
	fullHold = 2 * time.Second
	fullStep = 500 * time.Millisecond
	// fullPause is how long an upstream gets no request after it has reset two within
	// fullHold, the last one although no other was running: it is full of work that did not
	// come through this node, or that this node no longer waits for.
	fullPause = 250 * time.Millisecond
)

// fullBound bounds the requests to an upstream that resets connections when it is full. Its
// zero value has no effect.
type fullBound struct {
	limit       int
	resetAt     time.Time // zero before the first reset
	pausedUntil time.Time
}

// observeReset records that the upstream has reset a request while others were running.
func (f *fullBound) observeReset(now time.Time, others int) {
	isRepeated := !f.resetAt.IsZero() && now.Sub(f.resetAt) < fullHold
	f.limit = max(1, min(f.bound(now, others), others))
	f.resetAt = now
	if others == 0 && isRepeated {
		f.pausedUntil = now.Add(fullPause)
	}
}

// bound returns the limit, or what the bound leaves of it.
func (f *fullBound) bound(now time.Time, limit int) int {
	if f.resetAt.IsZero() {
		return limit
	}
	steps := max(0, now.Sub(f.resetAt)-fullHold) / fullStep
	if steps >= time.Duration(limit) {
		return limit
	}
	return min(limit, f.limit+int(steps))
}

// pause returns how long no request may be sent.
func (f *fullBound) pause(now time.Time) time.Duration { return max(0, f.pausedUntil.Sub(now)) }
