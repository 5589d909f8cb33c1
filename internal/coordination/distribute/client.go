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
	// reconnectJitter is the range of the random wait after a working session
	// ended. All nodes of a lost member reconnect within it; it leaves most of
	// the lease for the attempts themselves.
	reconnectJitter = 500 * time.Millisecond
	// isolatedMemberCooldown is how long a member that has no contact with a quorum is avoided.
	// After it the member is asked again, since all others may be out of reach.
	isolatedMemberCooldown = 5 * time.Second
	// failoverJitter is the range of the random wait before a node moves from such a member
	// to another one.
	failoverJitter = 200 * time.Millisecond
	// minSessionDuration and sessionMax bound the random length of a session. Nodes move
	// to another member at its end, so that a member that returns gets its share
	// of nodes within about 20 minutes without a rush.
	minSessionDuration = 10 * time.Minute
	maxSessionDuration = 20 * time.Minute
	// firstStateTimeout bounds the wait for the first state of a session. It
	// covers the member's confirmed read.
	firstStateTimeout = confirmTimeout + 2*time.Second
	// deregisterTimeout bounds the wait for control to take the last heartbeat.
	deregisterTimeout = 500 * time.Millisecond
	// keepaliveIdle is the time without a message after which a heartbeat asks whether the
	// member is still there, and silenceTimeout the time without an answer after which
	// the session ends. A connection may go silent for good; a node must find another
	// member early enough to have the next revision within its time.
	keepaliveIdle      = 800 * time.Millisecond
	keepaliveTimeout = 800 * time.Millisecond
	// keepaliveCheckInterval is the time between two looks.
	keepaliveCheckInterval = 200 * time.Millisecond
	receiveBufferMessages = 16
)

var (
	// errSessionExpired ends a session that has reached its planned length.
	errSessionExpired = errors.New("distribute: session is over")
	errStreamEnded = errors.New("distribute: stream ended")
	errKeepaliveTimeout      = errors.New("distribute: member acknowledges no heartbeat")
	errIsolated    = errors.New("distribute: member has no contact with a quorum")
	errFirstStateTimeout     = errors.New("distribute: member gave no state")
)

// Sink takes what control distributes and supplies what a node tells control.
// Its methods are called from one goroutine.
type Sink interface {
	// Apply takes a state; it ignores a document of a lower revision.
	Apply(state *wire.StateFull)
	// ApplyDiff takes a difference. It returns false when the document part does
	// not start at the revision that the node holds.
	ApplyDiff(diff *wire.StateDiff) bool
	// Revision returns the revision in force.
	Revision() uint64
	// Heartbeat returns the node's next heartbeat.
	Heartbeat() *wire.Heartbeat
	// Fleet reports the number of nodes that control knows of.
	Fleet(nodes int)
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
	nodeID string
	// configured are the members of the settings, learned those that a member named.
	// Only the goroutine of Run uses learned.
	configured atomic.Pointer[[]string]
	learned    []string
	// isolatedUntil holds until when members are avoided.
	isolatedUntil map[string]time.Time
	dial     Dialer
	sink     Sink
	logger   log.Logger
}

// NewClient returns a client that is not yet running.
func NewClient(nodeID string, members []string, dial Dialer, sink Sink, logger log.Logger) *Client {
	c := &Client{isolatedUntil: map[string]time.Time{}, nodeID: nodeID, dial: dial, sink: sink, logger: logger}
	c.SetMembers(members)
	return c
}

// SetMembers replaces the members of the settings; there must be at least one. Any
// goroutine may call it.
func (c *Client) SetMembers(members []string) { c.configured.Store(&members) }

