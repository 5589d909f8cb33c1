package obs

import (
	"sync"
	"time"

	"github.com/go-kit/log"
)

// rateLimiter writes at most one line per interval to next.
type rateLimiter struct {
	next     log.Logger
	interval time.Duration

	mu          sync.Mutex
	lastWritten time.Time
	suppressed  int // lines dropped since lastWritten
}

// RateLimit returns a logger that drops a line when less than interval has passed since
// the last line that it wrote. Each written line carries the number of lines dropped since
// then under the key suppressed.
func RateLimit(logger log.Logger, interval time.Duration) log.Logger {
	return &rateLimiter{next: logger, interval: interval}
}

// Log writes or drops one line.
func (l *rateLimiter) Log(keyvals ...any) error {
	l.mu.Lock()
	now := time.Now()
	if !l.lastWritten.IsZero() && now.Sub(l.lastWritten) < l.interval {
		l.suppressed++
		l.mu.Unlock()
		return nil
	}
	suppressed := l.suppressed
	l.lastWritten, l.suppressed = now, 0
	l.mu.Unlock()
	return log.With(l.next, "suppressed", suppressed).Log(keyvals...)
}
