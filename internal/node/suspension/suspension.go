// Package suspension detects that the process was stopped and continued.
package suspension

import (
	"context"
	"sync"
	"time"
)

const (
	tickInterval = 100 * time.Millisecond
	// threshold is the interval between two ticks above which the process counts
	// as suspended in between.
	threshold = 300 * time.Millisecond
	// resumeWindow is the time after a suspension during which messages that are read may
	// have waited in the kernel since before the suspension.
	resumeWindow = 500 * time.Millisecond
)

// Detector detects that the process was stopped and continued. The remaining time
// in a request head counts from when the entry node wrote it, so that the receiver
// overestimates it for a head that waited in the kernel while the process was suspended.
type Detector struct {
	mu           sync.Mutex
	lastTick     time.Time
	resumedAt    time.Time
	suspendedFor time.Duration
}

// Run checks for suspensions until ctx ends.
func (d *Detector) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
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

func (d *Detector) tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observeLocked(now)
}

func (d *Detector) observeLocked(now time.Time) {
	if gap := now.Sub(d.lastTick); !d.lastTick.IsZero() && gap > threshold {
		d.resumedAt, d.suspendedFor = now, gap
	}
	d.lastTick = now
}

// MaxMessageDelay returns how long a message that is read now may have waited in the kernel
// during a suspension.
func (d *Detector) MaxMessageDelay(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lastTick.IsZero() {
		return 0
	}
	if gap := now.Sub(d.lastTick); gap > threshold {
		d.observeLocked(now)
	}
	if !d.resumedAt.IsZero() && now.Sub(d.resumedAt) < resumeWindow {
		return d.suspendedFor
	}
	return 0
}
