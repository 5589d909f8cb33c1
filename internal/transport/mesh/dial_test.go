package mesh

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestDialStaggered guards against waiting for the kernel to retransmit a SYN that was
// lost because the VM was powered off, and against redialling an address that refused
// the connection.
func TestDialStaggered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const poweredOnAfter = 2 * redialDelay
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), DefaultConfig().DialTimeout)
		defer cancel()
		_, err := dialStaggered(ctx, func(ctx context.Context) (net.Conn, error) {
			if time.Since(start) < poweredOnAfter {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			conn, _ := net.Pipe()
			return conn, nil
		})
		assert.NilError(t, err)
		assert.Equal(t, time.Since(start), poweredOnAfter)
	})
	dials := 0
	_, err := dialStaggered(t.Context(), func(context.Context) (net.Conn, error) {
		dials++
		return nil, os.NewSyscallError("connect", syscall.ECONNREFUSED)
	})
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	assert.Equal(t, dials, 1)
}
