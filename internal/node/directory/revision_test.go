package directory

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chicorylever/chicorylever/internal/coordination/distribute"
	"github.com/chicorylever/chicorylever/internal/coordination/membership"
	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

// init sets a fixed seed so that runs are reproducible; -rapid.seed on the command line
// overrides it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// fakeLog holds the accepted documents of the replicated log. The revision of a document is
// its index plus one.
type fakeLog struct {
	mu        sync.Mutex
	documents [][]byte
	hasQuorum bool
}

func (l *fakeLog) lastRevision() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return uint64(len(l.documents))
}

// fakeSource is the copy of the log at one control member. It may lag behind the log.
type fakeSource struct {
	log             *fakeLog
	mu              sync.Mutex
	appliedRevision uint64
	changed         chan struct{}
}

func (s *fakeSource) apply(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision > s.appliedRevision {
		s.appliedRevision = revision
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

func (s *fakeSource) ReadBarrier(ctx context.Context) error {
	s.log.mu.Lock()
	hasQuorum := s.log.hasQuorum
	s.log.mu.Unlock()
	if !hasQuorum {
		<-ctx.Done()
		return ctx.Err()
	}
	s.apply(s.log.lastRevision())
	return nil
}

func (s *fakeSource) Current() (uint64, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.appliedRevision == 0 {
		return 0, []byte("{}")
	}
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	return s.appliedRevision, s.log.documents[s.appliedRevision-1]
}

func (s *fakeSource) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// testMember is a control member that serves streams over net.Pipe.
type testMember struct {
	source  *fakeSource
	server  *distribute.Server
	mu      sync.Mutex
	down    bool
	streams map[net.Conn]bool
}

func (m *testMember) dial(ctx context.Context) (net.Conn, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return nil, errors.New("connection refused")
	}
	clientEnd, serverEnd := net.Pipe()
	m.streams[serverEnd] = true
	go func() {
		defer func() { _ = serverEnd.Close() }()
		conn := frame.NewConn(serverEnd)
		if first, err := conn.Receive(); err == nil {
			_ = m.server.ServeStream(ctx, first, conn)
		}
		m.mu.Lock()
		delete(m.streams, serverEnd)
		m.mu.Unlock()
	}()
	return clientEnd, nil
}

func (m *testMember) setDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
	if down {
		for conn := range m.streams {
			_ = conn.Close()
		}
	}
}

// directoryNode is a node with a directory and a client of control. It checks after each
// change that the revision has not decreased.
type directoryNode struct {
	t               *rapid.T
	name            string
	current         atomic.Pointer[Directory]
	mu              sync.Mutex
	highestRevision uint64
	partitioned     bool
	conn            net.Conn
	stop            func()
}

// setPartitioned starts or ends a partition, which closes the node's connection to control
// and makes new ones fail.
func (n *directoryNode) setPartitioned(partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = partitioned
	if partitioned && n.conn != nil {
		_ = n.conn.Close()
	}
}

// connect opens a connection to control with dial unless the node is partitioned.
func (n *directoryNode) connect(dial func() (net.Conn, error)) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.partitioned {
		return nil, errors.New("node is partitioned from control")
	}
	conn, err := dial()
	n.conn = conn
	return conn, err
}

func (n *directoryNode) directory() *Directory { return n.current.Load() }

func (n *directoryNode) Apply(state *wire.StateFull) {
	n.directory().Apply(state)
	n.checkRevision()
}

func (n *directoryNode) ApplyDiff(diff *wire.StateDiff) bool {
	defer n.checkRevision()
	return n.directory().ApplyDiff(diff)
}

// checkRevision reports an error when the revision is lower than the highest one seen. It
// allows 0, which is the revision after a restart.
func (n *directoryNode) checkRevision() {
	n.mu.Lock()
	defer n.mu.Unlock()
	revision := n.directory().View().Revision
	if revision > 0 && revision < n.highestRevision {
		n.t.Errorf("revision of %s decreased from %d to %d", n.name, n.highestRevision, revision)
	}
	n.highestRevision = max(n.highestRevision, revision)
}

