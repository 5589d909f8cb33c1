package distribute

import (
	"io"
	"sync/atomic"
	"time"
)

// progressReader records when bytes arrived last on a stream.
type progressReader struct {
	io.ReadWriter
	openedAt time.Time
	// lastReadNs is the time of the last read in nanoseconds since openedAt. Unlike a time of
	// day, it does not change when the clock is set.
	lastReadNs atomic.Int64
}

func newProgressReader(stream io.ReadWriter) *progressReader {
	return &progressReader{ReadWriter: stream, openedAt: time.Now()}
}

// Read implements io.Reader.
func (p *progressReader) Read(data []byte) (int, error) {
	n, err := p.ReadWriter.Read(data)
	if n > 0 {
		p.lastReadNs.Store(int64(time.Since(p.openedAt)))
	}
	return n, err
}

// lastRead returns the time at which bytes arrived last, or that of the opening.
func (p *progressReader) lastRead() time.Time {
	return p.openedAt.Add(time.Duration(p.lastReadNs.Load()))
}
