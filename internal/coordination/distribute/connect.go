package distribute

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
)

// connectStagger is the time after which the next member is dialled while a connection to
// the one before is still open-ended: a VM without power does not answer at all.
const connectStagger = 200 * time.Millisecond

type dialled struct {
	address string
	stream  net.Conn
	err     error
}

// connect opens a stream to the first of the members that can be reached. Each is given
// connectStagger, or until it refuses, before the next one is dialled as well.
func (c *Client) connect(ctx context.Context, addresses []string) (string, net.Conn, error) {
	dialCtx, cancel := context.WithCancel(ctx)
	results := make(chan dialled, len(addresses))
	begun, pending := 0, 0
	dialNext := func() {
		if begun == len(addresses) {
			return
		}
		address := addresses[begun]
		begun++
		pending++
		go func() {
			stream, err := c.dial(dialCtx, address)
			results <- dialled{address, stream, err}
		}()
	}
	// Streams that open after the first one are closed again.
	defer func() {
		cancel()
		go closeLate(results, pending)
	}()
	stagger := time.NewTicker(connectStagger)
	defer stagger.Stop()
	dialNext()
	var failed error
	for pending > 0 {
		select {
		case result := <-results:
			pending--
			if result.err == nil {
				return result.address, result.stream, nil
			}
			failed = errors.Wrap(result.err, "distribute: connect")
			dialNext()
		case <-stagger.C:
			dialNext()
		}
	}
	return addresses[0], nil, failed
}

func closeLate(results <-chan dialled, pending int) {
	for range pending {
		if result := <-results; result.err == nil {
			_ = result.stream.Close()
		}
	}
}

// inTurn returns the members from the one at next on, those that are avoided last.
func (c *Client) inTurn(members []string, next int) []string {
	now := time.Now()
	var open, avoided []string
	for i := range members {
		address := members[(next+i)%len(members)]
		if now.Before(c.isolated[address]) {
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
