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

// fakeControl distributes a document and what nodes announce, and grants claims from
// memory.
type fakeControl struct {
	address  string
	mu       sync.Mutex
	document string
	revision uint64
	version  uint64
	listed   map[string]*wire.Instance
	changed  chan struct{}
	deaf     bool   // ignores announcements
	withheld string // node that gets no states
	stale    bool   // the list of instances is incomplete
	logger   log.Logger
	// onClaim answers claims; nil is no answer.
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
		listed: map[string]*wire.Instance{}, changed: make(chan struct{}), logger: log.NewNopLogger(),
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
		if answer := c.answer(first); answer != nil {
			_ = conn.SendNow(answer)
		}
		return
	}
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		for {
			message, err := conn.Receive()
			if err != nil {
				return
			}
			if instance := message.GetHeartbeat().GetInstance(); instance != nil {
				c.change(func() {
					if !c.deaf {
						c.listed[instance.GetId()] = instance
					}
				})
			}
		}
	}()
	for {
		state, changed := c.state()
		if c.withholds(first.GetSubscribe().GetNodeId()) {
			state = nil
		}
		if state != nil && conn.SendNow(&wire.Envelope{Body: &wire.Envelope_StateFull{StateFull: state}}) != nil {
			return
		}
		select {
		case <-gone:
			return
		case <-changed:
		}
	}
}

func (c *fakeControl) answer(request *wire.Envelope) *wire.Envelope {
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

func (c *fakeControl) change(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
	c.version++
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *fakeControl) withholds(node string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.withheld == node
}

func (c *fakeControl) state() (*wire.StateFull, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := &wire.StateFull{Revision: c.revision, Document: []byte(c.document), RegistryVersion: c.version, Confirmed: true, Stale: c.stale}
	for _, instance := range c.listed {
		state.Instances = append(state.Instances, instance)
	}
	return state, c.changed
}

// testNode is a node with a fake upstream.
type testNode struct {
	*Node
	stop     context.CancelFunc
	upstream *httptest.Server
	requests atomic.Int32
	slots    int
}

func (c *fakeControl) startNode(t testing.TB, id, zone, meshAddress string) *testNode {
	s := &settings.Node{
		ID: id, Zone: zone, EntryListen: "127.0.0.1:0", LocalListen: "127.0.0.1:0", MeshListen: "127.0.0.1:0",
		AdminListen: "127.0.0.1:0", Control: []string{c.address}, StopTimeoutMs: 5000,
	}
	n, err := New(s, c.logger, Options{})
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

func (n *testNode) announce(t testing.TB, address, startID string) {
	body := `{"service": "s", "address": "` + address + `", "instance": "i-` + n.settings.ID + `", "start_id": "` + startID + `", "slots": ` + strconv.Itoa(n.slots) + `, "connections": 64}`
	response, err := http.Post("http://"+n.LocalAddress()+"/v1/announce", "application/json", strings.NewReader(body))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusNoContent)
}

// waitFor returns once the entry knows the number of instances.
func (n *testNode) waitFor(t testing.TB, instances int) {
	n.directory.Want("s")
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
	t.Fatal("condition does not become true")
}

func (n *testNode) url(path string) string { return "http://" + n.EntryAddress() + "/svc/s" + path }

// pair returns an entry without an upstream and a node with one.
func pair(t *testing.T, handler http.HandlerFunc) (control *fakeControl, entry, beside *testNode) {
	control = newFakeControl(t)
	entry = control.startNode(t, "entry", "a", "")
	beside = control.startNode(t, "beside", "a", "")
	beside.serve(t, handler)
	entry.waitFor(t, 1)
	return control, entry, beside
}

type answer struct {
	*http.Response
	body string
	err  error
}

func (a answer) outcome() string { return a.Header.Get(httpapi.HeaderOutcome) }

func send(t testing.TB, method, url string, body io.Reader, headers ...string) answer {
	t.Helper()
	request, err := http.NewRequest(method, url, body)
	assert.NilError(t, err)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if !assert.Check(t, err) {
		return answer{Response: &http.Response{Header: http.Header{}}, err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return answer{response, string(data), err}
}

// addPeer lists an instance whose node is the handler.
func (c *fakeControl) addPeer(t testing.TB, id string, handler mesh.Handler) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := mesh.NewServer(mesh.DefaultConfig(), handler)
	go func() { _ = server.Serve(context.Background(), listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		server.Close()
	})
	c.change(func() {
		c.listed[id] = &wire.Instance{Id: id, Service: "s", NodeAddress: listener.Addr().String(), Slots: 4, NodeId: id}
	})
}
