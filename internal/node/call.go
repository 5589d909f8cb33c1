package node

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/chicorylever/chicorylever/internal/coordination/overload"
	"github.com/chicorylever/chicorylever/internal/coordination/routing"
	"github.com/chicorylever/chicorylever/internal/node/directory"
	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/settings"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

const (
	servicePrefix = "/svc/"
	// heldBodyBytes is the largest body that is held whole for another attempt.
	heldBodyBytes = 64 << 10
	// maxKeyBytes is the longest idempotency key.
	maxKeyBytes = 255
)

var (
	errNoService  = errors.New("no such service")
	errNoRoute    = errors.New("no route matches")
	errKey        = errors.New(httpapi.HeaderIdempotencyKey + " must have 1 to 255 bytes of UTF-8 and occur once")
	errTarget     = errors.New("target and host must be UTF-8")
	errDepth      = errors.New("chain of calls is too deep")
	errBodyLength = errors.New("body is too large")
)

// call is one request of a caller at its entry node.
type call struct {
	id uuid.UUID
	// name is the identity in logs: the caller's own, or id.
	name    string
	service string
	// route is nil for a request that selects its service itself.
	route    *routing.Route
	target   string
	request  *http.Request
	view     *directory.View
	limits   document.Limits
	rule     document.RequestRule
	key      string
	depth    uint32
	started  time.Time
	deadline time.Time
	headers  []*wire.Header

	// body is the whole body, or its beginning when streamed is set.
	body     []byte
	streamed bool
	// length is -1 when it is unknown.
	length int64
	// rest is the part of a streamed body after body.
	rest io.Reader
	// uploading is set once rest may have been read; the body can't be sent again.
	uploading bool
	retries   int
	// stated is the time left that the caller stated, 0 without one.
	stated  time.Duration
	urgency overload.Urgency
	// parent names the running request that makes a nested call.
	parent string
	// objective is when a response stops being good; zero without one.
	objective time.Time
	// rank is that of the route, or of the request that makes the call when that is lower.
	rank int
	// sent counts the attempts that reached an upstream, refusals those that a node
	// refused.
	sent, refusals int
	// hedged is set once a second attempt has been sent beside the first.
	hedged atomic.Bool
	// stopsRetries is set when callers above must not retry either.
	stopsRetries bool
	// status of the response that was passed on.
	status int
	// stopReading makes a pending read of rest fail.
	stopReading func()
	// resetWrite removes the write deadline from the caller's connection.
	resetWrite func()
}

// newCall reads everything of the request but its body.
func (n *Node) newCall(current *directory.View, r *http.Request, now time.Time) (*call, error) {
	if !utf8.ValidString(r.RequestURI) || !utf8.ValidString(r.Host) {
		return nil, errTarget
	}
	c := &call{
		request: r,
		view:    current,
		limits:  limitsOf(current.Doc),
		started: now,
		length:  r.ContentLength,
	}
	if err := n.selectService(c); err != nil {
		return nil, err
	}
	c.depth = requestDepth(r, n.dialect.Depth) + 1
	if c.depth > httpapi.MaxDepth {
		return nil, errDepth
	}
	if c.length > c.limits.MaxBodyBytes {
		return nil, errBodyLength
	}
	if keys := r.Header.Values(httpapi.HeaderIdempotencyKey); len(keys) > 0 && c.route == nil {
		c.key = keys[0]
		if len(keys) > 1 || c.key == "" || len(c.key) > maxKeyBytes || !utf8.ValidString(c.key) {
			return nil, errKey
		}
	}
	timeout, err := n.requestTimeout(r, c.rule.Timeout())
	if c.route != nil {
		c.stated = timeout
		timeout = min(timeout, c.rule.Timeout())
	}
	c.deadline = now.Add(timeout)
	n.identify(c)
	n.rankUrgency(c)
	return c, err
}

