package node

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

const (
	servicePrefix = "/svc/"
	// subscribeWait bounds the wait for the first state of a service.
	subscribeWait = 2 * time.Second
	// heldBodyBytes is the largest body that is held whole for another attempt.
	heldBodyBytes = 64 << 10
)

// call is one request of a caller at its entry node.
type call struct {
	id      uuid.UUID
	service string
	target  string
	request *http.Request
	rule    document.RequestRule
	body    []byte
	depth   uint32
}

// handleCall serves a caller's request.
func (n *Node) handleCall(w http.ResponseWriter, r *http.Request) {
	c, ok := n.newCall(r)
	if !ok {
		refuse(w, wire.RefusalReason_REFUSAL_NO_UPSTREAM, "no such service")
		return
	}
	timeout, err := requestTimeout(r, c.rule.Timeout())
	if err != nil {
		writeError(w, http.StatusBadRequest, httpapi.ErrorBody{Error: err.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	if c.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, heldBodyBytes)); err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, httpapi.ErrorBody{Error: err.Error()})
		return
	}
	n.attempts(ctx, w, c)
}

// attempts tries instances until one answers or none is left.
func (n *Node) attempts(ctx context.Context, w http.ResponseWriter, c *call) {
	instances := n.instances(ctx, c.service)
	reason := wire.RefusalReason_REFUSAL_NO_UPSTREAM
	for _, i := range rand.Perm(len(instances)) {
		result := n.attempt(ctx, w, c, instances[i])
		switch result.outcome {
		case outcomeAnswered:
			return
		case outcomeUnknown:
			writeError(w, http.StatusBadGateway, httpapi.ErrorBody{
				Error: "no complete response", Outcome: httpapi.OutcomeUnknown, Reason: result.detail,
			})
			return
		case outcomeNotRun:
			reason = result.reason
		}
	}
	refuse(w, reason, "no upstream took the request")
}

func (n *Node) instances(ctx context.Context, service string) []*wire.Instance {
	if updated := n.directory.want(service); updated != nil {
		timer := time.NewTimer(subscribeWait)
		defer timer.Stop()
		select {
		case <-updated:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	return n.directory.view().services[service]
}

func (n *Node) newCall(r *http.Request) (*call, bool) {
	current := n.directory.view()
	service, target, ok := route(current, r)
	if !ok {
		return nil, false
	}
	config := current.doc.Services[service]
	path, _, _ := strings.Cut(target, "?")
	return &call{
		id:      uuid.New(),
		service: service,
		target:  target,
		request: r,
		rule:    config.Rule(r.Method, path),
		depth:   requestDepth(r) + 1,
	}, true
}

// route returns the service and the request target without the service prefix.
func route(current *view, r *http.Request) (service, target string, ok bool) {
	target = r.URL.RequestURI()
	if rest, found := strings.CutPrefix(target, servicePrefix); found {
		name, path, _ := strings.Cut(rest, "/")
		_, ok = current.doc.Services[name]
		return name, "/" + path, ok
	}
	service, ok = current.hosts[r.Host]
	return service, target, ok
}

func requestTimeout(r *http.Request, fallback time.Duration) (time.Duration, error) {
	value := r.Header.Get(httpapi.HeaderTimeout)
	if value == "" {
		return fallback, nil
	}
	ms, err := strconv.ParseUint(value, 10, 31)
	return time.Duration(ms) * time.Millisecond, err
}

func requestDepth(r *http.Request) uint32 {
	depth, err := strconv.ParseUint(r.Header.Get(httpapi.HeaderDepth), 10, 8)
	if err != nil {
		return 0
	}
	return uint32(depth)
}

func refuse(w http.ResponseWriter, reason wire.RefusalReason, detail string) {
	writeError(w, http.StatusServiceUnavailable, httpapi.ErrorBody{
		Error: detail, Outcome: httpapi.OutcomeNotRun, Reason: httpapi.ReasonName(reason),
	})
}
