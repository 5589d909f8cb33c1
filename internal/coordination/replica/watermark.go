package replica

import (
	"context"
	"sync"
)

// watermark is a monotonically increasing log index that goroutines can wait for.
type watermark struct {
	mu      sync.Mutex
	index   uint64
	waiters map[chan struct{}]uint64
}

func (w *watermark) advance(index uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if index <= w.index {
		return
	}
	w.index = index
	for waiter, target := range w.waiters {
		if target <= index {
			close(waiter)
			delete(w.waiters, waiter)
		}
	}
}

// wait returns nil once the watermark has reached the index, the error of ctx when ctx
// ends, or ErrStopped when stop ends.
func (w *watermark) wait(ctx, stop context.Context, index uint64) error {
	w.mu.Lock()
	if index <= w.index {
		w.mu.Unlock()
		return nil
	}
	waiter := make(chan struct{})
	if w.waiters == nil {
		w.waiters = map[chan struct{}]uint64{}
	}
	w.waiters[waiter] = index
	w.mu.Unlock()
	select {
	case <-waiter:
		return nil
	case <-ctx.Done():
		w.removeWaiter(waiter)
		return ctx.Err()
	case <-stop.Done():
		w.removeWaiter(waiter)
		return ErrStopped
	}
}

func (w *watermark) removeWaiter(waiter chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.waiters, waiter)
}
