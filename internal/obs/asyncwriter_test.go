package obs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockingWriter blocks each Write until unblocked is closed.
type blockingWriter struct {
	mu        sync.Mutex
	unblocked chan struct{}
	written   bytes.Buffer
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.unblocked
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

// TestAsyncWriterNeverBlocks guards against a blocked standard output that delays requests,
// against an unbounded queue, and against lines that are neither written nor counted as
// dropped.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	out := &blockingWriter{unblocked: make(chan struct{})}
	w := NewAsyncWriter(out)
	line := []byte(strings.Repeat("x", 99) + "\n")
	for range 3 * maxQueuedLines {
		n, err := w.Write(line)
		assert.NilError(t, err)
		assert.Equal(t, n, len(line))
	}
	assert.Assert(t, w.Dropped() >= maxQueuedLines)
	close(out.unblocked)
	// Flush gives up after flushTimeout, in which a busy machine may not write all lines.
	for deadline := time.Now().Add(20 * time.Second); w.hasUnwritten() && time.Now().Before(deadline); {
		w.Flush()
	}
	out.mu.Lock()
	written := bytes.Count(out.written.Bytes(), line)
	out.mu.Unlock()
	assert.Equal(t, written+int(w.Dropped()), 3*maxQueuedLines) //nolint:gosec // the count is small
}

// TestDroppedLinesAreReported guards against lines that are dropped without a trace in the log:
// whoever reads it would take the missing lines for requests that did not happen.
func TestDroppedLinesAreReported(t *testing.T) {
	out := &blockingWriter{unblocked: make(chan struct{})}
	w := NewAsyncWriter(out)
	line := []byte(strings.Repeat("x", 99) + "\n")
	for w.Dropped() < 7 {
		_, _ = w.Write(line)
	}
	close(out.unblocked)
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		out.mu.Lock()
		text := out.written.String()
		out.mu.Unlock()
		if strings.Contains(text, `"msg":"log lines were dropped"`) {
			assert.Assert(t, strings.Contains(text, `"dropped":7,`), text[strings.LastIndex(text, "x"):])
			return
		}
	}
	t.Fatal("no line reports the dropped ones")
}
