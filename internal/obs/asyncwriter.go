package obs

import (
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// maxQueuedLines and maxQueuedBytes bound the queue of an AsyncWriter; maxQueuedLines
	// is also the burst size of its token bucket.
	maxQueuedLines = 4096
	maxQueuedBytes = 1 << 20
	// maxLinesPerSecond limits the volume of the log; it is the refill rate of the token
	// bucket.
	maxLinesPerSecond = 400
	// dropReportInterval is the shortest time between two lines that report dropped ones.
	dropReportInterval = time.Second
	// flushTimeout bounds the wait for queued lines when a program exits.
	flushTimeout = 500 * time.Millisecond
)

// AsyncWriter is an io.Writer that never blocks: it queues lines, which a goroutine of its
// own writes. Lines that do not fit in the queue or exceed the rate limit are dropped and
// counted; a line of its own tells how many.
type AsyncWriter struct {
	out io.Writer

	mu             sync.Mutex
	queue          [][]byte
	unwrittenBytes int
	dropped        uint64
	// reportedDrops is the part of dropped that a line has reported, at reportedAt.
	reportedDrops uint64
	reportedAt    time.Time
	// tokens and refilledAt are the token bucket that limits the lines per second.
	tokens     float64
	refilledAt time.Time
	wake       chan struct{} // signals that lines are queued
	idle       chan struct{} // signals that the queued lines have been written
}

// NewAsyncWriter returns a writer and starts its goroutine, which writes to out and never
// ends.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{tokens: maxQueuedLines, refilledAt: time.Now(), out: out, wake: make(chan struct{}, 1), idle: make(chan struct{}, 1)}
	go w.run()
	return w
}

// Write queues or drops one line. It never returns an error.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) >= maxQueuedLines || w.unwrittenBytes+len(line) > maxQueuedBytes || !w.takeTokenLocked(time.Now()) {
		w.dropped++
		return len(line), nil
	}
	w.queue = append(w.queue, append([]byte(nil), line...))
	w.unwrittenBytes += len(line)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// takeTokenLocked takes a token for one line from the token bucket. It returns false if the
// bucket is empty.
func (w *AsyncWriter) takeTokenLocked(now time.Time) bool {
	if elapsed := now.Sub(w.refilledAt); elapsed > 0 {
		w.refilledAt = now
		w.tokens = min(maxQueuedLines, w.tokens+elapsed.Seconds()*maxLinesPerSecond)
	}
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

// Dropped returns the number of lines that were dropped.
func (w *AsyncWriter) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Flush waits until all accepted lines are written, for at most flushTimeout.
func (w *AsyncWriter) Flush() {
	deadline := time.After(flushTimeout)
	for w.hasUnwritten() {
		select {
		case <-w.idle:
		case <-deadline:
			return
		}
	}
}

func (w *AsyncWriter) hasUnwritten() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.unwrittenBytes > 0
}

func (w *AsyncWriter) run() {
	for range w.wake {
		for w.writeQueue() {
			w.reportDrops()
		}
		select {
		case w.idle <- struct{}{}:
		default:
		}
	}
}

// writeQueue writes the queued lines and returns false if there were none. Lines count
// towards unwrittenBytes until they are written.
func (w *AsyncWriter) writeQueue() bool {
	w.mu.Lock()
	lines, size := w.queue, w.unwrittenBytes
	w.queue = nil
	w.mu.Unlock()
	if len(lines) == 0 {
		return false
	}
	for _, line := range lines {
		// There is no way to report a failed write; later lines may succeed.
		_, _ = w.out.Write(line)
	}
	w.mu.Lock()
	w.unwrittenBytes -= size
	w.mu.Unlock()
	return true
}

// reportDrops writes a line with the number of lines dropped since the last report, at most
// once in dropReportInterval.
func (w *AsyncWriter) reportDrops() {
	w.mu.Lock()
	now := time.Now()
	unreported := w.dropped - w.reportedDrops
	isDue := unreported > 0 && now.Sub(w.reportedAt) >= dropReportInterval
	if isDue {
		w.reportedDrops, w.reportedAt = w.dropped, now
	}
	w.mu.Unlock()
	if !isDue {
		return
	}
	// As in writeQueue, there is no way to report a failed write.
	logger := log.With(log.NewJSONLogger(w.out), "ts", log.DefaultTimestampUTC)
	_ = level.Warn(logger).Log("msg", "log lines were dropped", "dropped", unreported)
}
