package distribute

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/go-kit/log/level"

	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// subscription is one node's stream. The goroutine of ServeStream reads and one
// more writes. There is no queue between them: a change only sets wake, and the
// writer works out what the node lacks when the stream can take it, so that a
// slow node skips intermediate states.
type subscription struct {
	server *Server
	conn   *frame.Conn
	// wake holds one signal; further ones are dropped while it is full.
	wake chan struct{}

	mu       sync.Mutex
	nodeID   string
	services map[string]bool
	servicesKey      string
	// nodeRevision is the revision that the node holds or was sent.
	nodeRevision uint64
	// acknowledgedRevision is the revision that the node acknowledged.
	acknowledgedRevision uint64
	fullRegistryDue    bool
	ackSequence     uint64
	ackDue  bool

	// The writer alone uses the fields below.
	// sentVersion is the registry sentVersion that the node was told; nothing that
	// concerns it changed from there to checkedVersion.
	sentVersion, checkedVersion uint64
	sentStale            bool
	lagLogged           bool
}

func newSubscription(server *Server, conn *frame.Conn, first *wire.Subscribe) *subscription {
	sub := &subscription{server: server, conn: conn, wake: make(chan struct{}, 1)}
	sub.subscribe(first)
	return sub
}

func (s *subscription) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// subscribe takes a new set of services; the node then gets a full registry.
func (s *subscription) subscribe(message *wire.Subscribe) {
	services := map[string]bool{}
	names := append([]string(nil), message.GetServices()...)
	sort.Strings(names)
	for _, name := range names {
		services[name] = true
	}
	s.mu.Lock()
	s.nodeID, s.services, s.servicesKey = message.GetNodeId(), services, strings.Join(names, "\n")
	s.nodeRevision, s.fullRegistryDue = message.GetHaveRevision(), true
	s.mu.Unlock()
	s.signal()
}

func (s *subscription) acknowledge(heartbeat *wire.Heartbeat) {
	s.mu.Lock()
	s.ackSequence, s.ackDue = heartbeat.GetSequence(), true
	s.acknowledgedRevision = heartbeat.GetRevision()
	// A peer may have passed a higher revision to the node.
	s.nodeRevision = max(s.nodeRevision, s.acknowledgedRevision)
	s.mu.Unlock()
	s.signal()
}

// resendAck sends the last acknowledgement again, with what has changed about the member.
func (s *subscription) resendAck() {
	s.mu.Lock()
	s.ackDue = true
	s.mu.Unlock()
	s.signal()
}

func (s *subscription) acknowledged() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acknowledgedRevision
}

func (s *subscription) usesAny(services map[string]bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(services) < len(s.services) {
		for service := range services {
			if s.services[service] {
				return true
			}
		}
		return false
	}
	for service := range s.services {
		if services[service] {
			return true
		}
	}
	return false
}

// runWriter sends what the node lacks whenever there is news. It ends when ctx or
// the stream does.
func (s *subscription) runWriter(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		if err := s.sendPending(); err != nil {
			return
		}
	}
}

// pendingSend is what the writer has to send.
type pendingSend struct {
	services map[string]bool
	key      string
	have     uint64
	full     bool
	ack      uint64
	ackDue   bool
}

func (s *subscription) takePending() pendingSend {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := pendingSend{services: s.services, key: s.servicesKey, have: s.nodeRevision, full: s.fullRegistryDue, ack: s.ackSequence, ackDue: s.ackDue}
	s.fullRegistryDue, s.ackDue = false, false
	return d
}

func (s *subscription) sendPending() error {
	d := s.takePending()
	if err := s.sendDocument(d); err != nil {
		return err
	}
	if err := s.sendRegistry(d); err != nil {
		return err
	}
	if d.ackDue {
		// What the heartbeat changed goes before its acknowledgement.
		ack := &wire.HeartbeatAck{
			Sequence: d.ack,
			Members:  s.server.memberAddresses(),
			Isolated: s.server.isolated.Load(),
			Nodes:    uint32(s.server.registry.Size()), //nolint:gosec // far below 32 bits
		}
		if err := s.conn.Send(&wire.Envelope{Body: &wire.Envelope_HeartbeatAck{HeartbeatAck: ack}}); err != nil {
			return err
		}
	}
	return s.conn.Flush()
}

// sendDocument sends the sections that the node lacks, or the whole document
// when the node's revision is unknown here.
func (s *subscription) sendDocument(d pendingSend) error {
	current := s.server.currentSections()
	if current.Revision() < d.have {
		s.logLag(current.Revision(), d.have)
		return nil
	}
	if current.Revision() == d.have {
		return nil
	}
	encoded, err := s.server.encodeDocumentUpdate(current, d.have)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.nodeRevision = max(s.nodeRevision, current.Revision())
	s.mu.Unlock()
	return s.conn.SendEncoded(encoded)
}

func (s *subscription) logLag(revision, have uint64) {
	if s.lagLogged {
		return
	}
	s.lagLogged = true
	_ = level.Warn(s.server.logger).Log("msg", "node holds a higher revision than this member",
		"node", s.nodeID, "node_revision", have, "revision", revision)
}

func (s *subscription) sendRegistry(d pendingSend) error {
	if d.full {
		return s.sendFullRegistry(d)
	}
	diff, ok := s.server.registry.Since(s.checkedVersion, d.services)
	if !ok || diff.Stale != s.sentStale {
		return s.sendFullRegistry(d)
	}
	s.checkedVersion = diff.Version
	if len(diff.Changed) == 0 && len(diff.Removed) == 0 {
		return nil
	}
	encoded, err := s.server.encodeRegistryDiff(d.key, s.sentVersion, diff)
	if err != nil {
		return err
	}
	s.sentVersion = diff.Version
	return s.conn.SendEncoded(encoded)
}

// sendFullRegistry sends all instances of the node's services.
func (s *subscription) sendFullRegistry(d pendingSend) error {
	snapshot := s.server.registry.Instances(d.services)
	s.sentVersion, s.checkedVersion, s.sentStale = snapshot.Version, snapshot.Version, snapshot.Stale
	state := &wire.StateFull{
		Instances:       snapshot.Instances,
		RegistryVersion: snapshot.Version,
		Stale:           snapshot.Stale,
	}
	return s.conn.Send(&wire.Envelope{Body: &wire.Envelope_StateFull{StateFull: state}})
}
