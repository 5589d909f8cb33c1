package mesh

import (
	"context"
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
