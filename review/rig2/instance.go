package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	headerRequestID   = "X-Chicorylever-Request-Id"
	headerDeadline    = "X-Chicorylever-Deadline-Ms"
	headerExpect      = "X-Chicorylever-Expect-Instance"
	headerNotExecuted = "X-Chicorylever-Not-Executed"
	headerStamp       = "X-Chicorylever-Response-Stamp"
	headerInstance    = "X-Chicorylever-Instance-Id"
	headerLoad        = "X-Chicorylever-Server-Load"
	headerColdMs      = "X-Chicorylever-Cold-Ms"

	healthPath = "/healthz"
	// heartbeatInterval is the interval of an instance's heartbeats.
	heartbeatInterval = 1500 * time.Millisecond
	// instanceSlots is the number of requests that an instance runs at once, and
	// instanceQueue the number that wait.
	instanceSlots = 6
	instanceQueue = 12
)

// Instance is a stand-in for a server of the platform. It runs a request for the time in the
// query field "work", in milliseconds, and answers with a digest of the request's body.
type Instance struct {
	machine *Machine
	plan    *Plan
	record  *Record

	slots   chan struct{}
	waiting atomic.Int32
	runs    sync.Map // the IDs of the requests that were begun
	cold    coldState

	mu       sync.Mutex
	id       string
	born     int64
	sequence uint64
	server   *http.Server
}

func newInstance(plan *Plan, m *Machine, record *Record) *Instance {
	i := &Instance{machine: m, plan: plan, record: record, slots: make(chan struct{}, instanceSlots)}
	i.renew()
	return i
}

// renew begins a new incarnation.
func (i *Instance) renew() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.born = time.Now().UnixMilli()
	i.id = fmt.Sprintf("i-%s-%d", i.machine.Name, i.born)
	i.sequence = 0
}

func (i *Instance) currentID() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.id
}

// start serves requests and sends heartbeats until ctx ends.
func (i *Instance) start(ctx context.Context) error {
	if err := i.listen(); err != nil {
		return err
	}
	go i.heartbeats(ctx)
	go func() {
		<-ctx.Done()
		i.closeServer()
	}()
	return nil
}

// listen begins to serve requests.
func (i *Instance) listen() error {
	listener, err := net.Listen("tcp", i.machine.address(i.plan.Ports.App))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(i.handle), ReadHeaderTimeout: time.Minute}
	i.mu.Lock()
	i.server = server
	i.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return nil
}

// closeServer closes the listener and all connections.
func (i *Instance) closeServer() {
	i.mu.Lock()
	defer i.mu.Unlock()
	_ = i.server.Close()
}

func (i *Instance) heartbeats(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		interval := heartbeatInterval
		if i.sendHeartbeat(ctx, client) != nil {
			interval = 200 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

func (i *Instance) sendHeartbeat(ctx context.Context, client *http.Client) error {
	i.mu.Lock()
	i.sequence++
	id, born, sequence := i.id, i.born, i.sequence
	i.mu.Unlock()
	body := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":"ready","sequence":%d,"cold-remaining-ms":%d}}`,
		i.machine.address(i.plan.Ports.App), born, i.machine.Service, i.machine.Zone, instanceSlots, sequence, i.cold.remainingMs())
	url := "http://" + i.machine.address(i.plan.Ports.Control) + "/instances/" + id + "/heartbeat"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("heartbeat answered %d", response.StatusCode)
	}
	return nil
}

func (i *Instance) load() string {
	return fmt.Sprintf("%d,%d,%d,100", len(i.slots), i.waiting.Load(), instanceSlots)
}

func (i *Instance) handle(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerLoad, i.load())
	if r.URL.Path == healthPath {
		w.Header().Set(headerInstance, i.currentID())
		w.Header().Set(headerColdMs, strconv.FormatInt(i.cold.remainingMs(), 10))
		return
	}
	id := r.Header.Get(headerRequestID)
	w.Header().Set(headerRequestID, id)
	if expected := r.Header.Get(headerExpect); expected != "" && expected != i.currentID() {
		i.decline(w, http.StatusMisdirectedRequest)
		return
	}
	if i.cold.arrive(time.Now(), sentAt(id)) {
		go i.crash()
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || id == "" {
		i.decline(w, http.StatusBadRequest)
		return
	}
	if i.waiting.Add(1) > instanceQueue {
		i.waiting.Add(-1)
		i.decline(w, http.StatusServiceUnavailable)
		return
	}
	deadline, _ := strconv.Atoi(r.Header.Get(headerDeadline))
	timeout := time.NewTimer(time.Duration(deadline) * time.Millisecond)
	defer timeout.Stop()
	select {
	case i.slots <- struct{}{}:
		i.waiting.Add(-1)
		defer func() { <-i.slots }()
	case <-timeout.C:
		i.waiting.Add(-1)
		i.decline(w, http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		i.waiting.Add(-1)
		return
	}
	i.run(w, r, id, body, timeout.C)
}

func (i *Instance) decline(w http.ResponseWriter, status int) {
	w.Header().Set(headerNotExecuted, "1")
	w.WriteHeader(status)
}

// run runs a request.
func (i *Instance) run(w http.ResponseWriter, r *http.Request, id string, body []byte, deadline <-chan time.Time) {
	digest := sha256.Sum256(body)
	i.runs.Store(id, true)
	i.record.add("run", "id", id, "instance", i.currentID(), "method", r.Method, "target", r.RequestURI, "body", len(body))
	work, _ := strconv.Atoi(r.URL.Query().Get("work"))
	status := http.StatusOK
	select {
	case <-time.After(time.Duration(work) * time.Millisecond):
	case <-deadline:
		status = http.StatusGatewayTimeout
	case <-r.Context().Done():
		i.record.add("run-dropped", "id", id, "instance", i.currentID())
		return
	}
	w.Header().Set(headerStamp, "stamp."+id)
	w.WriteHeader(status)
	_, _ = io.WriteString(w, id+" "+hex.EncodeToString(digest[:]))
	i.record.add("run-ended", "id", id, "instance", i.currentID(), "status", status)
}

// hasRun reports whether the instance has begun to run a request.
func (i *Instance) hasRun(id string) bool {
	_, ok := i.runs.Load(id)
	return ok
}
