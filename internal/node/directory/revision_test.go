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

// init fixes the seed for equal verdicts; -rapid.seed on the command line overrides it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// fakeLog is the accepted documents; the revision is the index plus one.
type fakeLog struct {
	mu        sync.Mutex
	documents [][]byte
	quorum    bool
}

func (l *fakeLog) last() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return uint64(len(l.documents))
}

// fakeSource is a member's copy of the log, which may lag.
type fakeSource struct {
	log     *fakeLog
	mu      sync.Mutex
	applied uint64
	changed chan struct{}
}

func (s *fakeSource) apply(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision > s.applied {
		s.applied = revision
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

func (s *fakeSource) Confirm(ctx context.Context) error {
	s.log.mu.Lock()
	quorum := s.log.quorum
	s.log.mu.Unlock()
	if !quorum {
		<-ctx.Done()
		return ctx.Err()
	}
	s.apply(s.log.last())
	return nil
}

func (s *fakeSource) Current() (uint64, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.applied == 0 {
		return 0, []byte("{}")
	}
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	return s.applied, s.log.documents[s.applied-1]
}

func (s *fakeSource) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// testMember is a control member that serves streams of net.Pipe.
type testMember struct {
	source *fakeSource
	server *distribute.Server
	mu     sync.Mutex
	down   bool
	open   map[net.Conn]bool
}

func (m *testMember) dial(ctx context.Context) (net.Conn, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	m.open[far] = true
	go func() {
		defer func() { _ = far.Close() }()
		conn := frame.NewConn(far)
		if first, err := conn.Receive(); err == nil {
			_ = m.server.ServeStream(ctx, first, conn)
		}
		m.mu.Lock()
		delete(m.open, far)
		m.mu.Unlock()
	}()
	return near, nil
}

func (m *testMember) setDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
	if down {
		for conn := range m.open {
			_ = conn.Close()
		}
	}
}

// directoryNode is a directory with a client. It checks the revision at each change.
type directoryNode struct {
	t       *rapid.T
	name    string
	current atomic.Pointer[Directory]
	mu      sync.Mutex
	highest uint64
	cut     bool
	conn    net.Conn
	stop    func()
}

// setCut ends the node's connection to control and keeps it from a new one.
func (n *directoryNode) setCut(cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
	if cut && n.conn != nil {
		_ = n.conn.Close()
	}
}

func (n *directoryNode) connected(dial func() (net.Conn, error)) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut {
		return nil, errors.New("no route")
	}
	conn, err := dial()
	n.conn = conn
	return conn, err
}

func (n *directoryNode) directory() *Directory { return n.current.Load() }

func (n *directoryNode) Apply(state *wire.StateFull) {
	n.directory().Apply(state)
	n.check()
}

func (n *directoryNode) ApplyDiff(diff *wire.StateDiff) bool {
	defer n.check()
	return n.directory().ApplyDiff(diff)
}

func (n *directoryNode) check() {
	n.mu.Lock()
	defer n.mu.Unlock()
	revision := n.directory().View().Revision
	if revision > 0 && revision < n.highest {
		n.t.Errorf("%s went back from revision %d to %d", n.name, n.highest, revision)
	}
	n.highest = max(n.highest, revision)
}

func (n *directoryNode) Revision() uint64         { return n.directory().View().Revision }
func (n *directoryNode) Fleet(int)                {}
func (n *directoryNode) Acknowledged(uint64)      {}
func (n *directoryNode) Services() []string       { return n.directory().WantedServices() }
func (n *directoryNode) Changed() <-chan struct{} { return n.directory().Changed() }
func (n *directoryNode) Heartbeat() *wire.Heartbeat {
	return &wire.Heartbeat{
		NodeId: n.name, NodeStart: 1, Revision: n.Revision(), Sequence: n.directory().NextSequence(),
	}
}

// testSystem is three members and some nodes in virtual time.
type testSystem struct {
	t       *rapid.T
	ctx     context.Context
	log     *fakeLog
	members []*testMember
	nodes   []*directoryNode
	running sync.WaitGroup
}

func newTestSystem(ctx context.Context, t *rapid.T) *testSystem {
	s := &testSystem{t: t, ctx: ctx, log: &fakeLog{quorum: true}}
	for range 3 {
		source := &fakeSource{log: s.log, changed: make(chan struct{})}
		server := distribute.NewServer(source, membership.NewRegistry(), nil, log.NewNopLogger())
		s.members = append(s.members, &testMember{source: source, server: server, open: map[net.Conn]bool{}})
		s.running.Go(func() { server.Run(ctx) })
	}
	for i := range 4 {
		n := &directoryNode{t: t, name: fmt.Sprint("node-", i)}
		s.nodes = append(s.nodes, n)
		s.startNode(n)
	}
	return s
}

