package distribute

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/transport/stagger"
)

// connectAttemptDelay is the time after which the next member is dialled while a connection to
// the one before is still open-ended: a VM without power does not answer at all.
const connectAttemptDelay = 200 * time.Millisecond

// connect opens a stream to the first of the members that can be reached. Each is given
// connectStagger, or until it refuses, before the next one is dialled as well.
func (c *Client) connect(ctx context.Context, addresses []string) (string, net.Conn, error) {
	attempts := make([]stagger.Attempt[net.Conn], len(addresses))
	for i, address := range addresses {
		attempts[i] = func(ctx context.Context) (net.Conn, error) { return c.dial(ctx, address) }
	}
	index, stream, err := stagger.First(ctx, connectAttemptDelay, attempts, func(unused net.Conn) { _ = unused.Close() })
	if err != nil {
		return addresses[0], nil, errors.Wrap(err, "distribute: connect")
	}
	return addresses[index], stream, nil
}

// candidates returns the members from the one at next on, those that are avoided last.
func (c *Client) candidates(members []string, next int) []string {
	now := time.Now()
	var open, avoided []string
	for i := range members {
		address := members[(next+i)%len(members)]
		if now.Before(c.isolatedUntil[address]) {
			avoided = append(avoided, address)
		} else {
			open = append(open, address)
		}
	}
	if len(open) > 0 {
		return open
	}
	return avoided
}
