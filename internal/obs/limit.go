package obs

import (
	"sync"
	"time"

	"github.com/go-kit/log"
)

// limited passes on at most one line in each interval.
type limited struct {
	next     log.Logger
	interval time.Duration

	mu         sync.Mutex
	last       time.Time
	suppressed int
}

// Limit returns a logger that drops lines less than interval after the last one that
// it wrote. Each line has the number of lines dropped before it.
func Limit(logger log.Logger, interval time.Duration) log.Logger {
	return &limited{next: logger, interval: interval}
}

// Log writes or drops a line.
func (l *limited) Log(keyvals ...any) error {
	l.mu.Lock()
	now := time.Now()
	if !l.last.IsZero() && now.Sub(l.last) < l.interval {
		l.suppressed++
		l.mu.Unlock()
		return nil
	}
	suppressed := l.suppressed
	l.last, l.suppressed = now, 0
	l.mu.Unlock()
	return log.With(l.next, "suppressed", suppressed).Log(keyvals...)
}
