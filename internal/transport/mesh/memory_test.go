package mesh

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/coordination/memlimit"
)

// TestUnreadStreams guards against bytes that a handler does not read and that are not counted, a
// session that exceeds the limit, and bytes that stay counted after the session has ended.
func TestUnreadStreams(t *testing.T) {
	config := DefaultConfig()
	config.Ledger = memlimit.NewLedger(memlimit.Limits{Total: 1 << 20, StallAfter: time.Minute})
	done := make(chan struct{})
	address := startServer(t, config, func(context.Context, net.Conn) { <-done })
	client := NewClient(DefaultConfig())
	for range 4 {
		stream, err := client.OpenNew(context.Background(), address, Small)
		assert.NilError(t, err)
		_ = stream.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		_, _ = stream.Write(make([]byte, 200<<10))
	}
	time.Sleep(100 * time.Millisecond)
	held := config.Ledger.Counts().Held
	assert.Assert(t, held > 400<<10 && held <= 1<<20, "%d bytes counted", held)
	close(done)
	client.Close()
	for range 300 {
		if config.Ledger.Counts().Held == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%d bytes are still counted", config.Ledger.Counts().Held)
}

// splitConn returns its bytes in reads of at most step bytes.
type splitConn struct {
	net.Conn
	unread []byte
	step   int
}

func (c *splitConn) Read(p []byte) (int, error) {
	if len(c.unread) == 0 {
		return 0, io.EOF
	}
	n := copy(p[:min(len(p), c.step)], c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// FuzzCountedConn guards against a count that depends on how frames are split into reads, that is
// below the unread bytes of the streams, or that isn't zero once all streams have ended.
func FuzzCountedConn(f *testing.F) {
	f.Add([]byte("\x00\x00\x00\x01\x00\x00\x00\x01\x00\x00\x00\x03abc\x00\x01\x00\x04\x00\x00\x00\x01\x00\x00\x00\x00"), byte(5))
	f.Add([]byte("\x00\x01\x00\x01\x00\x00\x00\x01\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x01\x00\x02\x00\x00data"), byte(1))
	f.Fuzz(func(t *testing.T, data []byte, step byte) {
		var held [2]int64
		for i, size := range []int{len(data) + 1, int(step) + 1} {
			ledger := memlimit.NewLedger(memlimit.Limits{})
			account, err := ledger.Open(time.Now(), "a", 0, func() {})
			assert.NilError(t, err)
			c := newCountedConn(&splitConn{unread: data, step: size}, account)
			_, _ = io.Copy(io.Discard, struct{ io.Reader }{c})
			held[i] = account.Held()
			var unread int64
			for _, stream := range c.streams {
				unread += stream.unread
			}
			assert.Assert(t, held[i] >= unread)
			for id := range c.streams {
				c.endStream(id, func(s *countedStream) { s.endedHere, s.endedBy = true, true })
			}
			assert.Equal(t, account.Held(), int64(0))
		}
		assert.Equal(t, held[0], held[1])
	})
}
