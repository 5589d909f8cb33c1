package obs

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// gate is an output that blocks until it is opened.
type gate struct {
	mu      sync.Mutex
	open    chan struct{}
	written bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.written.Write(p)
}

// TestRingNeverBlocks guards against a blocked standard output that holds up requests,
// against lines without a bound, and against lines that are lost although there was room.
func TestRingNeverBlocks(t *testing.T) {
	out := &gate{open: make(chan struct{})}
	r := NewRing(out)
	line := []byte(strings.Repeat("x", 99) + "\n")
	for range 3 * ringLines {
		n, err := r.Write(line)
		assert.NilError(t, err)
		assert.Equal(t, n, len(line))
	}
	assert.Assert(t, r.Dropped() >= ringLines)
	close(out.open)
	r.Flush()
	out.mu.Lock()
	written := out.written.Len() / len(line)
	out.mu.Unlock()
	assert.Equal(t, written+int(r.Dropped()), 3*ringLines) //nolint:gosec // small
}
