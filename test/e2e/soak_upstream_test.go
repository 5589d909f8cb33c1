package e2e

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
)

const (
	soakSlots       = 6
	soakConnections = 100
	// soakAnnounceInterval is the time between two announcements of an upstream.
	soakAnnounceInterval = 300 * time.Millisecond
	// departureGrace is the time after an acknowledged departure in which requests that
	// were already accepted may still reach the upstream.
	departureGrace = 2 * time.Second
)

// requestRecorder counts how often the upstreams ran each request path, and collects the
// violations that the test found.
type requestRecorder struct {
	mu       sync.Mutex
	runs     map[string]int
	problems []string
}

func (r *requestRecorder) addRun(path string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[path]++
}

func (r *requestRecorder) runCount(path string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[path]
}

func (r *requestRecorder) addProblem(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problems = append(r.problems, fmt.Sprintf(format, arguments...))
}

// soakUpstream is an upstream that can crash, leave and restart. It runs in the test
// process, which records every request that reaches it.
type soakUpstream struct {
	t        testing.TB
	recorder *requestRecorder
	instance string
	// localAddress is the address at which the upstream's node accepts announcements.
	localAddress string
	versions     *soakVersions

	mu sync.Mutex
	// version is the software version of the upstream, empty while it is not to run.
	version string
	// isBad is set when half of the responses are failures.
	isBad       bool
	server      *httptest.Server
	startNumber int
	sequence    uint64
	// departureAckedAt is when the node acknowledged the departure, zero before.
	departureAckedAt time.Time
	signals          upstreamSignals
	stopAnnouncing   chan struct{}
}

// newSoakUpstream returns an upstream, which runs unless the version is empty.
func newSoakUpstream(t testing.TB, s *soak, instance, version, localAddress string) *soakUpstream {
	u := &soakUpstream{t: t, recorder: s.recorder, versions: &s.versions, instance: instance, version: version, localAddress: localAddress}
	u.start()
	t.Cleanup(u.crash)
	return u
}

// start starts the upstream with a new start ID at a new address, unless it is not to run.
func (u *soakUpstream) start() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.version == "" || u.server != nil {
		return
	}
	u.startNumber++
	u.sequence, u.departureAckedAt, u.stopAnnouncing = 0, time.Time{}, make(chan struct{})
	startNumber, version, isBad := u.startNumber, u.version, u.isBad
	u.signals = upstreamSignals{start: u.instance + "/" + strconv.Itoa(startNumber)}
	u.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != soakHealthPath {
			u.versions.checkArrival(u, version, r)
		}
		if isBad && rand.IntN(2) == 0 {
			u.recorder.addRun(r.URL.Path)
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		u.serve(startNumber, w, r)
	}))
	go u.announce(u.stopAnnouncing)
}

// serve responds with the digest of the request body after the delay that the query
// parameter delay_ms asks for.
func (u *soakUpstream) serve(startNumber int, w http.ResponseWriter, r *http.Request) {
	receivedAt := time.Now()
	if r.URL.Path == soakHealthPath {
		u.writeSignals(w.Header())
		return
	}
	u.recorder.addRun(r.URL.Path)
	u.mu.Lock()
	departureAckedAt, isCurrentStart := u.departureAckedAt, startNumber == u.startNumber
	u.mu.Unlock()
	if isCurrentStart && !departureAckedAt.IsZero() && receivedAt.Sub(departureAckedAt) > departureGrace {
		u.recorder.addProblem("request %s reached upstream %s %v after its departure was acknowledged", r.URL.Path, u.instance, receivedAt.Sub(departureAckedAt))
	}
	if isCurrentStart {
		sentAtNs, _ := strconv.ParseInt(r.URL.Query().Get("sent_ns"), 10, 64)
		u.checkArrival(r.URL.Path, time.Unix(0, sentAtNs), receivedAt)
	}
	digest := sha256.New()
	if _, err := io.Copy(digest, r.Body); err != nil {
		return
	}
	delayMs, _ := strconv.Atoi(r.URL.Query().Get("delay_ms"))
	select {
	case <-time.After(time.Duration(delayMs) * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	u.writeSignals(w.Header())
	_, _ = io.WriteString(w, soakResponse(r.Method, r.URL.Path, digest.Sum(nil)))
}

// soakResponse returns the response body to a request. It is longer than one packet, so
// that a truncated response is detected.
func soakResponse(method, path string, digest []byte) string {
	line := method + " " + path + " " + hex.EncodeToString(digest) + "\n"
	return string(bytes.Repeat([]byte(line), 1+len(path)%40))
}

// announce sends announcements to the node until stop is closed.
func (u *soakUpstream) announce(stop <-chan struct{}) {
	for {
		u.mu.Lock()
		u.sequence++
		announcement := httpapi.Announcement{
			Service: "drafts", Instance: u.instance, Address: u.server.Listener.Addr().String(),
			StartID: strconv.Itoa(u.startNumber), StartedMs: int64(u.startNumber), Sequence: u.sequence,
			Version: u.version, Slots: soakSlots, Connections: soakConnections, Leaving: !u.departureAckedAt.IsZero(),
		}
		u.mu.Unlock()
		_ = u.post("/v1/announce", announcement)
		select {
		case <-stop:
			return
		case <-time.After(soakAnnounceInterval):
		}
	}
}

func (u *soakUpstream) post(path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	response, err := apiClient.Post("http://"+u.localAddress+path, "application/json", bytes.NewReader(data))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusNoContent {
		return errors.New(response.Status)
	}
	return nil
}

// leave announces the departure to the node and reports whether the node acknowledged it.
// The upstream keeps serving until crash.
func (u *soakUpstream) leave() bool {
	u.mu.Lock()
	startID := strconv.Itoa(u.startNumber)
	u.mu.Unlock()
	if u.post("/v1/leave", httpapi.Leave{StartID: startID}) != nil {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.departureAckedAt = time.Now()
	return true
}

// crash stops the upstream without announcing its departure.
func (u *soakUpstream) crash() {
	u.mu.Lock()
	server, stopAnnouncing := u.server, u.stopAnnouncing
	u.server, u.stopAnnouncing = nil, nil
	u.mu.Unlock()
	if server == nil {
		return
	}
	close(stopAnnouncing)
	server.CloseClientConnections()
	_ = server.Listener.Close()
	go server.Close()
}

func isClosedConn(err error) bool { return errors.Is(err, net.ErrClosed) }
