package node

import (
	"context"
	"sync"
	"time"
)

const (
	suspensionTick = 100 * time.Millisecond
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

func (g *suspensionDetector) run(ctx context.Context) {
	ticker := time.NewTicker(suspensionTick)
	defer ticker.Stop()
	g.tick(time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.tick(time.Now())
		}
	}
}

func (g *suspensionDetector) tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observeLocked(now)
}

func (g *suspensionDetector) observeLocked(now time.Time) {
	if gap := now.Sub(g.lastTick); !g.lastTick.IsZero() && gap > suspensionThreshold {
		g.resumedAt, g.suspendedFor = now, gap
	}
	g.lastTick = now
}

// maxMessageDelay returns how long a message that is read now may have waited in the kernel
// during a suspension.
func (g *suspensionDetector) maxMessageDelay(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lastTick.IsZero() {
		return 0
	}
	if gap := now.Sub(g.lastTick); gap > suspensionThreshold {
		g.observeLocked(now)
	}
	if !g.resumedAt.IsZero() && now.Sub(g.resumedAt) < resumeWindow {
		return g.suspendedFor
	}
	return 0
}