// selectService sets the target, the service and the rule of a call. A route goes before
// the services' own hosts and paths.
func (n *Node) selectService(c *call) error {
	path, _, _ := strings.Cut(c.request.RequestURI, "?")
	if c.route = c.view.Routes.Match(c.request.Host, path); c.route != nil {
		c.target = c.request.RequestURI
		c.service = n.splits.choose(c.route)
		c.rule = document.RequestRule{Repeatable: c.route.Repeatable(), TimeoutMs: c.route.TimeoutMs}
		return nil
	}
	service, target, ok := route(c.view, c.request)
	if !ok {
		if c.view.Routes.IsEmpty() {
			return errNoService
		}
		return errNoRoute
	}
	c.service, c.target = service, target
	config := c.view.Doc.Services[service]
	path, _, _ = strings.Cut(target, "?")
	c.rule = config.Rule(c.request.Method, path)
	return nil
}

// identify sets the identity of a call and the headers that are passed on.
func (n *Node) identify(c *call) {
	c.id, c.name = requestID(c.request, n.dialect.RequestID)
	c.headers = encodeHeaders(c.request.Header, n.ownHeaders)
	if !n.dialect.OpaqueRequestID {
		c.headers = append(c.headers, &wire.Header{Name: proto.String(n.dialect.RequestID), Values: []string{c.id.String()}})
	}
	if service := n.live.Load().Service; n.dialect.CallerService != "" && service != "" {
		c.headers = append(c.headers, &wire.Header{Name: proto.String(n.dialect.CallerService), Values: []string{service}})
	}
}

func limitsOf(doc *document.Document) document.Limits {
	limits, defaults := doc.Limits, document.DefaultLimits()
	if limits.MaxBodyBytes == 0 {
		limits.MaxBodyBytes = defaults.MaxBodyBytes
	}
	if limits.RetryShare == 0 {
		limits.RetryShare = defaults.RetryShare
	}
	if limits.HedgeShare == 0 {
		limits.HedgeShare = defaults.HedgeShare
	}
	return limits
}

// hold reads the body when it is small enough to be held whole.
func (c *call) hold(w http.ResponseWriter) error {
	if c.request.Body == nil || c.request.Body == http.NoBody || c.length == 0 {
		c.length = 0
		return nil
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(c.deadline)
	body := http.MaxBytesReader(w, c.request.Body, c.limits.MaxBodyBytes)
	if c.length > heldBodyBytes {
		c.stream(control, body)
		return nil
	}
	if c.length > 0 {
		c.body = make([]byte, c.length)
		_, err := io.ReadFull(body, c.body)
		return heldBodyRead(control, err)
	}
	var held bytes.Buffer
	_, err := io.CopyN(&held, body, heldBodyBytes+1)
	c.body = held.Bytes()
	if errors.Is(err, io.EOF) {
		c.length = int64(len(c.body))
		return heldBodyRead(control, nil)
	}
	c.stream(control, body)
	return err
}

// heldBodyRead ends the reading of a body that is held. The deadline must not end the
// read by which the HTTP server notices that the caller goes away. For bodies that were
// not read whole the deadline stays; the HTTP server removes it before it reuses the
// connection.
func heldBodyRead(control *http.ResponseController, err error) error {
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
	}
	return err
}

// stream prepares the exchange of a body while the response is written. HTTP/1.1
// servers otherwise read the rest of a body before they write.
func (c *call) stream(control *http.ResponseController, rest io.Reader) {
	_ = control.EnableFullDuplex()
	c.streamed, c.rest = true, rest
	c.stopReading = func() { _ = control.SetReadDeadline(time.Unix(1, 0)) }
}

// streamedBody returns the whole body.
func (c *call) streamedBody() io.Reader {
	return io.MultiReader(bytes.NewReader(c.body), c.rest)
}

// isRepeatable reports whether the request may run more than once. A keyed request
// may not: its second attempt would find the key taken.
func (c *call) isRepeatable() bool { return c.rule.Repeatable && c.key == "" }

func (c *call) isHedgeable() bool {
	return c.isRepeatable() && !c.streamed && (c.route == nil || c.route.MaxAttempts > 1)
}

