package node

import (
	"context"
	"sync"
	"time"
)

const (
	suspensionTickInterval = 100 * time.Millisecond
	// suspensionThreshold is the interval between two ticks above which the process counts
	// as suspended in between.
	suspensionThreshold = 300 * time.Millisecond
	// resumeWindow is the time after a suspension during which messages that are read may
	// have waited in the kernel since before the suspension.
	resumeWindow = 500 * time.Millisecond
)

// suspensionDetector detects that the process was stopped and continued. The remaining time
// in a request head counts from when the entry node wrote it, so that the receiver
// overestimates it for a head that waited in the kernel while the process was suspended.
type suspensionDetector struct {
	mu           sync.Mutex
	lastTick     time.Time
	resumedAt    time.Time
	suspendedFor time.Duration
}

func (d *suspensionDetector) run(ctx context.Context) {
	ticker := time.NewTicker(suspensionTickInterval)
	defer ticker.Stop()
	d.tick(time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.tick(time.Now())
		}
	}
}

func (d *suspensionDetector) tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observeLocked(now)
}

func (d *suspensionDetector) observeLocked(now time.Time) {
	if gap := now.Sub(d.lastTick); !d.lastTick.IsZero() && gap > suspensionThreshold {
		d.resumedAt, d.suspendedFor = now, gap
	}
	d.lastTick = now
}

// maxMessageDelay returns how long a message that is read now may have waited in the kernel
// during a suspension.
func (d *suspensionDetector) maxMessageDelay(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lastTick.IsZero() {
		return 0
	}
	if gap := now.Sub(d.lastTick); gap > suspensionThreshold {
		d.observeLocked(now)
	}
	if !d.resumedAt.IsZero() && now.Sub(d.resumedAt) < resumeWindow {
		return d.suspendedFor
	}
	return 0
}
