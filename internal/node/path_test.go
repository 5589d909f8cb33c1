package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// closeConnection reads the request and closes the connection without a response.
func closeConnection(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	panic(http.ErrAbortHandler)
}

// TestRunsAtMostOnce guards against a second execution of a request that must not be
// repeated: by resending it on a connection, by a retry at another instance or by a
// hedge. The first requests to each upstream leave connections that could be reused.
func TestRunsAtMostOnce(t *testing.T) {
	control := newFakeControl(t)
	entry := control.startNode(t, "entry", "a", "")
	nodes := []*testNode{control.startNode(t, "n1", "a", ""), control.startNode(t, "n2", "b", "")}
	for _, n := range nodes {
		n.serve(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/warm" {
				closeConnection(w, r)
			}
		})
	}
	entry.waitForInstances(t, 2)
	total := func() int32 { return nodes[0].requests.Load() + nodes[1].requests.Load() }
	for range 20 {
		send(t, "GET", entry.url("/warm"), nil)
	}
	for _, c := range []struct{ method, path string }{{"POST", "/p"}, {"GET", "/once"}, {"PUT", "/p"}} {
		before := total()
		a := send(t, c.method, entry.url(c.path), nil)
		assert.Equal(t, a.StatusCode, http.StatusBadGateway)
		assert.Equal(t, a.outcome(), httpapi.OutcomeUnknown)
		assert.Equal(t, total()-before, int32(1), c.method+c.path)
	}
	before := total()
	a := send(t, "GET", entry.url("/repeatable"), nil)
	assert.Equal(t, a.outcome(), httpapi.OutcomeUnknown)
	assert.Equal(t, a.Header.Get(httpapi.HeaderRetried), "1")
	assert.Equal(t, total()-before, int32(2))
}

