package mesh

import (
	"context"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/transport/stagger"
)

const (
	// redialDelay is the time after which an address that does not answer is dialled once
	// more beside the first attempt. The kernel repeats a lost opening packet only after a
	// second, and a VM that had no power a moment ago may have it by then.
	redialDelay = 150 * time.Millisecond
	// maxDialAttempts bounds the attempts beside one another.
	maxDialAttempts = 3
)

// dialTCP opens a connection within the time of ctx.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := &net.Dialer{KeepAlive: -1}
	return dialStaggered(ctx, func(ctx context.Context) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	})
}

// dialStaggered returns the first connection that opens. An address that refuses is not
// dialled again.
func dialStaggered(ctx context.Context, dial stagger.Attempt[net.Conn]) (net.Conn, error) {
	ctx, refuse := context.WithCancelCause(ctx)
	defer refuse(nil)
	once := func(ctx context.Context) (net.Conn, error) {
		if err := ctx.Err(); err != nil {
			return nil, context.Cause(ctx)
		}
		conn, err := dial(ctx)
		if errors.Is(err, syscall.ECONNREFUSED) {
			refuse(err)
		}
		return conn, err
	}
	attempts := slices.Repeat([]stagger.Attempt[net.Conn]{once}, maxDialAttempts)
	_, conn, err := stagger.First(ctx, redialDelay, attempts, func(unused net.Conn) { _ = unused.Close() })
	return conn, err
}
