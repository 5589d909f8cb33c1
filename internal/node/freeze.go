package node

import (
	"context"
	"sync"
	"time"
)

const (
	freezeTick = 100 * time.Millisecond
	// freezeGap is the delay of a tick from which the process counts as frozen.
	freezeGap = 300 * time.Millisecond
	// freezeBacklog is the time after a freeze in which messages are read that may
	// have waited in the kernel since before it.
	freezeBacklog = 500 * time.Millisecond
)

// freezeGuard detects that the process was stopped and continued. The time left in
// a request head counts from when the entry wrote it; a head that waited in the
// kernel while the node was frozen is older than it seems.
type freezeGuard struct {
	mu      sync.Mutex
	last    time.Time
	resumed time.Time
	length  time.Duration
}

func (g *freezeGuard) run(ctx context.Context) {
	ticker := time.NewTicker(freezeTick)
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

func (g *freezeGuard) tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observeLocked(now)
}

func (g *freezeGuard) observeLocked(now time.Time) {
	if gap := now.Sub(g.last); !g.last.IsZero() && gap > freezeGap {
		g.resumed, g.length = now, gap
	}
	g.last = now
}

// age returns how much older than it seems a message may be that is read now.
func (g *freezeGuard) age(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.last.IsZero() {
		return 0
	}
	if gap := now.Sub(g.last); gap > freezeGap {
		g.observeLocked(now)
	}
	if !g.resumed.IsZero() && now.Sub(g.resumed) < freezeBacklog {
		return g.length
	}
	return 0
}