// TestNotRunIsRetried guards against failing a call whose first instance refused it,
// against executing a request that was answered with "not run", and against wrong counts
// for the service's objective.
func TestNotRunIsRetried(t *testing.T) {
	control, entry, upstreamNode := startPair(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	unreachable := control.startNode(t, "dead", "a", "")
	unreachable.announce(t, "127.0.0.1:1", "1")
	entry.waitForInstances(t, 2)
	var answered int32
	const calls = 40
	for i := range calls {
		a := send(t, "POST", entry.url("/p"), strings.NewReader(strconv.Itoa(i)))
		if a.StatusCode == http.StatusOK {
			answered++
			assert.Equal(t, a.body, strconv.Itoa(i))
		} else {
			assert.Equal(t, a.outcome(), httpapi.OutcomeNotRun)
		}
	}
	assert.Assert(t, answered > 20)
	assert.Equal(t, upstreamNode.requests.Load(), answered)
	counts := entry.metrics.burnCounts()
	assert.Equal(t, len(counts), 1)
	assert.Equal(t, counts[0].GetGood(), uint64(answered))
	assert.Equal(t, counts[0].GetBad(), uint64(calls-answered))
}

// TestUnknownOutcomeIsKept guards against reporting a repeatable request as "not run"
// because its last attempt was refused, when an earlier attempt may have been executed.
func TestUnknownOutcomeIsKept(t *testing.T) {
	control, entry, upstreamNode := startPair(t, closeConnection)
	unreachable := control.startNode(t, "dead", "a", "")
	unreachable.announce(t, "127.0.0.1:1", "1")
	entry.waitForInstances(t, 2)
	for range 20 {
		before := upstreamNode.requests.Load()
		outcome := send(t, "GET", entry.url("/g"), nil).outcome()
		ran := upstreamNode.requests.Load() > before
		assert.Equal(t, outcome == httpapi.OutcomeNotRun, !ran, outcome)
	}
}

// TestRefusals guards against new requests to an upstream that is leaving, whose address
// another instance has taken over, or whose zone is out.
func TestRefusals(t *testing.T) {
	control, entry, upstreamNode := startPair(t, func(http.ResponseWriter, *http.Request) {})
	assert.Equal(t, send(t, "POST", entry.url("/p"), nil).StatusCode, http.StatusOK)
	control.update(func() {
		control.revision++
		control.document = strings.Replace(testDocument, `"a": {"state": "in"}`, `"a": {"state": "out"}`, 1)
	})
	eventually(t, func() bool { return upstreamNode.directory.View().Revision == 2 })
	a := send(t, "POST", entry.url("/p"), nil)
	assert.Equal(t, a.outcome(), httpapi.OutcomeNotRun)
	control.update(func() {
		control.revision++
		control.document = testDocument
	})
	eventually(t, func() bool {
		return upstreamNode.directory.View().Revision == 3 && entry.directory.View().Revision == 3
	})
	assert.Equal(t, send(t, "POST", entry.url("/p"), nil).StatusCode, http.StatusOK)
	instances := entry.directory.View().Services["s"]
	control.update(func() { // a stale registry entry: another instance has taken over its address
		staleEntry := proto.Clone(instances[0]).(*wire.Instance)
		staleEntry.Id = "ghost"
		control.ignoresHeartbeats, control.instances = true, map[string]*wire.Instance{"ghost": staleEntry}
	})
	eventually(t, func() bool { return entry.directory.View().Services["s"][0].GetId() == "ghost" })
	a = send(t, "POST", entry.url("/p"), nil)
	assert.Equal(t, a.Header.Get(httpapi.HeaderReason), "wrong-instance")
	control.update(func() {
		control.ignoresHeartbeats, control.instances = false, map[string]*wire.Instance{instances[0].GetId(): instances[0]}
	})
	eventually(t, func() bool { return entry.directory.View().Services["s"][0].GetId() != "ghost" })

	response, err := http.Post("http://"+upstreamNode.LocalAddress()+"/v1/leave", "", strings.NewReader(`{"start_id": "1"}`))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	a = send(t, "POST", entry.url("/p"), nil)
	assert.Equal(t, a.outcome(), httpapi.OutcomeNotRun)
	assert.Equal(t, upstreamNode.requests.Load(), int32(2))
}

// TestZoneReturnsAtLaggingEntry guards against an entry node that keeps excluding an
// upstream after its zone is in again, because the refusal referred to a revision that
// the entry node had not seen.
func TestZoneReturnsAtLaggingEntry(t *testing.T) {
	control, entry, upstreamNode := startPair(t, func(http.ResponseWriter, *http.Request) {})
	setZone := func(state, withheld string) {
		control.update(func() {
			control.revision++
			control.document = strings.Replace(testDocument, `"a": {"state": "in"}`, `"a": {"state": "`+state+`"}`, 1)
			control.withheldNode = withheld
		})
	}
	setZone("out", "entry")
	eventually(t, func() bool { return upstreamNode.directory.View().Revision == 2 })
	assert.Equal(t, entry.directory.View().Revision, uint64(1))
	assert.Equal(t, send(t, "POST", entry.url("/p"), nil).outcome(), httpapi.OutcomeNotRun)
	setZone("in", "")
	eventually(t, func() bool {
		return upstreamNode.directory.View().Revision == 3 && entry.directory.View().Revision == 3
	})
	assert.Equal(t, send(t, "POST", entry.url("/p"), nil).StatusCode, http.StatusOK)
}

// TestStreaming guards against bodies that are truncated, buffered whole or mixed up, and
// against responses that reach the caller only at their end.
func TestStreaming(t *testing.T) {
	proceed := make(chan struct{})
	_, entry, upstreamNode := startPair(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/echo":
			_ = http.NewResponseController(w).EnableFullDuplex()
			w.Header().Set("Trailer", "Sum")
			n, _ := io.Copy(w, r.Body)
			w.Header().Set("Sum", strconv.FormatInt(n, 10))
		case "/events":
			_, _ = io.WriteString(w, "first")
			_ = http.NewResponseController(w).Flush()
			<-proceed
			_, _ = io.WriteString(w, "second")
		case "/early":
			w.WriteHeader(http.StatusForbidden)
		case "/cut":
			w.Header().Set("Content-Length", "100000")
			_, _ = w.Write(make([]byte, 70000))
		case "/cut-small":
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write(make([]byte, 70))
		}
	})
	for _, e := range []*testNode{entry, upstreamNode} { // over the mesh and within one node
		for _, size := range []int{0, 1, maxBufferedBodyBytes, maxBufferedBodyBytes + 1, 5 << 20} {
			data := make([]byte, size)
			_, _ = rand.NewChaCha8([32]byte{byte(size)}).Read(data)
			for _, body := range []io.Reader{bytes.NewReader(data), io.MultiReader(bytes.NewReader(data))} {
				a := send(t, "POST", e.url("/echo"), body)
				assert.NilError(t, a.err)
				assert.Assert(t, a.body == string(data), "%d bytes", size)
				assert.Equal(t, a.Trailer.Get("Sum"), strconv.Itoa(size))
			}
		}
		events, err := http.Get(e.url("/events"))
		assert.NilError(t, err)
		first := make([]byte, 5)
		_, err = io.ReadFull(events.Body, first)
		assert.NilError(t, err)
		proceed <- struct{}{}
		rest, err := io.ReadAll(events.Body)
		assert.NilError(t, err)
		assert.NilError(t, events.Body.Close())
		assert.Equal(t, string(first)+string(rest), "firstsecond")

		a := send(t, "POST", e.url("/early"), bytes.NewReader(make([]byte, 4<<20)))
		assert.Equal(t, a.StatusCode, http.StatusForbidden)
		assert.Assert(t, send(t, "GET", e.url("/cut"), nil).err != nil, "a truncated response must not appear complete")
		small := send(t, "POST", e.url("/cut-small"), nil)
		assert.Assert(t, small.err != nil || small.outcome() == httpapi.OutcomeUnknown)
		a = send(t, "POST", e.url("/echo"), bytes.NewReader(make([]byte, 9<<20)))
		assert.Equal(t, a.StatusCode, http.StatusRequestEntityTooLarge)
		assert.Equal(t, a.outcome(), httpapi.OutcomeNotRun)
	}
}

