package distribute

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

const (
	minReconnectBackoff = 100 * time.Millisecond
	maxReconnectBackoff = 5 * time.Second
	// reconnectJitter is the upper bound of the random delay before a node reconnects
	// after a session in which it received a state. All nodes of a failed member start to
	// reconnect within it; most of the lease remains for the connection attempts.
	reconnectJitter = 500 * time.Millisecond
	// isolatedMemberCooldown is how long a node avoids a member that has no contact with a
	// quorum. Afterwards the node tries it again, since all others may be unreachable.
	isolatedMemberCooldown = 5 * time.Second
	// failoverJitter is the upper bound of the random delay before a node leaves a member
	// without quorum contact for another one.
	failoverJitter = 200 * time.Millisecond
	// minSessionDuration and maxSessionDuration bound the random duration of a session. At
	// its end the node reconnects to a random member, so that a recovered member gets its
	// share of nodes within about 20 minutes without a reconnect storm.
	minSessionDuration = 10 * time.Minute
	maxSessionDuration = 20 * time.Minute
	// firstStateTimeout bounds the wait for the first state with a registry in a session.
	// It includes the time that the member has for its linearizable read.
	firstStateTimeout = readBarrierTimeout + 2*time.Second
	// deregisterTimeout bounds the wait for the acknowledgement of the last heartbeat.
	deregisterTimeout = 500 * time.Millisecond
	// keepaliveIdle is the time without a message after which the node sends an extra
	// heartbeat as a probe, and keepaliveTimeout the time without a reply to a heartbeat
	// after which the session ends. A connection can stop delivering data without being
	// closed; the node must reach another member early enough to receive the next revision
	// in time.
	keepaliveIdle    = 800 * time.Millisecond
	keepaliveTimeout = 800 * time.Millisecond
	// keepaliveCheckInterval is the interval of the keepalive checks.
	keepaliveCheckInterval = 200 * time.Millisecond
	receiveBufferMessages  = 16
)

var (
	// errSessionExpired ends a session that has reached its random duration.
	errSessionExpired    = errors.New("distribute: session duration reached")
	errStreamEnded       = errors.New("distribute: stream from the control member ended")
	errKeepaliveTimeout  = errors.New("distribute: control member does not reply to heartbeats")
	errIsolated          = errors.New("distribute: control member has no contact with a quorum")
	errFirstStateTimeout = errors.New("distribute: control member sent no state within the time limit")
)

// Sink receives the state that control distributes and supplies what the node reports
// to control. Its methods are called from one goroutine.
type Sink interface {
	// Apply applies a full state; it ignores a document of a lower revision.
	Apply(state *wire.StateFull)
	// ApplyDiff applies a diff. It returns false when the base revision of the document
	// part is not the revision that the node has.
	ApplyDiff(diff *wire.StateDiff) bool
	// Revision returns the revision in force at the node.
	Revision() uint64
	// Heartbeat returns the node's next heartbeat.
	Heartbeat() *wire.Heartbeat
	// SetNodeCount sets the number of nodes that control knows of.
	SetNodeCount(nodes int)
	// HeartbeatAcknowledged reports that control has acknowledged the heartbeat with this
	// sequence number.
	HeartbeatAcknowledged(sequence uint64)
	// Services returns the services whose upstreams the node needs.
	Services() []string
	// HeartbeatRequested returns a channel that receives a value when the result of
	// Heartbeat or Services has changed and must be sent without waiting for the next
	// interval.
	HeartbeatRequested() <-chan struct{}
}

// Dialer opens a stream to a control member.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Client keeps a node subscribed to one of the control members.
type Client struct {
	nodeID string
	// configured holds the member addresses from the settings, learned those from the last
	// heartbeat acknowledgement that listed any.
	configured atomic.Pointer[[]string]
	learned    atomic.Pointer[[]string]
	// isolatedUntil maps the address of a member to the time until which it is avoided.
	isolatedUntil map[string]time.Time
	// lastContact is the time in Unix nanoseconds of the last acknowledgement of a member that
	// has contact with a quorum, 0 before the first.
	lastContact atomic.Int64
	dial        Dialer
	sink        Sink
	quotas      QuotaReporter
	logger      log.Logger
}

// NewClient returns a client that is not yet running.
func NewClient(nodeID string, members []string, dial Dialer, sink Sink, logger log.Logger) *Client {
	c := &Client{isolatedUntil: map[string]time.Time{}, nodeID: nodeID, dial: dial, sink: sink, logger: logger}
	c.learned.Store(&[]string{})
	c.SetMembers(members)
	return c
}

// SetMembers replaces the member addresses from the settings; there must be at least
// one. Any goroutine may call it.
func (c *Client) SetMembers(members []string) { c.configured.Store(&members) }

// Run maintains the subscription until ctx ends; then it deregisters the node. It
// starts with a random member and waits a random time between attempts, so that the
// nodes of a failed member do not all reconnect to another one at once.
func (c *Client) Run(ctx context.Context) {
	next := rand.IntN(len(c.Members()))
	backoff := minReconnectBackoff
	for ctx.Err() == nil {
		members := c.Members()
		address, receivedState, err := c.session(ctx, c.dialOrder(members, next))
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, errSessionExpired):
			next = rand.IntN(len(members))
			continue
		case errors.Is(err, errIsolated):
			c.logSessionEnd(address, err)
			sleep(ctx, rand.N(failoverJitter))
		case receivedState:
			backoff = minReconnectBackoff
			c.logSessionEnd(address, err)
			sleep(ctx, rand.N(reconnectJitter))
		default:
			c.logSessionEnd(address, err)
			sleep(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxReconnectBackoff)
		}
		next = slices.Index(members, address) + 1
	}
}

// Members returns the learned addresses, then the configured ones. The configured
// addresses are kept because all learned members may have been replaced since. Any goroutine
// may call it.
func (c *Client) Members() []string {
	members := slices.Clone(*c.learned.Load())
	for _, address := range *c.configured.Load() {
		if !slices.Contains(members, address) {
			members = append(members, address)
		}
	}
	return members
}

// ContactAge returns the time since a control member that has contact with a quorum last
// acknowledged a heartbeat. A member without it may lack the latest configuration. Before the
// first acknowledgement the result is longer than any limit. Any goroutine may call it.
func (c *Client) ContactAge(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, c.lastContact.Load()))
}

func (c *Client) logSessionEnd(address string, err error) {
	_ = level.Warn(c.logger).Log("msg", "subscription to control member failed; reconnecting", "member", address, "err", err)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
