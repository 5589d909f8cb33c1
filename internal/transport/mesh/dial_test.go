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

// TestDialStaggered guards against waiting for the kernel's repeat of an opening packet
// that a VM without power has lost, and against dialling an address that refuses again.
func TestDialStaggered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const powerReturns = 2 * redialDelay
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), DefaultConfig().DialTimeout)
		defer cancel()
		_, err := dialStaggered(ctx, func(ctx context.Context) (net.Conn, error) {
			if time.Since(began) < powerReturns {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			near, _ := net.Pipe()
			return near, nil
		})
		assert.NilError(t, err)
		assert.Equal(t, time.Since(began), powerReturns)
	})
	dials := 0
	_, err := dialStaggered(t.Context(), func(context.Context) (net.Conn, error) {
		dials++
		return nil, os.NewSyscallError("connect", syscall.ECONNREFUSED)
	})
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	assert.Equal(t, dials, 1)
}