func (n *directoryNode) Revision() uint64             { return n.directory().View().Revision }
func (n *directoryNode) SetNodeCount(int)             {}
func (n *directoryNode) HeartbeatAcknowledged(uint64) {}
func (n *directoryNode) Services() []string           { return n.directory().SubscribedServices() }
func (n *directoryNode) HeartbeatRequested() <-chan struct{} {
	return n.directory().HeartbeatRequested()
}
func (n *directoryNode) Heartbeat() *wire.Heartbeat {
	return &wire.Heartbeat{
		NodeId: n.name, NodeStart: 1, Revision: n.Revision(), Sequence: n.directory().NextSequence(),
	}
}

// testSystem consists of three control members and four nodes in virtual time.
type testSystem struct {
	t          *rapid.T
	ctx        context.Context
	log        *fakeLog
	members    []*testMember
	nodes      []*directoryNode
	goroutines sync.WaitGroup
}

func newTestSystem(ctx context.Context, t *rapid.T) *testSystem {
	s := &testSystem{t: t, ctx: ctx, log: &fakeLog{hasQuorum: true}}
	for range 3 {
		source := &fakeSource{log: s.log, changed: make(chan struct{})}
		server := distribute.NewServer(source, membership.NewRegistry(), nil, log.NewNopLogger())
		s.members = append(s.members, &testMember{source: source, server: server, streams: map[net.Conn]bool{}})
		s.goroutines.Go(func() { server.Run(ctx) })
	}
	for i := range 4 {
		n := &directoryNode{t: t, name: fmt.Sprint("node-", i)}
		s.nodes = append(s.nodes, n)
		s.startNode(n)
	}
	return s
}

// startNode starts or restarts a node without any state, as after a crash of its process.
func (s *testSystem) startNode(n *directoryNode) {
	if n.stop != nil {
		n.stop()
	}
	d := New(nil)
	d.fetch = func(_ context.Context, address string, have uint64) (*wire.Envelope, error) {
		for _, peer := range s.nodes {
			if peer.name == address {
				return peer.directory().UpdateSince(have)
			}
		}
		return nil, errors.New("no such peer")
	}
	n.current.Store(d)
	ctx, cancel := context.WithCancel(s.ctx)
	dial := func(_ context.Context, address string) (net.Conn, error) {
		var index int
		_, _ = fmt.Sscan(address, &index)
		return n.connect(func() (net.Conn, error) { return s.members[index].dial(s.ctx) })
	}
	done := make(chan struct{})
	s.goroutines.Go(func() {
		defer close(done)
		distribute.NewClient(n.name, []string{"0", "1", "2"}, dial, n, log.NewNopLogger()).Run(ctx)
	})
	n.stop = func() {
		cancel()
		<-done
	}
}

// acceptDocument appends a document that differs from the last one in at most one section.
func (s *testSystem) acceptDocument() {
	doc := &document.Document{Zones: map[string]document.Zone{}, Services: map[string]document.Service{}}
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	if len(s.log.documents) > 0 {
		_ = json.Unmarshal(s.log.documents[len(s.log.documents)-1], doc)
	}
	name := rapid.SampledFrom([]string{"drafts", "archive"}).Draw(s.t, "service")
	switch rapid.IntRange(0, 2).Draw(s.t, "edit") {
	case 0:
		state := rapid.SampledFrom([]document.ZoneState{document.ZoneIn, document.ZoneOut}).Draw(s.t, "zone state")
		doc.Zones["seq-a"] = document.Zone{Owner: "platform", State: state}
	case 1:
		doc.Services[name] = document.Service{Owner: "platform", TimeoutMs: rapid.IntRange(1, 2).Draw(s.t, "timeout")}
	case 2:
		delete(doc.Services, name)
	}
	data, _ := json.Marshal(doc)
	s.log.documents = append(s.log.documents, data)
}

