package distribute

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/membership"
	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

const (
	reconnectMin = 100 * time.Millisecond
	reconnectMax = 5 * time.Second
	streamBuffer = 16
)

// Sink takes what control distributes and supplies what a node tells control.
// Its methods are called from one goroutine.
type Sink interface {
	// Apply takes a state; it ignores a document of a lower revision.
	Apply(state *wire.StateFull)
	// Heartbeat returns the node's next heartbeat.
	Heartbeat() *wire.Heartbeat
	// Acknowledged reports that control has taken the heartbeat.
	Acknowledged(sequence uint64)
	// Services returns the services whose upstreams the node needs.
	Services() []string
	// Changed delivers a value when Heartbeat or Services have news to send at once.
	Changed() <-chan struct{}
}

// Dialer opens a stream to a control member.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Client keeps a node subscribed to one of the control members.
type Client struct {
	nodeID  string
	members []string
	dial    Dialer
	sink    Sink
	logger  log.Logger
}

// NewClient returns a client that is not yet running.
func NewClient(nodeID string, members []string, dial Dialer, sink Sink, logger log.Logger) *Client {
	return &Client{nodeID: nodeID, members: members, dial: dial, sink: sink, logger: logger}
}

// Run keeps the subscription until ctx ends. It starts at a random member and
// waits a random time between attempts, so that the loss of a member does not
// send all its nodes to another one at once.
func (c *Client) Run(ctx context.Context) {
	next := rand.IntN(len(c.members))
	backoff := reconnectMin
	for ctx.Err() == nil {
		address := c.members[next%len(c.members)]
		next++
		started := time.Now()
		err := c.session(ctx, address)
		if ctx.Err() != nil {
			return
		}
		_ = level.Warn(c.logger).Log("msg", "subscription ended", "member", address, "err", err)
		if time.Since(started) > reconnectMax {
			backoff = reconnectMin
		}
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, reconnectMax)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (c *Client) session(ctx context.Context, address string) error {
	stream, err := c.dial(ctx, address)
	if err != nil {
		return errors.Wrap(err, "distribute: connect")
	}
	defer func() { _ = stream.Close() }()
	conn := frame.NewConn(stream)
	if err := c.sendSubscribe(conn); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	incoming := make(chan *wire.Envelope, streamBuffer)
	go receive(ctx, cancel, conn, incoming)
	return c.exchange(ctx, conn, incoming)
}

func (c *Client) exchange(ctx context.Context, conn *frame.Conn, incoming <-chan *wire.Envelope) error {
	ticker := time.NewTicker(membership.HeartbeatInterval)
	defer ticker.Stop()
	if err := c.sendHeartbeat(conn); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return errors.New("distribute: stream ended")
		case <-ticker.C:
			if err := c.sendHeartbeat(conn); err != nil {
				return err
			}
		case <-c.sink.Changed():
			if err := c.sendHeartbeat(conn); err != nil {
				return err
			}
			if err := c.sendSubscribe(conn); err != nil {
				return err
			}
		case message := <-incoming:
			c.handle(message)
		}
	}
}

func (c *Client) handle(message *wire.Envelope) {
	if state := message.GetStateFull(); state != nil {
		c.sink.Apply(state)
	}
	if ack := message.GetHeartbeatAck(); ack != nil {
		c.sink.Acknowledged(ack.GetSequence())
	}
}

func (c *Client) sendSubscribe(conn *frame.Conn) error {
	return conn.SendNow(&wire.Envelope{Body: &wire.Envelope_Subscribe{Subscribe: &wire.Subscribe{
		NodeId:   c.nodeID,
		Services: c.sink.Services(),
	}}})
}

func (c *Client) sendHeartbeat(conn *frame.Conn) error {
	return conn.SendNow(&wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: c.sink.Heartbeat()}})
}
