package standin

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// heartbeatInterval is heartbeat-ms of the deployment.
	heartbeatInterval = 1500 * time.Millisecond
	// instanceSlots is the number of requests that an instance processes at once.
	instanceSlots = 6
)

// Run is one request that an instance began to work on.
type Run struct {
	At        time.Time
	RequestID string
	Method    string
	Target    string
	Body      []byte
	Machine   *Machine
}

// Instance stands in for the application instance on a sidecar machine. It is sound: it runs
// each request that reaches it, and refuses one that is meant for another instance.
type Instance struct {
	ID      string
	Machine *Machine
	// Work is the time that a request takes.
	Work time.Duration
	// Handle, if not nil, answers a request in place of the usual answer, after it has been
	// recorded as run.
	Handle func(w http.ResponseWriter, r *http.Request, body []byte)

	born     int64
	sequence atomic.Uint64
	running  atomic.Int64
	leaving  atomic.Bool
	slots    chan struct{}
	server   *http.Server
	cancel   context.CancelFunc
	done     chan struct{}

	mu   sync.Mutex
	runs []Run
}

// StartInstance starts the instance beside the node of a machine and its heartbeats.
func StartInstance(m *Machine, id string, work time.Duration) (*Instance, error) {
	i := &Instance{ID: id, Machine: m, Work: work, born: time.Now().UnixMilli(), slots: make(chan struct{}, instanceSlots), done: make(chan struct{})}
	listener, err := net.Listen("tcp", m.Address(m.fleet.Ports.App))
	if err != nil {
		return nil, err
	}
	i.server = &http.Server{Handler: i, IdleTimeout: 10 * time.Second, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = i.server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	go i.sendHeartbeats(ctx)
	return i, nil
}

// Close ends the instance.
func (i *Instance) Close() {
	i.cancel()
	<-i.done
	_ = i.server.Close()
}

// Runs returns what the instance has run so far.
func (i *Instance) Runs() []Run {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]Run(nil), i.runs...)
}

// ServeHTTP implements http.Handler.
func (i *Instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	header.Set("X-Chicorylever-Request-Id", r.Header.Get("X-Chicorylever-Request-Id"))
	header.Set("X-Chicorylever-Server-Load", fmt.Sprintf("%d,0,%d,100", i.running.Load(), instanceSlots))
	header.Set("X-Chicorylever-Response-Stamp", i.ID)
	if i.leaving.Load() {
		header.Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/healthz" {
		header.Set("X-Chicorylever-Instance-Id", i.ID)
		header.Set("X-Chicorylever-Cold-Ms", "0")
		if i.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if expected := r.Header.Get("X-Chicorylever-Expect-Instance"); expected != "" && expected != i.ID {
		header.Set("X-Chicorylever-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	i.slots <- struct{}{}
	defer func() { <-i.slots }()
	i.running.Add(1)
	defer i.running.Add(-1)
	run := Run{At: time.Now(), RequestID: r.Header.Get("X-Chicorylever-Request-Id"), Method: r.Method, Target: r.RequestURI, Machine: i.Machine}
	i.Machine.fleet.Record.Logf("%s (%s, zone %s) runs %s %s id %s", i.ID, i.Machine.Name, i.Machine.Zone, run.Method, run.Target, run.RequestID)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		i.Machine.fleet.Record.Logf("%s: body of %s ends early: %v", i.ID, run.RequestID, err)
	}
	run.Body = body
	i.mu.Lock()
	i.runs = append(i.runs, run)
	i.mu.Unlock()
	if i.Handle != nil {
		i.Handle(w, r, body)
		return
	}
	time.Sleep(i.Work)
	_, _ = fmt.Fprintf(w, "answer of %s to %s\n", i.ID, run.RequestID)
}

func (i *Instance) sendHeartbeats(ctx context.Context) {
	defer close(i.done)
	for {
		state := "ready"
		if i.leaving.Load() {
			state = "draining"
		}
		err := i.Heartbeat(ctx, state)
		pause := heartbeatInterval
		if err != nil {
			pause = heartbeatInterval / 10
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// Heartbeat sends one heartbeat with the state. It returns nil if it was acknowledged.
func (i *Instance) Heartbeat(ctx context.Context, state string) error {
	body := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},`+
		`"status":{"state":%q,"sequence":%d,"cold-remaining-ms":0}}`,
		i.Machine.Address(i.Machine.fleet.Ports.App), i.born, i.Machine.Service, i.Machine.Zone, instanceSlots, state, i.sequence.Add(1))
	return i.Machine.PostHeartbeat(ctx, i.ID, []byte(body))
}

// Drain tells the node that the instance is leaving, until that is acknowledged, and returns
// the time of the acknowledgement. The instance keeps serving.
func (i *Instance) Drain() time.Time {
	i.leaving.Store(true)
	for i.Heartbeat(context.Background(), "draining") != nil {
		time.Sleep(heartbeatInterval / 10)
	}
	i.Machine.fleet.Record.Logf("%s (%s) is draining; acknowledged", i.ID, i.Machine.Name)
	return time.Now()
}

// PostHeartbeat sends the body of a heartbeat for an instance to the node of the machine. It
// returns nil if the node acknowledges it.
func (m *Machine) PostHeartbeat(ctx context.Context, id string, body []byte) error {
	url := "http://" + m.Address(m.fleet.Ports.Control) + "/instances/" + id + "/heartbeat"
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("heartbeat: status %d", response.StatusCode)
	}
	return nil
}
