package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// signallingUpstream responds with the headers that it is given and records when requests
// arrive, health checks not included.
type signallingUpstream struct {
	mu       sync.Mutex
	headers  map[string]string
	arrivals []time.Time
}

func (u *signallingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	if r.URL.Path != "/health" {
		u.arrivals = append(u.arrivals, time.Now())
	}
	for name, value := range u.headers {
		w.Header().Set(name, value)
	}
	u.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
}

func (u *signallingUpstream) state(headers map[string]string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.headers = headers
}

func (u *signallingUpstream) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.arrivals)
}

// sendEach sends count requests through each of the entries, with an interval between two
// requests, and returns how many were answered by the upstream.
func sendEach(t *testing.T, entries []*testNode, count int, interval time.Duration) (answered int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, entry := range entries {
		for i := range count {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * interval)
				response := send(t, http.MethodGet, entry.url("/p"), nil, httpapi.HeaderTimeout, "300")
				if response.StatusCode == http.StatusOK {
					mu.Lock()
					answered++
					mu.Unlock()
					return
				}
				assert.Check(t, response.outcome() == httpapi.OutcomeNotRun, "status %d, outcome %q", response.StatusCode, response.outcome())
			})
		}
	}
	wg.Wait()
	return answered
}

// TestStatedRateLimitIsKept guards against an upstream in need that gets more requests than the
// rate that it states in its responses allows, summed over all entries, and against one that
// gets none although it states a rate, or that stays limited after it states none.
func TestStatedRateLimitIsKept(t *testing.T) {
	const perSecond = 5.0
	const seconds = 2
	control := newFakeControl(t)
	upstream := &signallingUpstream{headers: map[string]string{httpapi.HeaderRateLimit: fmt.Sprint(perSecond)}}
	beside := control.startNode(t, "beside", "a", "")
	beside.serve(t, upstream.ServeHTTP)
	entries := []*testNode{beside, control.startNode(t, "entry-1", "a", ""), control.startNode(t, "entry-2", "b", "")}
	for _, entry := range entries {
		entry.waitForInstances(t, 1)
	}
	assert.Equal(t, sendEach(t, entries[:1], 1, 0), 1)
	told := upstream.count()

	sendEach(t, entries, 100, seconds*time.Second/100)
	arrived := upstream.count() - told
	assert.Assert(t, float64(arrived) <= 1.5*perSecond*seconds+5, "%d requests in %d s", arrived, seconds)
	assert.Assert(t, float64(arrived) >= 0.8*perSecond*seconds, "%d requests in %d s", arrived, seconds)

	upstream.state(nil)
	eventually(t, func() bool { return sendEach(t, entries[:1], 20, 20*time.Millisecond) == 20 })
}

// newSignallingPair starts an entry node and a node beside an upstream with a health path.
func newSignallingPair(t *testing.T, upstream *signallingUpstream) (control *fakeControl, entry, beside *testNode) {
	control = newFakeControl(t)
	control.document = discoveryDocument
	entry = control.startNode(t, "entry", "a", "")
	beside = control.startNode(t, "beside", "a", "")
	beside.serve(t, upstream.ServeHTTP)
	entry.waitForInstances(t, 1)
	return control, entry, beside
}

// TestStatedLeavingIsObeyed guards against requests to an upstream that has stated in a
// response that it is leaving and has not announced it.
func TestStatedLeavingIsObeyed(t *testing.T) {
	leaving := map[string]string{httpapi.HeaderLeaving: httpapi.LeavingValue}
	cases := []struct {
		name string
		// respond lets the upstream respond once with its headers.
		respond func(t *testing.T, entry, beside *testNode)
	}{
		{name: "response to a request", respond: func(t *testing.T, entry, _ *testNode) {
			response := send(t, http.MethodPost, entry.url("/p"), nil)
			assert.Equal(t, response.StatusCode, http.StatusOK)
			assert.Equal(t, response.Header.Get(httpapi.HeaderLeaving), httpapi.LeavingValue, "the header is forwarded")
		}},
		{name: "health response", respond: func(t *testing.T, _, beside *testNode) {
			probed := make(chan struct{}, 1)
			beside.Node.upstream.measurementBudget.SetRate(time.Now(), defaultProbesPerSecond)
			eventually(t, func() bool {
				beside.Node.upstream.refreshLoad("/health", beside.Node.upstream.needsProbeForSpeed, func() { probed <- struct{}{} })
				<-probed
				return beside.Node.upstream.gate.Report().GetState() == wire.InstanceState_INSTANCE_LEAVING
			})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			upstream := &signallingUpstream{headers: leaving}
			control, entry, beside := newSignallingPair(t, upstream)
			c.respond(t, entry, beside)
			reached := upstream.count()
			for range 3 {
				response := send(t, http.MethodPost, entry.url("/p"), nil)
				assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
				assert.Equal(t, response.outcome(), httpapi.OutcomeNotRun)
			}
			assert.Equal(t, upstream.count(), reached)
			eventually(t, func() bool { return control.isDeparting("i-beside") })
		})
	}
}

// TestRestartedNodeAsksForSignals guards against a restarted node that has forgotten what its
// upstream stated and sends it requests before a response has stated it again: all of them to
// one that is leaving, which control does not know, or as many as it has slots to one in need.
func TestRestartedNodeAsksForSignals(t *testing.T) {
	const slots = 64
	cases := []struct {
		name     string
		headers  map[string]string
		maximum  int // requests that may reach the upstream
		requests int
	}{
		{name: "leaving", headers: map[string]string{httpapi.HeaderLeaving: httpapi.LeavingValue}, requests: 5},
		{name: "in need", headers: map[string]string{httpapi.HeaderRateLimit: "1"}, maximum: 2, requests: 30},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			upstream := &signallingUpstream{headers: c.headers}
			control := newFakeControl(t)
			control.document = strings.Replace(discoveryDocument, `"health_path"`, `"warmup_per_second": 1000, "health_path"`, 1)
			entry := control.startNode(t, "entry", "a", "")
			restarted := control.startNode(t, "beside", "a", "")
			server := httptest.NewServer(upstream)
			t.Cleanup(server.Close)
			restarted.upstream = server
			eventually(t, restarted.isReady)

			a := newAnnouncement(restarted, 17) // an upstream that runs for longer than its node
			a.Slots = slots
			assert.NilError(t, restarted.Announce(a))
			entry.waitForInstances(t, 1)
			eventually(t, func() bool { return restarted.Node.upstream.isOpen("i-beside") })
			sendEach(t, []*testNode{entry}, c.requests, 0)
			assert.Assert(t, upstream.count() <= c.maximum, "%d requests", upstream.count())
		})
	}
}

// TestUpstreamThatDoesNotAnswerIsUsed guards against a restarted node that waits for good for
// what its upstream states, because its health path does not respond.
func TestUpstreamThatDoesNotAnswerIsUsed(t *testing.T) {
	control := newFakeControl(t)
	control.document = discoveryDocument
	restarted := control.startNode(t, "beside", "a", "")
	healthEnded := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			<-healthEnded
		}
	}))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(healthEnded) })
	restarted.upstream = server
	eventually(t, restarted.isReady)
	assert.NilError(t, restarted.Announce(newAnnouncement(restarted, 17)))
	restarted.waitForInstances(t, 1)
	eventually(t, func() bool { return send(t, http.MethodPost, restarted.url("/p"), nil).StatusCode == http.StatusOK })
}
