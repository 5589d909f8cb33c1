package obs

import (
	"io"
	"sync"
	"time"
)

const (
	// ringLines and ringBytes bound the lines that wait to be written.
	ringLines = 4096
	ringBytes = 1 << 20
	// ringLinesPerSecond bounds the volume of the log.
	ringLinesPerSecond = 400
	// flushTimeout bounds the wait for waiting lines at the end of a program.
	flushTimeout = 500 * time.Millisecond
)

// Ring is a writer that never blocks: a goroutine of its own writes the lines, and lines
// that find it full are dropped and counted.
type Ring struct {
	out io.Writer

	mu      sync.Mutex
	lines   [][]byte
	bytes   int
	dropped uint64
	// tokens and at bound the lines per second.
	tokens float64
	at     time.Time
	wake   chan struct{}
	idle   chan struct{}
}

// NewRing starts the goroutine that writes to out.
func NewRing(out io.Writer) *Ring {
	r := &Ring{tokens: ringLines, at: time.Now(), out: out, wake: make(chan struct{}, 1), idle: make(chan struct{}, 1)}
	go r.run()
	return r
}

// Write takes one line. It never returns an error.
func (r *Ring) Write(line []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.lines) >= ringLines || r.bytes+len(line) > ringBytes || !r.takeLocked(time.Now()) {
		r.dropped++
		return len(line), nil
	}
	r.lines = append(r.lines, append([]byte(nil), line...))
	r.bytes += len(line)
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// takeLocked takes a line from the volume that is allowed.
func (r *Ring) takeLocked(now time.Time) bool {
	if elapsed := now.Sub(r.at); elapsed > 0 {
		r.at = now
		r.tokens = min(ringLines, r.tokens+elapsed.Seconds()*ringLinesPerSecond)
	}
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// Dropped returns the number of lines that were dropped.
func (r *Ring) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

// Flush waits until the waiting lines are written, for at most flushTimeout.
func (r *Ring) Flush() {
	deadline := time.After(flushTimeout)
	for r.waiting() {
		select {
		case <-r.idle:
		case <-deadline:
			return
		}
	}
}

func (r *Ring) waiting() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bytes > 0
}

func (r *Ring) run() {
	for range r.wake {
		for r.writeNext() {
			continue
		}
		select {
		case r.idle <- struct{}{}:
		default:
		}
	}
}

// writeNext writes the lines that wait. A line counts as waiting until it is written.
func (r *Ring) writeNext() bool {
	r.mu.Lock()
	lines, size := r.lines, r.bytes
	r.lines = nil
	r.mu.Unlock()
	if len(lines) == 0 {
		return false
	}
	for _, line := range lines {
		// Nothing can be done about an output that fails; later lines may succeed.
		_, _ = r.out.Write(line)
	}
	r.mu.Lock()
	r.bytes -= size
	r.mu.Unlock()
	return true
}
