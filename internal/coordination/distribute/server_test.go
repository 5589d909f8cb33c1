package distribute

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/coordination/membership"
	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// fakeSource is a Source whose document the tests replace. While noQuorum is set, Confirm
// blocks until its context ends.
type fakeSource struct {
	mu       sync.Mutex
	revision uint64
	document []byte
	changed  chan struct{}
	noQuorum bool
}

func newFakeSource() *fakeSource {
	return &fakeSource{revision: 1, document: documentWithServices(3, 1), changed: make(chan struct{})}
}

// documentWithServices returns a document in which one service has the revision as timeout.
func documentWithServices(services int, revision uint64) []byte {
	document := `{"zones":{"seq-a":{"state":"in"}},"services":{`
	for i := range services {
		if i > 0 {
			document += ","
		}
		timeout := 1
		if i == int(revision)%services {
			timeout = int(revision)
		}
		document += fmt.Sprintf(`"service-%d":{"owner":"platform","timeout_ms":%d}`, i, timeout)
	}
	return []byte(document + `}}`)
}

func (s *fakeSource) Confirm(ctx context.Context) error {
	if s.noQuorum {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (s *fakeSource) Current() (uint64, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision, s.document
}

func (s *fakeSource) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *fakeSource) publish(document []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.document = document
	close(s.changed)
	s.changed = make(chan struct{})
}

// harness runs a server, with the node's end of one stream, in a synctest bubble.
type harness struct {
	t           *testing.T
	source      *fakeSource
	registry    *membership.Registry
	server      *Server
	stream      net.Conn
	conn        *frame.Conn
	serveResult chan error
}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, source: newFakeSource(), registry: membership.NewRegistry(), serveResult: make(chan error, 1)}
	h.server = NewServer(h.source, h.registry, nil, log.NewNopLogger())
	ctx, cancel := context.WithCancel(context.Background())
	go h.server.Run(ctx)
	t.Cleanup(func() {
		cancel()
		if h.stream != nil {
			_ = h.stream.Close()
		}
		time.Sleep(time.Second)
	})
	// The registry of a member is stale for a fixed time after its start.
	for range 20 {
		h.registry.Tick(time.Now(), true)
		time.Sleep(membership.TickInterval)
	}
	synctest.Wait()
	return h
}

func (h *harness) subscribe(have uint64, services ...string) {
	nodeConn, memberConn := net.Pipe()
	h.stream, h.conn = nodeConn, frame.NewConn(nodeConn)
	go func() {
		defer func() { _ = memberConn.Close() }()
		conn := frame.NewConn(memberConn)
		first, err := conn.Receive()
		if err == nil {
			err = h.server.ServeStream(context.Background(), first, conn)
		}
		h.serveResult <- err
	}()
	assert.NilError(h.t, h.conn.SendAndFlush(&wire.Envelope{Body: &wire.Envelope_Subscribe{
		Subscribe: &wire.Subscribe{NodeId: "node", Services: services, HaveRevision: have},
	}}))
}

// receiveAll returns the messages that the server sends until it has sent none for a second.
func (h *harness) receiveAll() []*wire.Envelope {
	var messages []*wire.Envelope
	for {
		time.Sleep(2 * coalesceDelay)
		assert.NilError(h.t, h.stream.SetReadDeadline(time.Now().Add(time.Second)))
		message, err := h.conn.Receive()
		if err != nil {
			return messages
		}
		messages = append(messages, message)
	}
}

func (h *harness) announce(i int, service string) {
	id := fmt.Sprint("node-", i)
	h.registry.Renew(time.Now(), &wire.Heartbeat{NodeId: id, NodeStart: 1, Sequence: 1, Instance: &wire.Instance{
		Id: id, Service: service, NodeAddress: id, NodeId: id, NodeStart: 1,
	}})
}