// startNode starts a node without any state, as after a loss of its process.
func (s *testSystem) startNode(n *directoryNode) {
	if n.stop != nil {
		n.stop()
	}
	d := New(nil)
	d.fetch = func(_ context.Context, address string, have uint64) (*wire.Envelope, error) {
		for _, peer := range s.nodes {
			if peer.name == address {
				return peer.directory().RevisionAbove(have)
			}
		}
		return nil, errors.New("no such peer")
	}
	n.current.Store(d)
	ctx, cancel := context.WithCancel(s.ctx)
	dial := func(_ context.Context, address string) (net.Conn, error) {
		var index int
		_, _ = fmt.Sscan(address, &index)
		return n.connected(func() (net.Conn, error) { return s.members[index].dial(s.ctx) })
	}
	done := make(chan struct{})
	s.running.Go(func() {
		defer close(done)
		distribute.NewClient(n.name, []string{"0", "1", "2"}, dial, n, log.NewNopLogger()).Run(ctx)
	})
	n.stop = func() {
		cancel()
		<-done
	}
}

// accept adds a document that differs from the last in one section or in none.
func (s *testSystem) accept() {
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

func (s *testSystem) step() {
	m := s.members[rapid.IntRange(0, 2).Draw(s.t, "member")]
	n := s.nodes[rapid.IntRange(0, 3).Draw(s.t, "node")]
	switch rapid.IntRange(0, 9).Draw(s.t, "step") {
	case 0, 1:
		if s.log.quorum {
			s.accept()
		}
	case 2, 3:
		m.source.apply(uint64(rapid.IntRange(0, int(s.log.last())).Draw(s.t, "applied")))
	case 4:
		s.log.mu.Lock()
		s.log.quorum = !s.log.quorum
		s.log.mu.Unlock()
	case 5:
		m.setDown(!m.down)
	case 6:
		s.startNode(n)
	case 7:
		n.setCut(!n.cut)
	case 8:
		peer := s.nodes[rapid.IntRange(0, 3).Draw(s.t, "peer")]
		n.directory().ObserveRevision(peer.name, peer.directory().View().Revision)
	case 9:
		s.replay(n)
	}
	time.Sleep(time.Duration(rapid.IntRange(0, 3000).Draw(s.t, "ms")) * time.Millisecond)
	synctest.Wait()
	for _, n := range s.nodes {
		n.check()
	}
}

// replay delivers an old document and a difference that starts elsewhere.
func (s *testSystem) replay(n *directoryNode) {
	own := n.Revision()
	if own == 0 {
		return
	}
	old := uint64(rapid.IntRange(1, int(own)).Draw(s.t, "old"))
	n.Apply(&wire.StateFull{Revision: old, Document: s.log.documents[old-1], DocumentOnly: true})
	if own < s.log.last() {
		diff := &wire.StateDiff{BaseRevision: own + 1, Revision: s.log.last()}
		assert.Assert(s.t, n.Revision() != own || !n.ApplyDiff(diff))
	}
}

// heal ends all faults and waits for the time in which a revision must be in force.
func (s *testSystem) heal() {
	s.accept()
	s.log.mu.Lock()
	s.log.quorum = true
	s.log.mu.Unlock()
	for _, n := range s.nodes {
		n.setCut(false)
	}
	for _, m := range s.members {
		m.setDown(false)
		m.source.apply(s.log.last())
	}
	time.Sleep(19 * time.Second)
	synctest.Wait()
}

// TestRevisionNeverDecreases guards against a node that goes back to an earlier
// configuration, through members that lag or have no quorum, through peers, or
// after its own restart; and against differences that leave a node with another
// document than the one that was accepted.
func TestRevisionNeverDecreases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The embedded interface hides Deadline, which a bubble does not allow.
		rapid.Check(struct{ testing.TB }{t}, func(t *rapid.T) {
			ctx, cancel := context.WithCancel(context.Background())
			s := newTestSystem(ctx, t)
			defer func() {
				cancel()
				for _, m := range s.members {
					m.setDown(true)
				}
				s.running.Wait()
				time.Sleep(time.Minute)
			}()
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				s.step()
			}
			s.heal()
			want := &document.Document{}
			assert.NilError(t, json.Unmarshal(s.log.documents[s.log.last()-1], want))
			for _, n := range s.nodes {
				n.check()
				view := n.directory().View()
				assert.Equal(t, view.Revision, s.log.last(), n.name)
				assert.Equal(t, fmt.Sprint(view.Doc), fmt.Sprint(want), n.name)
			}
		})
	})
}
