package distribute

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/transport/stagger"
)

// connectAttemptDelay is the time after which the next member is dialled while the attempt
// to connect to the previous one is still pending: a powered-off VM never answers, so the
// attempt would last until its timeout.
const connectAttemptDelay = 200 * time.Millisecond

// connect opens a stream to the first of the members to accept a connection. Each attempt
// gets connectAttemptDelay, or until it fails, before the next member is dialled as well.
func (c *Client) connect(ctx context.Context, addresses []string) (string, net.Conn, error) {
	attempts := make([]stagger.Attempt[net.Conn], len(addresses))
	for i, address := range addresses {
		attempts[i] = func(ctx context.Context) (net.Conn, error) { return c.dial(ctx, address) }
	}
	index, stream, err := stagger.First(ctx, connectAttemptDelay, attempts, func(unused net.Conn) { _ = unused.Close() })
	if err != nil {
		return addresses[0], nil, errors.Wrap(err, "distribute: connect to a control member")
	}
	return addresses[index], stream, nil
}

// candidates returns the members that are not avoided, in rotation from the one at index
// next, or all of them when every member is avoided.
func (c *Client) candidates(members []string, next int) []string {
	now := time.Now()
	var available, avoided []string
	for i := range members {
		address := members[(next+i)%len(members)]
		if now.Before(c.isolatedUntil[address]) {
			avoided = append(avoided, address)
		} else {
			available = append(available, address)
		}
	}
	if len(available) > 0 {
		return available
	}
	return avoided
}

// dialOrder returns the candidates, then the avoided members in rotation. An avoided member
// may have its quorum back, while the candidates that are left may be frozen.
func (c *Client) dialOrder(members []string, next int) []string {
	order := c.candidates(members, next)
	for i := range members {
		address := members[(next+i)%len(members)]
		if !slices.Contains(order, address) {
			order = append(order, address)
		}
	}
	return order
}
