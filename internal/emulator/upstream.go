// Package emulator implements an upstream for development and tests: an HTTP server that
// announces to the node beside it that it has started and, later, that it is leaving.
package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
)

const (
	// headerTimeout is the timeout for reading the header of a request.
	headerTimeout = 5 * time.Second
	// announceRetryDelay is the delay before an announcement that got no response is repeated.
	announceRetryDelay = 50 * time.Millisecond
	// requestTimeout is the timeout of one request to the node.
	requestTimeout = 2 * time.Second
)

// ErrRefused is returned when the node rejects a request of the upstream, for example its
// announcement.
var ErrRefused = errors.New("emulator: node rejected the request")

// Options describe an upstream.
type Options struct {
	// Service and Instance are announced to the node.
	Service  string
	Instance string
	// Node is host:port of the node's loopback listener.
	Node string
	// Slots is the number of concurrent requests and Connections the number of connections
	// that are announced to the node.
	Slots       int
	Connections int
	// Handler serves the requests.
	Handler http.Handler
	// IsRateLimited lets the upstream state in its responses that it accepts RateLimit requests
	// per second from all nodes together.
	IsRateLimited bool
	RateLimit     float64
}

// Upstream is an HTTP server on a loopback port that announces itself to a node.
type Upstream struct {
	options  Options
	startID  string
	listener net.Listener
	server   *http.Server
	leaving  atomic.Bool
}

// New returns an upstream that listens but does not accept requests before Run.
func New(options Options) (*Upstream, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "emulator")
	}
	u := &Upstream{options: options, startID: uuid.NewString(), listener: listener}
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve), ReadHeaderTimeout: headerTimeout}
	return u, nil
}

// serve states in the headers of each response what the upstream needs, and lets the handler of
// the options respond.
func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	if u.options.IsRateLimited {
		w.Header().Set(httpapi.HeaderRateLimit, strconv.FormatFloat(u.options.RateLimit, 'g', -1, 64))
	}
	if u.leaving.Load() {
		w.Header().Set(httpapi.HeaderLeaving, httpapi.LeavingValue)
	}
	u.options.Handler.ServeHTTP(w, r)
}

// Run serves requests until ctx ends. It first repeats the announcement until the node
// accepts it and returns ErrRefused if the node rejects it. Leave must be called before
// ctx ends.
func (u *Upstream) Run(ctx context.Context) error {
	go func() { _ = u.server.Serve(u.listener) }()
	defer func() { _ = u.server.Close() }()
	if err := u.announce(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

func (u *Upstream) announce(ctx context.Context) error {
	body := httpapi.Announcement{
		Service:     u.options.Service,
		Address:     u.listener.Addr().String(),
		Instance:    u.options.Instance,
		StartID:     u.startID,
		Slots:       u.options.Slots,
		Connections: u.options.Connections,
	}
	for {
		err := u.post(ctx, "/v1/announce", body)
		if err == nil || errors.Is(err, ErrRefused) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(announceRetryDelay):
		}
	}
}

// Leave announces to the node that the upstream is leaving. From the call on its responses state
// it too, whether or not the announcement arrives.
func (u *Upstream) Leave(ctx context.Context) error {
	u.leaving.Store(true)
	return u.post(ctx, "/v1/leave", httpapi.Leave{StartID: u.startID})
}

func (u *Upstream) post(ctx context.Context, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "emulator")
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.options.Node+path, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "emulator")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "emulator")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusNoContent {
		reason, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return errors.WithMessagef(ErrRefused, "%s: %s", response.Status, reason)
	}
	return nil
}
