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
	key      string
	// have is the revision that the node holds or was sent.
	have uint64
	// inForce is the revision that the node acknowledged.
	inForce uint64
	full    bool
	ack     uint64
	ackDue  bool

	// The writer alone uses the fields below.
	// version is the registry version that the node was told; nothing that
	// concerns it changed from there to checked.
	version, checked uint64
	stale            bool
	warned           bool
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
	s.nodeID, s.services, s.key = message.GetNodeId(), services, strings.Join(names, "\n")
	s.have, s.full = message.GetHaveRevision(), true
	s.mu.Unlock()
	s.signal()
}

func (s *subscription) acknowledge(heartbeat *wire.Heartbeat) {
	s.mu.Lock()
	s.ack, s.ackDue = heartbeat.GetSequence(), true
	s.inForce = heartbeat.GetRevision()
	// A peer may have passed a higher revision to the node.
	s.have = max(s.have, s.inForce)
	s.mu.Unlock()
	s.signal()
}

// repeatAck sends the last acknowledgement again, with what has changed about the member.
func (s *subscription) repeatAck() {
	s.mu.Lock()
	s.ackDue = true
	s.mu.Unlock()
	s.signal()
}

func (s *subscription) acknowledged() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inForce
}

func (s *subscription) uses(services map[string]bool) bool {
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

// write sends what the node lacks whenever there is news. It ends when ctx or
// the stream does.
func (s *subscription) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		if err := s.flush(); err != nil {
			return
		}
	}
}

// due is what the writer has to send.
type due struct {
	services map[string]bool
	key      string
	have     uint64
	full     bool
	ack      uint64
	ackDue   bool
}

func (s *subscription) take() due {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := due{services: s.services, key: s.key, have: s.have, full: s.full, ack: s.ack, ackDue: s.ackDue}
	s.full, s.ackDue = false, false
	return d
}

func (s *subscription) flush() error {
	d := s.take()
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
func (s *subscription) sendDocument(d due) error {
	current := s.server.current()
	if current.Revision() < d.have {
		s.warnLag(current.Revision(), d.have)
		return nil
	}
	if current.Revision() == d.have {
		return nil
	}
	encoded, err := s.server.encodeDocument(current, d.have)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.have = max(s.have, current.Revision())
	s.mu.Unlock()
	return s.conn.SendEncoded(encoded)
}

func (s *subscription) warnLag(revision, have uint64) {
	if s.warned {
		return
	}
	s.warned = true
	_ = level.Warn(s.server.logger).Log("msg", "node holds a higher revision than this member",
		"node", s.nodeID, "node_revision", have, "revision", revision)
}

func (s *subscription) sendRegistry(d due) error {
	if d.full {
		return s.sendInstances(d)
	}
	diff, ok := s.server.registry.Since(s.checked, d.services)
	if !ok || diff.Stale != s.stale {
		return s.sendInstances(d)
	}
	s.checked = diff.Version
	if len(diff.Changed) == 0 && len(diff.Removed) == 0 {
		return nil
	}
	encoded, err := s.server.encodeInstances(d.key, s.version, diff)
	if err != nil {
		return err
	}
	s.version = diff.Version
	return s.conn.SendEncoded(encoded)
}

// sendInstances sends all instances of the node's services.
func (s *subscription) sendInstances(d due) error {
	snapshot := s.server.registry.Instances(d.services)
	s.version, s.checked, s.stale = snapshot.Version, snapshot.Version, snapshot.Stale
	state := &wire.StateFull{
		Instances:       snapshot.Instances,
		RegistryVersion: snapshot.Version,
		Stale:           snapshot.Stale,
	}
	return s.conn.Send(&wire.Envelope{Body: &wire.Envelope_StateFull{StateFull: state}})
}
