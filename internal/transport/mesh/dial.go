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
	// redialDelay is the time after which an address that does not respond is dialled
	// again in parallel with the earlier attempts. The kernel retransmits a lost SYN only
	// after a second, and a VM that was powered off may be running again before that.
	redialDelay = 150 * time.Millisecond
	// maxDialAttempts bounds the attempts to open one connection, which may run in parallel.
	maxDialAttempts = 3
)

// dialTCP opens a TCP connection before ctx ends.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := &net.Dialer{KeepAlive: -1}
	return dialStaggered(ctx, func(ctx context.Context) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	})
}

// dialStaggered starts up to maxDialAttempts overlapping dials and returns the first
// connection that opens. An address that refuses the connection is not dialled again.
func dialStaggered(ctx context.Context, dial stagger.Attempt[net.Conn]) (net.Conn, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	attempt := func(ctx context.Context) (net.Conn, error) {
		if err := ctx.Err(); err != nil {
			return nil, context.Cause(ctx)
		}
		conn, err := dial(ctx)
		if errors.Is(err, syscall.ECONNREFUSED) {
			cancel(err)
		}
		return conn, err
	}
	attempts := slices.Repeat([]stagger.Attempt[net.Conn]{attempt}, maxDialAttempts)
	_, conn, err := stagger.First(ctx, redialDelay, attempts, func(unused net.Conn) { _ = unused.Close() })
	return conn, err
}
