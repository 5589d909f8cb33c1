package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/settings"
	"github.com/chicorylever/chicorylever/internal/transport/mesh"
)

const testDocument = `{"zones": {"a": {"state": "in"}, "b": {"state": "in"}}, "services": {"s": {"hosts": ["s.example"], "timeout_ms": 20000,
	"rules": [{"path_prefix": "/once", "repeatable": false}]}}, "limits": {"retry_share": 1, "hedge_share": 1, "max_body_bytes": 8388608}}`

// fakeControl is a control member without a replicated log. It distributes a document and
// the instances that nodes report, and answers claims by onClaim.
type fakeControl struct {
	address           string
	mu                sync.Mutex
	document          string
	revision          uint64
	version           uint64
	instances         map[string]*wire.Instance
	changed           chan struct{}
	ignoresHeartbeats bool                               // instances in heartbeats are not added
	withheldNode      string                             // ID of a node that is sent no state
	stale             bool                               // the list of instances is incomplete
	acknowledges      bool                               // heartbeats are acknowledged, by a member with a quorum
	evidence          map[string][]*wire.VersionEvidence // of the last heartbeat of each node
	logger            log.Logger
	// onClaim returns the result of a claim; nil closes the stream without a result.
	onClaim  func(*wire.Claim) *wire.ClaimResult
	claims   []*wire.Claim
	recorded []*wire.RecordOutcome
	released []*wire.ReleaseClaim
}

func newFakeControl(t testing.TB) *fakeControl {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	c := &fakeControl{
		address: listener.Addr().String(), document: testDocument, revision: 1,
		instances: map[string]*wire.Instance{}, evidence: map[string][]*wire.VersionEvidence{}, changed: make(chan struct{}), logger: log.NewNopLogger(),
	}
	server := mesh.NewServer(mesh.DefaultConfig(), c.serve)
	go func() { _ = server.Serve(context.Background(), listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		server.Close()
	})
	return c
}

func (c *fakeControl) serve(_ context.Context, stream net.Conn) {
	conn := frame.NewConn(stream)
	first, err := conn.Receive()
	if err != nil {
		return
	}
	if first.GetSubscribe() == nil {
		if reply := c.reply(first); reply != nil {
			_ = conn.SendAndFlush(reply)
		}
		return
	}
	disconnected := make(chan struct{})
	var sending sync.Mutex
	send := func(message *wire.Envelope) error {
		sending.Lock()
		defer sending.Unlock()
		return conn.SendAndFlush(message)
	}
	go func() {
		defer close(disconnected)
		for {
			message, err := conn.Receive()
			if err != nil {
				return
			}
			if heartbeat := message.GetHeartbeat(); heartbeat != nil && c.observe(heartbeat) {
				_ = send(&wire.Envelope{Body: &wire.Envelope_HeartbeatAck{HeartbeatAck: &wire.HeartbeatAck{Sequence: heartbeat.GetSequence()}}})
			}
			if instance := message.GetHeartbeat().GetInstance(); instance != nil {
				c.update(func() {
					if !c.ignoresHeartbeats {
						c.instances[instance.GetId()] = instance
					}
				})
			}
		}
	}()
	for {
		state, changed := c.state()
		if c.withholdsState(first.GetSubscribe().GetNodeId()) {
			state = nil
		}
		if state != nil && send(&wire.Envelope{Body: &wire.Envelope_StateFull{StateFull: state}}) != nil {
			return
		}
		select {
		case <-disconnected:
			return
		case <-changed:
		}
	}
}

// observe records the evidence of a heartbeat and reports whether it is acknowledged.
func (c *fakeControl) observe(heartbeat *wire.Heartbeat) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evidence[heartbeat.GetNodeId()] = heartbeat.GetEvidence()
	return c.acknowledges
}

func (c *fakeControl) reply(request *wire.Envelope) *wire.Envelope {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case request.GetClaim() != nil:
		c.claims = append(c.claims, request.GetClaim())
		if result := c.onClaim(request.GetClaim()); result != nil {
			return &wire.Envelope{Body: &wire.Envelope_ClaimResult{ClaimResult: result}}
		}
		return nil
	case request.GetRecordOutcome() != nil:
		c.recorded = append(c.recorded, request.GetRecordOutcome())
	case request.GetReleaseClaim() != nil:
		c.released = append(c.released, request.GetReleaseClaim())
	}
	return &wire.Envelope{Body: &wire.Envelope_ClaimAck{ClaimAck: &wire.ClaimAck{Ok: true}}}
}

func (c *fakeControl) update(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
	c.version++
	close(c.changed)
	c.changed = make(chan struct{})
}

