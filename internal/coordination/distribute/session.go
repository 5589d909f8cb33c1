package distribute

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/membership"
	"github.com/chicorylever/chicorylever/internal/coordination/quota"
	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// session is one stream to a control member.
type session struct {
	client      *Client
	address     string
	conn        *frame.Conn
	progress    *progressReader
	incoming    chan *wire.Envelope
	receiveDone chan struct{}
	// registryVersion is the version of the registry received last on this stream. It is
	// valid once hasState is set, which the first state with a registry does.
	registryVersion uint64
	hasState        bool
	// startedAt is when the client began to connect, connectedAt when a member accepted.
	startedAt, connectedAt time.Time
	// lastReceived is the time at which a message, or a part of one, arrived last, and
	// unansweredSince that of the first heartbeat sent after it; zero when none was sent.
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
	progress := newProgressReader(stream)
	s := &session{
		client:      c,
		address:     address,
		conn:        frame.NewConn(progress),
		progress:    progress,
		incoming:    make(chan *wire.Envelope, receiveBufferMessages),
		receiveDone: make(chan struct{}),
		startedAt:   startedAt,
		connectedAt: time.Now(),
	}
	s.conn.AcceptCompressed()
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
	s.connectQuotas()
	if err := s.sendSubscribe(); err != nil {
		return err
	}
	if err := s.sendHeartbeat(); err != nil {
		return err
	}
	quotaReports := time.NewTicker(quota.ReportInterval)
	defer quotaReports.Stop()
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
		case now := <-quotaReports.C:
			err = s.sendQuotaReport(now)
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
// keepaliveTimeout. A member whose message is still arriving is alive: a large document takes
// longer than that on a slow link, and a new session would start it again.
func (s *session) checkKeepalive(now time.Time) error {
	if lastRead := s.progress.lastRead(); lastRead.After(s.lastReceived) {
		s.lastReceived, s.unansweredSince = lastRead, time.Time{}
	}
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
			s.client.learned.Store(&members)
		}
		s.client.sink.SetNodeCount(int(message.GetHeartbeatAck().GetNodes()))
		s.client.sink.HeartbeatAcknowledged(message.GetHeartbeatAck().GetSequence())
		if message.GetHeartbeatAck().GetIsolated() {
			return s.handleIsolation()
		}
		s.client.lastContact.Store(s.lastReceived.UnixNano())
	case message.GetQuotaGrant() != nil:
		s.applyQuotaGrant(message.GetQuotaGrant())
	default:
		return errors.WithMessage(frame.ErrUnexpected, "control member sent neither state, heartbeat acknowledgement nor quota grant")
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

		AcceptsCompressed: true,
	}}})
}

func (s *session) sendHeartbeat() error {
	if s.unansweredSince.IsZero() {
		s.unansweredSince = time.Now()
	}
	return s.conn.SendAndFlush(&wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: s.client.sink.Heartbeat()}})
}

// handleIsolation handles an acknowledgement from a member without quorum contact. It
// returns errIsolated, and marks the member as avoided, when another member is not
// avoided. It returns nil when there is none, or when this member is already avoided,
// since the node connects to such a member only when it avoids all of them.
func (s *session) handleIsolation() error {
	c, now := s.client, time.Now()
	isAlternative := func(address string) bool { return address != s.address && !now.Before(c.isolatedUntil[address]) }
	if now.Before(c.isolatedUntil[s.address]) || !slices.ContainsFunc(c.Members(), isAlternative) {
		return nil
	}
	c.isolatedUntil[s.address] = now.Add(isolatedMemberCooldown)
	return errIsolated
}