// TestUpdatesAreMinimal guards against sending the full document when one section changed,
// and against sending instances of services to which the node is not subscribed.
func TestUpdatesAreMinimal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.announce(1, "service-1")
		h.announce(2, "service-2")
		h.subscribe(0, "service-1")
		first := h.receiveAll()
		assert.Equal(t, len(first), 2)
		assert.Equal(t, first[0].GetStateFull().GetRevision(), uint64(1))
		assert.Assert(t, first[0].GetStateFull().GetDocumentOnly())
		instances := first[1].GetStateFull().GetInstances()
		assert.Assert(t, len(instances) == 1 && instances[0].GetId() == "node-1" && !first[1].GetStateFull().GetStale())

		h.source.publish(documentWithServices(3, 2))
		h.announce(3, "service-2")
		change := h.receiveAll()
		assert.Equal(t, len(change), 1)
		diff := change[0].GetStateDiff()
		assert.Assert(t, diff.GetBaseRevision() == 1 && diff.GetRevision() == 2 && len(diff.GetDocument()) == 0)
		paths := []string{}
		for _, section := range diff.GetSections() {
			paths = append(paths, section.GetPath())
		}
		assert.DeepEqual(t, paths, []string{"services/service-2"})

		h.announce(4, "service-1")
		diff = h.receiveAll()[0].GetStateDiff()
		assert.Assert(t, len(diff.GetChanged()) == 1 && diff.GetChanged()[0].GetId() == "node-4")
		assert.Equal(t, diff.GetBaseVersion(), first[1].GetStateFull().GetRegistryVersion())
	})
}

// TestSlowSubscriber guards against an unbounded queue for a node that does not read: 1,000
// changes while the stream is blocked must result in only a few messages.
func TestSlowSubscriber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.subscribe(0, "service-1")
		instanceIDs := map[string]bool{}
		for i := range 1000 {
			h.source.publish(documentWithServices(3, uint64(i+2)))
			h.announce(i, "service-1")
			time.Sleep(coalesceDelay)
		}
		messages := h.receiveAll()
		assert.Assert(t, len(messages) <= 6, "%d messages", len(messages))
		var revision uint64
		for _, message := range messages {
			revision = max(revision, message.GetStateFull().GetRevision(), message.GetStateDiff().GetRevision())
			for _, instance := range slices.Concat(message.GetStateFull().GetInstances(), message.GetStateDiff().GetChanged()) {
				instanceIDs[instance.GetId()] = true
			}
		}
		assert.Equal(t, revision, uint64(1001))
		assert.Equal(t, len(instanceIDs), 1000)
	})
}

// TestBurstIsCoalesced guards against one message per change when a burst of changes goes
// to a node that reads without delay.
func TestBurstIsCoalesced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.subscribe(0, "service-1")
		h.receiveAll()
		assert.NilError(t, h.stream.SetReadDeadline(time.Time{}))
		messageCount := make(chan int)
		go func() {
			count := 0
			for {
				if _, err := h.conn.Receive(); err != nil {
					messageCount <- count
					return
				}
				count++
			}
		}()
		for i := range 100 {
			h.source.publish(documentWithServices(3, uint64(i+2)))
			h.announce(i, "service-1")
			time.Sleep(coalesceDelay / 100)
		}
		time.Sleep(time.Second)
		_ = h.stream.Close()
		// The document and the registry may each be sent at the start of the burst and after
		// the coalescing delay.
		count := <-messageCount
		assert.Assert(t, count <= 4, "%d messages", count)
	})
}

// TestSubscribeWithoutQuorum guards against a restarted node, which has no revision, getting
// a state that no quorum confirmed, and against a node that has a revision not being served
// without a quorum.
func TestSubscribeWithoutQuorum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.source.noQuorum = true
		h.subscribe(0, "service-1")
		assert.Equal(t, len(h.receiveAll()), 0)
		assert.ErrorIs(t, <-h.serveResult, context.DeadlineExceeded)

		h.announce(1, "service-1")
		for _, have := range []uint64{1, 7} {
			h.subscribe(have, "service-1")
			messages := h.receiveAll()
			assert.Equal(t, len(messages), 1, "a node at revision %d must get the registry and no document", have)
			assert.Equal(t, len(messages[0].GetStateFull().GetInstances()), 1)
			assert.Equal(t, len(messages[0].GetStateFull().GetDocument()), 0)
			_ = h.stream.Close()
			<-h.serveResult
		}
	})
}

// TestConfirmedMemberIsNotIsolated guards against a member that still reports itself as
// isolated right after a quorum has confirmed its state, because its periodic check of the
// quorum contact has not run since. The node would leave it.
func TestConfirmedMemberIsNotIsolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.server.SetIsolated(true)
		h.subscribe(0, "service-0")
		assert.NilError(t, h.conn.SendAndFlush(&wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: &wire.Heartbeat{NodeId: "n", NodeStart: 1, Sequence: 1}}}))
		for {
			message, err := h.conn.Receive()
			assert.NilError(t, err)
			if ack := message.GetHeartbeatAck(); ack != nil {
				assert.Assert(t, !ack.GetIsolated())
				return
			}
		}
	})
}