// Run keeps the subscription until ctx ends; then it tells control that the node
// stops. It starts at a random member and waits a random time between attempts,
// so that the loss of a member does not send all its nodes to another one at once.
func (c *Client) Run(ctx context.Context) {
	next := rand.IntN(len(c.members()))
	backoff := minReconnectBackoff
	for ctx.Err() == nil {
		members := c.members()
		address, worked, err := c.session(ctx, c.candidates(members, next))
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, errSessionExpired):
			next = rand.IntN(len(members))
			continue
		case errors.Is(err, errIsolated):
			c.logSessionEnd(address, err)
			sleep(ctx, rand.N(failoverJitter))
		case worked:
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

// checkAlternatives returns errIsolated when another member may be better. It does not when there is
// none that is not avoided, or when this one is avoided already: no other could be
// reached then.
func (s *session) checkAlternatives() error {
	c, now := s.client, time.Now()
	isOther := func(address string) bool { return address != s.address && !now.Before(c.isolatedUntil[address]) }
	if now.Before(c.isolatedUntil[s.address]) || !slices.ContainsFunc(c.members(), isOther) {
		return nil
	}
	c.isolatedUntil[s.address] = now.Add(isolatedMemberCooldown)
	return errIsolated
}

// members returns all known addresses. The configured ones stay, since the learned
// ones may all have been replaced meanwhile.
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
	_ = level.Warn(c.logger).Log("msg", "subscription ended", "member", address, "err", err)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// session is one stream to a member.
type session struct {
	client   *Client
	address  string
	conn     *frame.Conn
	incoming chan *wire.Envelope
	receiveDone    chan struct{}
	// registryVersion is the registry registryVersion on this stream; known is set by the first state.
	registryVersion uint64
	hasState   bool
	// lastReceived is the time of the last message, unansweredSince that of the first heartbeat since.
	lastReceived, unansweredSince time.Time
	// services are those of the last subscription, in order.
	services []string
}

// session serves one stream to the first of the members that can be reached. It returns
// which one that was and whether it gave a state.
func (c *Client) session(ctx context.Context, addresses []string) (address string, worked bool, err error) {
	address, stream, err := c.connect(ctx, addresses)
	if err != nil {
		return address, false, err
	}
	defer func() { _ = stream.Close() }()
	s := &session{
		client:   c,
		address:  address,
		conn:     frame.NewConn(stream),
		incoming: make(chan *wire.Envelope, receiveBufferMessages),
		receiveDone:    make(chan struct{}),
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

// receive passes messages on; a full channel holds the stream back.
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

func (s *session) run(ctx context.Context) error {
	if err := s.sendSubscribe(); err != nil {
		return err
	}
	if err := s.sendHeartbeat(); err != nil {
		return err
	}
	ticker := time.NewTicker(membership.HeartbeatInterval)
	defer ticker.Stop()
	check := time.NewTicker(keepaliveCheckInterval)
	defer check.Stop()
	over := time.NewTimer(minSessionDuration + rand.N(maxSessionDuration-minSessionDuration))
	defer over.Stop()
	firstState := time.NewTimer(firstStateTimeout)
	defer firstState.Stop()
	for {
		var err error
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.receiveDone:
			return errStreamEnded
		case <-over.C:
			return errSessionExpired
		case <-firstState.C:
			if !s.hasState {
				return errFirstStateTimeout
			}
		case <-ticker.C:
			err = s.sendHeartbeat()
		case now := <-check.C:
			err = s.checkKeepalive(now)
		case <-s.client.sink.Changed():
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

// checkKeepalive asks a quiet member for a sign and returns errSilent when it gives none.
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

// sendUpdate sends a heartbeat, and a subscription when the services changed.
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

// handle takes a message of the member. A difference that does not follow on
// what the node holds makes it ask for a full state.
func (s *session) handle(message *wire.Envelope) error {
	switch {
	case message.GetStateFull() != nil:
		state := message.GetStateFull()
		if !state.GetDocumentOnly() {
			s.registryVersion, s.hasState = state.GetRegistryVersion(), true
		}
		s.client.sink.Apply(state)
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
		s.client.sink.Fleet(int(message.GetHeartbeatAck().GetNodes()))
		s.client.sink.Acknowledged(message.GetHeartbeatAck().GetSequence())
		if message.GetHeartbeatAck().GetIsolated() {
			return s.checkAlternatives()
		}
	default:
		return errors.WithMessage(frame.ErrUnexpected, "from a control member")
	}
	return nil
}

// deregister tells control that the node stops and waits until it is taken.
func (s *session) deregister() {
	heartbeat := s.client.sink.Heartbeat()
	heartbeat.Stopping = true
	if s.conn.SendNow(&wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: heartbeat}}) != nil {
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
	return s.conn.SendNow(&wire.Envelope{Body: &wire.Envelope_Subscribe{Subscribe: &wire.Subscribe{
		NodeId:       s.client.nodeID,
		Services:     s.services,
		HaveRevision: s.client.sink.Revision(),
	}}})
}

func (s *session) sendHeartbeat() error {
	if s.unansweredSince.IsZero() {
		s.unansweredSince = time.Now()
	}
	return s.conn.SendNow(&wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: s.client.sink.Heartbeat()}})
}