// isDeparting reports whether a heartbeat has listed the instance as departing.
func (c *fakeControl) isDeparting(instance string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.instances[instance].GetDeparting()
}

func (c *fakeControl) withholdsState(node string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.withheldNode == node
}

func (c *fakeControl) state() (*wire.StateFull, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := &wire.StateFull{Revision: c.revision, Document: []byte(c.document), RegistryVersion: c.version, Confirmed: true, Stale: c.stale}
	for _, instance := range c.instances {
		state.Instances = append(state.Instances, instance)
	}
	return state, c.changed
}

// testNode is a node, with a fake upstream beside it after serve.
type testNode struct {
	*Node
	stop     context.CancelFunc
	upstream *httptest.Server
	requests atomic.Int32
	slots    int
	version  string // software version of the upstream
}

func (c *fakeControl) startNode(t testing.TB, id, zone, meshAddress string) *testNode {
	return c.startNodeWith(t, &settings.Node{ID: id, Zone: zone}, meshAddress, Options{})
}

// startNodeWith starts a node with the given settings and options and loopback listeners.
func (c *fakeControl) startNodeWith(t testing.TB, s *settings.Node, meshAddress string, options Options) *testNode {
	s.EntryListen, s.LocalListen, s.MeshListen, s.AdminListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Control, s.StopTimeoutMs = []string{c.address}, 5000
	n, err := New(s, c.logger, options)
	assert.NilError(t, err)
	s.MeshAddress = meshAddress
	if meshAddress == "" {
		s.MeshAddress = n.meshListener.Addr().String()
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = n.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return &testNode{Node: n, stop: cancel, slots: 4}
}

// serve starts an upstream beside the node and announces it.
func (n *testNode) serve(t testing.TB, handler http.HandlerFunc) {
	n.upstream = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.requests.Add(1)
		handler(w, r)
	}))
	t.Cleanup(n.upstream.Close)
	n.announce(t, n.upstream.Listener.Addr().String(), "1")
}

// listenRaw starts an upstream that serves each connection by itself, and returns its address.
func listenRaw(t testing.TB, serve func(net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			netConn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(netConn)
		}
	}()
	return listener.Addr().String()
}

func (n *testNode) announce(t testing.TB, address, startID string) {
	body := `{"service": "s", "address": "` + address + `", "instance": "i-` + n.settings.ID + `", "start_id": "` + startID + `", "slots": ` + strconv.Itoa(n.slots) + `, "connections": 64, "version": "` + n.version + `"}`
	response, err := http.Post("http://"+n.LocalAddress()+"/v1/announce", "application/json", strings.NewReader(body))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusNoContent)
}

// waitForInstances waits until the node's view has this number of instances.
func (n *testNode) waitForInstances(t testing.TB, instances int) {
	n.directory.Subscribe("s")
	eventually(t, func() bool { return len(n.directory.View().Services["s"]) == instances })
}

func eventually(t testing.TB, condition func() bool) {
	t.Helper()
	for range 4000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("condition has not become true within the time limit")
}

func (n *testNode) url(path string) string { return "http://" + n.EntryAddress() + "/svc/s" + path }

// startPair starts an entry node without an upstream and a node with one.
func startPair(t *testing.T, handler http.HandlerFunc) (control *fakeControl, entry, upstreamNode *testNode) {
	control = newFakeControl(t)
	entry = control.startNode(t, "entry", "a", "")
	upstreamNode = control.startNode(t, "beside", "a", "")
	upstreamNode.serve(t, handler)
	entry.waitForInstances(t, 1)
	return control, entry, upstreamNode
}

// testResponse is the response to a caller with its body, or the error of reading it.
type testResponse struct {
	*http.Response
	body string
	err  error
}

func (a testResponse) outcome() string { return a.Header.Get(httpapi.HeaderOutcome) }

func send(t testing.TB, method, url string, body io.Reader, headers ...string) testResponse {
	t.Helper()
	request, err := http.NewRequest(method, url, body)
	assert.NilError(t, err)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if !assert.Check(t, err) {
		return testResponse{Response: &http.Response{Header: http.Header{}}, err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return testResponse{response, string(data), err}
}

// addPeer registers an instance whose node runs the handler on each mesh stream.
func (c *fakeControl) addPeer(t testing.TB, id string, handler mesh.Handler) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := mesh.NewServer(mesh.DefaultConfig(), handler)
	go func() { _ = server.Serve(context.Background(), listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		server.Close()
	})
	c.update(func() {
		c.instances[id] = &wire.Instance{Id: id, Service: "s", NodeAddress: listener.Addr().String(), Slots: 4, NodeId: id}
	})
}