// runStep runs one random change, fault or message, lets up to 3 s of virtual time pass and
// checks the revisions of all nodes.
func (s *testSystem) runStep() {
	m := s.members[rapid.IntRange(0, 2).Draw(s.t, "member")]
	n := s.nodes[rapid.IntRange(0, 3).Draw(s.t, "node")]
	switch rapid.IntRange(0, 9).Draw(s.t, "step") {
	case 0, 1:
		if s.log.hasQuorum {
			s.acceptDocument()
		}
	case 2, 3:
		m.source.apply(uint64(rapid.IntRange(0, int(s.log.lastRevision())).Draw(s.t, "applied")))
	case 4:
		s.log.mu.Lock()
		s.log.hasQuorum = !s.log.hasQuorum
		s.log.mu.Unlock()
	case 5:
		m.setDown(!m.down)
	case 6:
		s.startNode(n)
	case 7:
		n.setPartitioned(!n.partitioned)
	case 8:
		peer := s.nodes[rapid.IntRange(0, 3).Draw(s.t, "peer")]
		n.directory().ObserveRevision(peer.name, peer.directory().View().Revision)
	case 9:
		s.replayOutdated(n)
	}
	time.Sleep(time.Duration(rapid.IntRange(0, 3000).Draw(s.t, "ms")) * time.Millisecond)
	synctest.Wait()
	for _, n := range s.nodes {
		n.checkRevision()
	}
}

// replayOutdated delivers a document whose revision is not higher than the node's, and a diff
// whose base is not the node's revision.
func (s *testSystem) replayOutdated(n *directoryNode) {
	current := n.Revision()
	if current == 0 {
		return
	}
	old := uint64(rapid.IntRange(1, int(current)).Draw(s.t, "old"))
	n.Apply(&wire.StateFull{Revision: old, Document: s.log.documents[old-1], DocumentOnly: true})
	if current < s.log.lastRevision() {
		diff := &wire.StateDiff{BaseRevision: current + 1, Revision: s.log.lastRevision()}
		assert.Assert(s.t, n.Revision() != current || !n.ApplyDiff(diff))
	}
}

// heal accepts another document, removes all faults and waits 19 s, the time within which
// the last revision must have reached all nodes.
func (s *testSystem) heal() {
	s.acceptDocument()
	s.log.mu.Lock()
	s.log.hasQuorum = true
	s.log.mu.Unlock()
	for _, n := range s.nodes {
		n.setPartitioned(false)
	}
	for _, m := range s.members {
		m.setDown(false)
		m.source.apply(s.log.lastRevision())
	}
	time.Sleep(19 * time.Second)
	synctest.Wait()
}

// TestRevisionNeverDecreases guards against a node that returns to an earlier configuration
// because of members that lag or have no quorum, because of peers, or after a restart of
// its own. It also guards against diffs that leave a node with a document other than the
// accepted one.
func TestRevisionNeverDecreases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The embedded interface hides Deadline, which must not be called in a synctest bubble.
		rapid.Check(struct{ testing.TB }{t}, func(t *rapid.T) {
			ctx, cancel := context.WithCancel(context.Background())
			s := newTestSystem(ctx, t)
			defer func() {
				cancel()
				for _, m := range s.members {
					m.setDown(true)
				}
				s.goroutines.Wait()
				time.Sleep(time.Minute)
			}()
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				s.runStep()
			}
			s.heal()
			want := &document.Document{}
			assert.NilError(t, json.Unmarshal(s.log.documents[s.log.lastRevision()-1], want))
			for _, n := range s.nodes {
				n.checkRevision()
				view := n.directory().View()
				assert.Equal(t, view.Revision, s.log.lastRevision(), n.name)
				assert.Equal(t, fmt.Sprint(view.Doc), fmt.Sprint(want), n.name)
			}
		})
	})
}
