// Package stagger runs attempts that may hang, such as connecting to a VM that is powered
// off, concurrently with staggered starts.
package stagger

import (
	"context"
	"time"
)

// Attempt tries to obtain a result. It returns when its context is cancelled.
type Attempt[T any] func(ctx context.Context) (T, error)

type result[T any] struct {
	index int
	value T
	err   error
}

// First starts the attempts in order: the next one each time the delay elapses or an
// attempt fails. It returns the first successful result with the index of its attempt, or
// the last error when all attempts have failed. Successful results that arrive after the
// first one are passed to discard. There must be at least one attempt.
func First[T any](ctx context.Context, delay time.Duration, attempts []Attempt[T], discard func(T)) (int, T, error) {
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan result[T], len(attempts))
	started, pending := 0, 0
	startNext := func() {
		if started == len(attempts) {
			return
		}
		index := started
		started++
		pending++
		go func() {
			value, err := attempts[index](ctx)
			results <- result[T]{index, value, err}
		}()
	}
	defer func() {
		cancel()
		go discardLate(results, pending, discard)
	}()
	ticker := time.NewTicker(delay)
	defer ticker.Stop()
	startNext()
	var last result[T]
	for pending > 0 {
		select {
		case last = <-results:
			pending--
			if last.err == nil {
				return last.index, last.value, nil
			}
			startNext()
		case <-ticker.C:
			startNext()
		}
	}
	return last.index, last.value, last.err
}

// discardLate passes the successful results of the pending attempts to discard.
func discardLate[T any](results <-chan result[T], pending int, discard func(T)) {
	for range pending {
		if late := <-results; late.err == nil {
			discard(late.value)
		}
	}
}
