package e2e

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
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
	// soakBeat is the time between two announcements of an upstream.
	soakBeat = 300 * time.Millisecond
	// departSlack is the time after an acknowledged departure in which accepted requests
	// may still reach the upstream.
	departSlack = 2 * time.Second
)

// ledger records what the upstreams run, by the path of the request.
type ledger struct {
	mu       sync.Mutex
	runs     map[string]int
	problems []string
}

func (l *ledger) add(path string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[path]++
}

func (l *ledger) count(path string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[path]
}

func (l *ledger) problem(format string, arguments ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.problems = append(l.problems, fmt.Sprintf(format, arguments...))
}

// soakUpstream is an upstream that crashes, leaves and starts anew. It lives in the test,
// which sees all that reaches it.
type soakUpstream struct {
	t        testing.TB
	ledger   *ledger
	instance string
	local    string // of the node beside it

	mu       sync.Mutex
	server   *httptest.Server
	start    int
	sequence uint64
	// leftAt is when its departure was acknowledged, zero before.
	leftAt time.Time
	stop   chan struct{}
}

func newSoakUpstream(t testing.TB, l *ledger, instance, local string) *soakUpstream {
	u := &soakUpstream{t: t, ledger: l, instance: instance, local: local}
	u.begin()
	t.Cleanup(u.crash)
	return u
}

// begin starts the upstream under a new start ID at a new address.
func (u *soakUpstream) begin() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.start++
	u.sequence, u.leftAt, u.stop = 0, time.Time{}, make(chan struct{})
	start := u.start
	u.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { u.serve(start, w, r) }))
	go u.announce(u.stop)
}

// serve answers with the digest of the body after the delay that the query asks for.
func (u *soakUpstream) serve(start int, w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	u.ledger.add(r.URL.Path)
	u.mu.Lock()
	leftAt, isCurrent := u.leftAt, start == u.start
	u.mu.Unlock()
	if isCurrent && !leftAt.IsZero() && arrived.Sub(leftAt) > departSlack {
		u.ledger.problem("%s reached %s %v after its departure was acknowledged", r.URL.Path, u.instance, arrived.Sub(leftAt))
	}
	digest := sha256.New()
	if _, err := io.Copy(digest, r.Body); err != nil {
		return
	}
	ms, _ := strconv.Atoi(r.URL.Query().Get("delay_ms"))
	select {
	case <-time.After(time.Duration(ms) * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	_, _ = io.WriteString(w, soakAnswer(r.Method, r.URL.Path, digest.Sum(nil)))
}

// soakAnswer is longer than one packet, so that a cut answer shows.
func soakAnswer(method, path string, digest []byte) string {
	line := method + " " + path + " " + hex.EncodeToString(digest) + "\n"
	return string(bytes.Repeat([]byte(line), 1+len(path)%40))
}

func (u *soakUpstream) announce(stop <-chan struct{}) {
	for {
		u.mu.Lock()
		u.sequence++
		a := httpapi.Announcement{
			Service: "drafts", Instance: u.instance, Address: u.server.Listener.Addr().String(),
			StartID: strconv.Itoa(u.start), StartedMs: int64(u.start), Sequence: u.sequence,
			Slots: soakSlots, Connections: soakConnections, Leaving: !u.leftAt.IsZero(),
		}
		u.mu.Unlock()
		_ = u.post("/v1/announce", a)
		select {
		case <-stop:
			return
		case <-time.After(soakBeat):
		}
	}
}

func (u *soakUpstream) post(path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	response, err := apiClient.Post("http://"+u.local+path, "application/json", bytes.NewReader(data))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusNoContent {
		return errors.New(response.Status)
	}
	return nil
}

// leave tells the node, and stays until the caller ends it.
func (u *soakUpstream) leave() bool {
	u.mu.Lock()
	start := strconv.Itoa(u.start)
	u.mu.Unlock()
	if u.post("/v1/leave", httpapi.Leave{StartID: start}) != nil {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leftAt = time.Now()
	return true
}

// crash ends the upstream without a word.
func (u *soakUpstream) crash() {
	u.mu.Lock()
	server, stop := u.server, u.stop
	u.server, u.stop = nil, nil
	u.mu.Unlock()
	if server == nil {
		return
	}
	close(stop)
	server.CloseClientConnections()
	_ = server.Listener.Close()
	go server.Close()
}

func isClosedConn(err error) bool { return errors.Is(err, net.ErrClosed) }