// leastObjective stands for an objective that has passed, since 0 stands for none.
const leastObjective = time.Microsecond

// objectiveLeft returns the time for which a response is good, or 0 without an objective.
func (c *call) objectiveLeft() time.Duration {
	if c.objective.IsZero() || c.urgency == overload.Late {
		return 0
	}
	return max(leastObjective, time.Until(c.objective))
}

// urgencyNow returns late once the objective has passed. The call of a running request
// stays nested, since the work of that is wasted without it.
func (c *call) urgencyNow() overload.Urgency {
	if c.urgency == overload.InTime && c.objectiveLeft() == leastObjective {
		return overload.Late
	}
	return c.urgency
}

func (c *call) routeName() string {
	if c.route == nil {
		return ""
	}
	return c.route.Name
}

// head returns the first message of an attempt.
func (c *call) head(instance *wire.Instance, entry *settings.Node, number int) *wire.RequestHead {
	return &wire.RequestHead{
		RequestId:      c.id[:],
		Service:        c.service,
		Instance:       instance.GetId(),
		Method:         c.request.Method,
		Target:         c.target,
		Host:           c.request.Host,
		Headers:        c.headers,
		TimeoutUs:      uint64(max(0, time.Until(c.deadline).Microseconds())), //nolint:gosec // not negative
		Depth:          c.depth,
		IdempotencyKey: c.key,
		Repeatable:     c.rule.Repeatable,
		BodyLength:     c.length,
		Revision:       c.view.Revision,
		EntryZone:      entry.Zone,
		SenderAddress:  entry.MeshAddress,
		AttemptNumber:  uint32(number),                           //nolint:gosec // small
		Priority:       uint32(c.rank),                           //nolint:gosec // checked by the document
		ObjectiveUs:    uint64(c.objectiveLeft().Microseconds()), //nolint:gosec // not negative
		Urgency:        urgencyToWire(c.urgencyNow()),
		Route:          c.routeName(),
	}
}

// route returns the service and the request target without the service prefix.
func route(current *directory.View, r *http.Request) (service, target string, ok bool) {
	target = r.URL.RequestURI()
	if rest, found := strings.CutPrefix(target, servicePrefix); found {
		name, path, _ := strings.Cut(rest, "/")
		_, ok = current.Doc.Services[name]
		return name, "/" + path, ok
	}
	if service, ok = current.Hosts[r.Host]; ok {
		return service, target, true
	}
	host := strings.ToLower(r.Host)
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	service, ok = current.Hosts[host]
	return service, target, ok
}

// requestID returns the identity that the caller gave, or a new one, and its text.
func requestID(r *http.Request, header string) (uuid.UUID, string) {
	text := r.Header.Get(header)
	if id, err := uuid.Parse(text); err == nil {
		return id, text
	}
	id := uuid.New()
	if text == "" {
		text = id.String()
	}
	return id, text
}

func (n *Node) requestTimeout(r *http.Request, fallback time.Duration) (time.Duration, error) {
	value := r.Header.Get(n.dialect.Timeout)
	if value == "" {
		return fallback, nil
	}
	ms, err := strconv.ParseUint(value, 10, 31)
	if err != nil {
		return 0, errors.New(n.dialect.Timeout + " must be a number of milliseconds")
	}
	return min(time.Duration(ms)*time.Millisecond, maxTimeout), nil //nolint:gosec // 31 bits
}

func requestDepth(r *http.Request, header string) uint32 {
	if header == "" {
		return 0
	}
	depth, err := strconv.ParseUint(r.Header.Get(header), 10, 8)
	if err != nil {
		return 0
	}
	return uint32(depth)
}

// waitForInstances subscribes to the service and waits for its first state.
func (n *Node) waitForInstances(ctx context.Context, service string) {
	updated := n.directory.Want(service)
	if updated == nil {
		return
	}
	timer := time.NewTimer(subscribeWait)
	defer timer.Stop()
	select {
	case <-updated:
	case <-timer.C:
	case <-ctx.Done():
	}
}