// TestDeadlineAndCancel guards against starting a request after its deadline, a deadline
// that is not forwarded, and requests that keep running after the caller has
// disconnected.
func TestDeadlineAndCancel(t *testing.T) {
	timeouts := make(chan string, 8)
	cancelled := make(chan struct{}, 8)
	_, entry, upstreamNode := startPair(t, func(_ http.ResponseWriter, r *http.Request) {
		timeouts <- r.Header.Get(httpapi.HeaderTimeout)
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		cancelled <- struct{}{}
	})
	a := send(t, "POST", entry.url("/p"), nil, httpapi.HeaderTimeout, "0")
	assert.Equal(t, a.outcome(), httpapi.OutcomeNotRun)
	partialBody, bodyWriter := io.Pipe()
	go func() { _, _ = bodyWriter.Write([]byte("half")) }()
	a = send(t, "POST", entry.url("/p"), partialBody, httpapi.HeaderTimeout, "50")
	assert.Equal(t, a.StatusCode, http.StatusRequestTimeout)
	assert.Equal(t, upstreamNode.requests.Load(), int32(0))
	// A cold upstream accepts one request at a time.
	idle := func() bool { return upstreamNode.Node.upstream.gate.Report().GetInFlight() == 0 }
	for _, e := range []*testNode{entry, upstreamNode} {
		for _, size := range []int{0, 1 << 20} {
			eventually(t, idle)
			a = send(t, "POST", e.url("/p"), bytes.NewReader(make([]byte, size)), httpapi.HeaderTimeout, "400")
			assert.Equal(t, a.StatusCode, http.StatusGatewayTimeout, "%d %s", size, a.body)
			assert.Equal(t, a.outcome(), httpapi.OutcomeUnknown)
			ms, err := strconv.Atoi(<-timeouts)
			assert.NilError(t, err)
			assert.Assert(t, ms > 0 && ms <= 400, ms)
			<-cancelled
			eventually(t, idle)

			ctx, cancel := context.WithCancel(context.Background())
			request, _ := http.NewRequestWithContext(ctx, "POST", e.url("/p"), bytes.NewReader(make([]byte, size)))
			go func() {
				<-timeouts
				cancel()
			}()
			_, err = http.DefaultClient.Do(request) //nolint:bodyclose // there is no response
			assert.ErrorIs(t, err, context.Canceled)
			<-cancelled
		}
	}
}

// TestResponsesReachTheirCallers guards against responses that reach another caller's
// request when many calls, some of them cancelled at random times, share connections.
func TestResponsesReachTheirCallers(t *testing.T) {
	echo := func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond)
		_, _ = fmt.Fprintf(w, "%s %s", r.URL.Path, body)
	}
	control, entry, upstreamNode := startPair(t, echo)
	other := control.startNode(t, "other", "b", "")
	other.serve(t, echo)
	entry.waitForInstances(t, 2)
	upstreamNode.waitForInstances(t, 2)
	var group sync.WaitGroup
	for caller := range 16 {
		group.Go(func() {
			for i := range 40 {
				e := []*testNode{entry, upstreamNode}[i%2]
				ctx, cancel := context.WithCancel(context.Background())
				if i%4 == 3 {
					time.AfterFunc(time.Duration(rand.IntN(3000))*time.Microsecond, cancel)
				}
				body := fmt.Sprintf("%d-%d", caller, i)
				request, _ := http.NewRequestWithContext(ctx, "POST", e.url("/"+body), strings.NewReader(body))
				response, err := http.DefaultClient.Do(request)
				if err == nil {
					data, err := io.ReadAll(response.Body)
					_ = response.Body.Close()
					if err == nil && response.StatusCode == http.StatusOK {
						assert.Check(t, string(data) == "/"+body+" "+body, "%s got %s", body, data)
					}
				}
				cancel()
			}
		})
	}
	group.Wait()
}
