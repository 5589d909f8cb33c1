package distribute

import (
	"context"
	"sort"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/go-kit/log/level"

	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// subscription is the stream of one node. The goroutine of ServeStream reads from it and
// another one writes. There is no queue between them: a change only sets wake, and the
// writer computes the update that the node needs when the previous write has completed,
// so that a slow node skips intermediate states.
type subscription struct {
	server *Server
	conn   *frame.Conn
	// wake wakes the writer; signals are coalesced into one while the writer is busy.
	wake chan struct{}
	// updateDue is set when a document, registry or acknowledgement may have to be sent.
	updateDue atomic.Bool

	mu       sync.Mutex
	nodeID   string
	services map[string]bool
	// servicesKey identifies the set of services in the cache of encoded messages.
	servicesKey string
	// nodeRevision is the highest revision that the node has reported or was sent since it
	// last subscribed.
	nodeRevision uint64
	// acknowledgedRevision is the revision in force at the node by its last heartbeat.
	acknowledgedRevision uint64
	fullRegistryDue      bool
	// acceptsCompressed is set when the node accepts compressed messages.
	acceptsCompressed bool
	// ackSequence is the sequence of the last heartbeat; ackDue is set while its
	// acknowledgement has not been sent.
	ackSequence uint64
	ackDue      bool
	// grantSequence is the sequence of the last quota report; grantDue is set while it has no
	// answer.
	grantSequence uint64
	grantDue      bool

	// Only the writer uses the fields below.
	// sentVersion is the registry version sent last to the node; its services did not
	// change between sentVersion and checkedVersion.
	sentVersion, checkedVersion uint64
	sentStale                   bool
	lagLogged                   bool
}

func newSubscription(server *Server, conn *frame.Conn, first *wire.Subscribe) *subscription {
	sub := &subscription{server: server, conn: conn, wake: make(chan struct{}, 1)}
	sub.subscribe(first)
	return sub
}

// wakeWriter makes the writer send the pending updates.
func (s *subscription) wakeWriter() {
	s.updateDue.Store(true)
	s.signalWriter()
}

func (s *subscription) signalWriter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// subscribe replaces the set of services; the node then gets the full registry of them.
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
	s.acceptsCompressed = message.GetAcceptsCompressed()
	s.mu.Unlock()
	s.wakeWriter()
}

func (s *subscription) acknowledge(heartbeat *wire.Heartbeat) {
	s.mu.Lock()
	s.ackSequence, s.ackDue = heartbeat.GetSequence(), true
	s.acknowledgedRevision = heartbeat.GetRevision()
	// The node may have received a higher revision from another node.
	s.nodeRevision = max(s.nodeRevision, s.acknowledgedRevision)
	s.mu.Unlock()
	s.wakeWriter()
}

// resendAck sends the last acknowledgement again, with the current state of the member.
func (s *subscription) resendAck() {
	s.mu.Lock()
	s.ackDue = true
	s.mu.Unlock()
	s.wakeWriter()
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

// runWriter sends the pending updates each time it is woken. It ends when ctx or the
// stream does.
func (s *subscription) runWriter(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		if err := s.sendDue(); err != nil {
			return
		}
	}
}

// sendDue sends the pending updates, if any, and the answer to a quota report.
func (s *subscription) sendDue() error {
	if s.updateDue.Swap(false) {
		if err := s.sendPending(); err != nil {
			return err
		}
	}
	if err := s.sendGrant(); err != nil {
		return err
	}
	return s.conn.Flush()
}

// pendingSend is a snapshot of the fields from which the writer computes its messages.
type pendingSend struct {
	services        map[string]bool
	servicesKey     string
	nodeRevision    uint64
	fullRegistryDue bool
	ackSequence     uint64
	ackDue          bool

	acceptsCompressed bool
}

func (s *subscription) takePending() pendingSend {
	s.mu.Lock()
	defer s.mu.Unlock()
	pending := pendingSend{
		services:        s.services,
		servicesKey:     s.servicesKey,
		nodeRevision:    s.nodeRevision,
		fullRegistryDue: s.fullRegistryDue,
		ackSequence:     s.ackSequence,
		ackDue:          s.ackDue,

		acceptsCompressed: s.acceptsCompressed,
	}
	s.fullRegistryDue, s.ackDue = false, false
	return pending
}

func (s *subscription) sendPending() error {
	pending := s.takePending()
	if err := s.sendDocument(pending); err != nil {
		return err
	}
	if err := s.sendRegistry(pending); err != nil {
		return err
	}
	if pending.ackDue {
		// The changes that the heartbeat caused are sent before its acknowledgement.
		ack := &wire.HeartbeatAck{
			Sequence: pending.ackSequence,
			Members:  s.server.memberAddresses(),
			Isolated: s.server.isolated.Load(),
			Nodes:    uint32(s.server.registry.Size()), //nolint:gosec // the number of nodes is far below 1<<32
		}
		if err := s.conn.Send(&wire.Envelope{Body: &wire.Envelope_HeartbeatAck{HeartbeatAck: ack}}); err != nil {
			return err
		}
	}
	return nil
}

// sendDocument sends the sections that changed since the node's revision, or the complete
// document when there is no diff from that revision.
func (s *subscription) sendDocument(pending pendingSend) error {
	current := s.server.currentSections()
	if current.Revision() < pending.nodeRevision {
		s.logLag(current.Revision(), pending.nodeRevision)
		return nil
	}
	if current.Revision() == pending.nodeRevision {
		return nil
	}
	encoded, err := s.server.encodeDocumentUpdate(current, pending.nodeRevision, pending.acceptsCompressed)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.nodeRevision = max(s.nodeRevision, current.Revision())
	s.mu.Unlock()
	return s.conn.SendEncoded(encoded)
}

// logLag logs once per subscription that this member lags behind the node.
func (s *subscription) logLag(revision, nodeRevision uint64) {
	if s.lagLogged {
		return
	}
	s.lagLogged = true
	_ = level.Warn(s.server.logger).Log("msg", "node holds a higher revision than this member",
		"node", s.nodeID, "node_revision", nodeRevision, "revision", revision)
}

// sendRegistry sends a diff of the registry of the node's services, or the full registry
// when one is due, no diff is available or the staleness has changed.
func (s *subscription) sendRegistry(pending pendingSend) error {
	if pending.fullRegistryDue {
		return s.sendFullRegistry(pending)
	}
	diff, ok := s.server.registry.ChangesSince(s.checkedVersion, pending.services)
	if !ok || diff.Stale != s.sentStale {
		return s.sendFullRegistry(pending)
	}
	s.checkedVersion = diff.Version
	if len(diff.Changed) == 0 && len(diff.Removed) == 0 {
		return nil
	}
	encoded, err := s.server.encodeRegistryDiff(pending.servicesKey, s.sentVersion, diff)
	if err != nil {
		return err
	}
	s.sentVersion = diff.Version
	return s.conn.SendEncoded(encoded)
}

// sendFullRegistry sends all instances of the node's services.
func (s *subscription) sendFullRegistry(pending pendingSend) error {
	snapshot := s.server.registry.Instances(pending.services)
	s.sentVersion, s.checkedVersion, s.sentStale = snapshot.Version, snapshot.Version, snapshot.Stale
	state := &wire.StateFull{
		Instances:       snapshot.Instances,
		RegistryVersion: snapshot.Version,
		Stale:           snapshot.Stale,
	}
	return s.conn.Send(&wire.Envelope{Body: &wire.Envelope_StateFull{StateFull: state}})
}
