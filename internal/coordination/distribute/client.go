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

	"github.com/chicorylever/chicorylever/internal/coordination/membership"
	"github.com/chicorylever/chicorylever/internal/protocol/frame"
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
	// heartbeat acknowledgement that listed any. Only the goroutine of Run uses learned.
	configured atomic.Pointer[[]string]
	learned    []string
	// isolatedUntil maps the address of a member to the time until which it is avoided.
	isolatedUntil map[string]time.Time
	dial          Dialer
	sink          Sink
	logger        log.Logger
}

// NewClient returns a client that is not yet running.
func NewClient(nodeID string, members []string, dial Dialer, sink Sink, logger log.Logger) *Client {
	c := &Client{isolatedUntil: map[string]time.Time{}, nodeID: nodeID, dial: dial, sink: sink, logger: logger}
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
	next := rand.IntN(len(c.members()))
	backoff := minReconnectBackoff
	for ctx.Err() == nil {
		members := c.members()
		address, receivedState, err := c.session(ctx, c.candidates(members, next))
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

// handleIsolation handles an acknowledgement from a member without quorum contact. It
// returns errIsolated, and marks the member as avoided, when another member is not
// avoided. It returns nil when there is none, or when this member is already avoided,
// since the node connects to such a member only when it avoids all of them.
func (s *session) handleIsolation() error {
	c, now := s.client, time.Now()
	isAlternative := func(address string) bool { return address != s.address && !now.Before(c.isolatedUntil[address]) }
	if now.Before(c.isolatedUntil[s.address]) || !slices.ContainsFunc(c.members(), isAlternative) {
		return nil
	}
	c.isolatedUntil[s.address] = now.Add(isolatedMemberCooldown)
	return errIsolated
}

// members returns the learned addresses, then the configured ones. The configured
// addresses are kept because all learned members may have been replaced since.
func (c *Client) members() []string {
	members := slices.Clone(c.learned)
	for _, address := range *c.configured.Load() {
		if !slices.Contains(members, address) {
			members = append(members, address)
		}
	}
	return members
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

// session is one stream to a control member.
type session struct {
	client      *Client
	address     string
	conn        *frame.Conn
	incoming    chan *wire.Envelope
	receiveDone chan struct{}
	// registryVersion is the version of the registry received last on this stream. It is
	// valid once hasState is set, which the first state with a registry does.
	registryVersion uint64
	hasState        bool
	// startedAt is when the client began to connect, connectedAt when a member accepted.
	startedAt, connectedAt time.Time
	// lastReceived is the time of the last received message, unansweredSince that of the
	// first heartbeat sent after it; zero when none was sent.
	lastReceived, unansweredSince time.Time
	// services are those of the last sent subscription, sorted.
	services []string
}

// session runs one session with the first of the members to accept a connection. It
// returns the address of that member and whether it sent a state with a registry.
func (c *Client) session(ctx context.Context, addresses []string) (address string, receivedState bool, err error) {
	startedAt := time.Now()
	address, stream, err := c.connect(ctx, addresses)
	if err != nil {
		return address, false, err
	}
	defer func() { _ = stream.Close() }()
	s := &session{
		client:      c,
		address:     address,
		conn:        frame.NewConn(stream),
		incoming:    make(chan *wire.Envelope, receiveBufferMessages),
		receiveDone: make(chan struct{}),
		startedAt:   startedAt,
		connectedAt: time.Now(),
	}
	readCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go s.receive(readCtx)
	err = s.run(ctx)
	if ctx.Err() != nil {
		s.deregister()
	}
	return address, s.hasState, err
}

// receive passes messages to run; a full channel stops reading from the stream.
func (s *session) receive(ctx context.Context) {
	defer close(s.receiveDone)
	for {
		message, err := s.conn.Receive()
		if err != nil {
			return
		}
		select {
		case s.incoming <- message:
		case <-ctx.Done():
			return
		}
	}
}

// run subscribes, sends heartbeats and handles the messages of the member until ctx or
// the session ends.
func (s *session) run(ctx context.Context) error {
	if err := s.sendSubscribe(); err != nil {
		return err
	}
	if err := s.sendHeartbeat(); err != nil {
		return err
	}
	heartbeats := time.NewTicker(membership.HeartbeatInterval)
	defer heartbeats.Stop()
	keepaliveChecks := time.NewTicker(keepaliveCheckInterval)
	defer keepaliveChecks.Stop()
	expiry := time.NewTimer(minSessionDuration + rand.N(maxSessionDuration-minSessionDuration))
	defer expiry.Stop()
	firstState := time.NewTimer(firstStateTimeout)
	defer firstState.Stop()
	for {
		var err error
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.receiveDone:
			return errStreamEnded
		case <-expiry.C:
			return errSessionExpired
		case <-firstState.C:
			if !s.hasState {
				return errFirstStateTimeout
			}
		case <-heartbeats.C:
			err = s.sendHeartbeat()
		case now := <-keepaliveChecks.C:
			err = s.checkKeepalive(now)
		case <-s.client.sink.HeartbeatRequested():
			err = s.sendUpdate()
		case message := <-s.incoming:
			s.lastReceived, s.unansweredSince = time.Now(), time.Time{}
			err = s.handle(message)
		}
		if err != nil {
			return err
		}
	}
}

// checkKeepalive sends a heartbeat as a probe when no message has arrived for
// keepaliveIdle. It returns errKeepaliveTimeout when a heartbeat has had no reply for
// keepaliveTimeout.
func (s *session) checkKeepalive(now time.Time) error {
	switch {
	case !s.hasState || now.Sub(s.lastReceived) < keepaliveIdle:
		return nil
	case s.unansweredSince.IsZero():
		return s.sendHeartbeat()
	case now.Sub(s.unansweredSince) > keepaliveTimeout:
		return errKeepaliveTimeout
	}
	return nil
}

// sendUpdate sends a heartbeat, and a new subscription when the services have changed.
func (s *session) sendUpdate() error {
	if err := s.sendHeartbeat(); err != nil {
		return err
	}
	if slices.Equal(s.services, sortedServices(s.client.sink)) {
		return nil
	}
	return s.sendSubscribe()
}

func sortedServices(sink Sink) []string {
	services := slices.Clone(sink.Services())
	slices.Sort(services)
	return services
}

// handle processes a message of the member. When the base of a diff is not the state
// that the node has, it subscribes again to get a full state.
func (s *session) handle(message *wire.Envelope) error {
	switch {
	case message.GetStateFull() != nil:
		state := message.GetStateFull()
		isFirst := false
		if !state.GetDocumentOnly() {
			isFirst = !s.hasState
			s.registryVersion, s.hasState = state.GetRegistryVersion(), true
		}
		s.client.sink.Apply(state)
		if isFirst {
			s.logFirstState()
		}
	case message.GetStateDiff() != nil:
		diff := message.GetStateDiff()
		if diff.GetRegistryVersion() != 0 {
			if !s.hasState || diff.GetBaseVersion() != s.registryVersion {
				return s.sendSubscribe()
			}
			s.registryVersion = diff.GetRegistryVersion()
		}
		if !s.client.sink.ApplyDiff(diff) {
			return s.sendSubscribe()
		}
	case message.GetHeartbeatAck() != nil:
		if members := message.GetHeartbeatAck().GetMembers(); len(members) > 0 {
			s.client.learned = members
		}
		s.client.sink.SetNodeCount(int(message.GetHeartbeatAck().GetNodes()))
		s.client.sink.HeartbeatAcknowledged(message.GetHeartbeatAck().GetSequence())
		if message.GetHeartbeatAck().GetIsolated() {
			return s.handleIsolation()
		}
	default:
		return errors.WithMessage(frame.ErrUnexpected, "control member sent neither state nor heartbeat acknowledgement")
	}
	return nil
}

// logFirstState logs that the node has the state of a member, with the time that connecting
// and the state itself took.
func (s *session) logFirstState() {
	_ = level.Info(s.client.logger).Log("msg", "subscribed to control member", "member", s.address,
		"revision", s.client.sink.Revision(),
		"connect_ms", s.connectedAt.Sub(s.startedAt).Milliseconds(), "state_ms", time.Since(s.connectedAt).Milliseconds())
}

// deregister tells control that the node is stopping and waits for the acknowledgement.
func (s *session) deregister() {
	heartbeat := s.client.sink.Heartbeat()
	heartbeat.Stopping = true
	if s.conn.SendAndFlush(&wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: heartbeat}}) != nil {
		return
	}
	timeout := time.NewTimer(deregisterTimeout)
	defer timeout.Stop()
	for {
		select {
		case <-timeout.C:
			return
		case <-s.receiveDone:
			return
		case message := <-s.incoming:
			if ack := message.GetHeartbeatAck(); ack.GetSequence() == heartbeat.GetSequence() && ack != nil {
				return
			}
		}
	}
}

func (s *session) sendSubscribe() error {
	s.services = sortedServices(s.client.sink)
	return s.conn.SendAndFlush(&wire.Envelope{Body: &wire.Envelope_Subscribe{Subscribe: &wire.Subscribe{
		NodeId:       s.client.nodeID,
		Services:     s.services,
		HaveRevision: s.client.sink.Revision(),
	}}})
}

func (s *session) sendHeartbeat() error {
	if s.unansweredSince.IsZero() {
		s.unansweredSince = time.Now()
	}
	return s.conn.SendAndFlush(&wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: s.client.sink.Heartbeat()}})
}
