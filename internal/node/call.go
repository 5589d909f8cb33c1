package node

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/chicorylever/chicorylever/internal/coordination/memlimit"
	"github.com/chicorylever/chicorylever/internal/coordination/overload"
	"github.com/chicorylever/chicorylever/internal/coordination/retry"
	"github.com/chicorylever/chicorylever/internal/coordination/rollout"
	"github.com/chicorylever/chicorylever/internal/coordination/routing"
	"github.com/chicorylever/chicorylever/internal/node/directory"
	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/settings"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

const (
	// maxBufferedBodyBytes is the largest body that is kept in memory, so that it can be
	// sent again in another attempt.
	maxBufferedBodyBytes = 64 << 10
	// maxIdempotencyKeyBytes is the maximum length of an idempotency key.
	maxIdempotencyKeyBytes = 255
)

var (
	errNoService      = errors.New("no such service")
	errNoRoute        = errors.New("no route matches")
	errIdempotencyKey = errors.New(httpapi.HeaderIdempotencyKey + " must have 1 to 255 bytes of UTF-8 and occur once")
	errInvalidTarget  = errors.New("target and host must be UTF-8, and a target that begins with // must be escaped")
	errCallDepth      = errors.New("chain of calls is too deep")
	errBodyTooLarge   = errors.New("body is too large")
)

// call is a caller's request at its entry node.
type call struct {
	id uuid.UUID
	// requestID is the request ID in logs: the one that the caller sent, or the text of
	// id.
	requestID string
	service   string
	// addressing is how the request names its service.
	addressing addressing
	// route is nil unless a route names the service.
	route          *routing.Route
	target         string
	request        *http.Request
	view           *directory.View
	limits         document.Limits
	rule           document.RequestRule
	idempotencyKey string
	depth          uint32
	started        time.Time
	deadline       time.Time
	headers        []*wire.Header

	// hold counts the bytes held for the call beside those that its connection counts.
	hold *memlimit.Hold

	// body is the whole body, or its first part when streamed is set.
	body     []byte
	streamed bool
	// bodyLength is in bytes; -1 when it is unknown.
	bodyLength int64
	// bodyRest reads the part of a streamed body that follows body.
	bodyRest io.Reader
	// uploadStarted is set once bodyRest may have been read; the body can't be sent again
	// from then on.
	uploadStarted bool
	retries       int
	// callerTimeout is the timeout of a call that matched a route: the one that the
	// caller stated, or the route's. It is 0 without a route.
	callerTimeout time.Duration
	urgency       overload.Urgency
	// organisation is the one that the caller's key belongs to, or that of the parent request
	// of a nested call; empty without either.
	organisation string
	// hasKey is set when the caller has sent the key of the organisation, whose digest is
	// keyDigest.
	hasKey    bool
	keyDigest document.KeyDigest
	// usesQuota is set when the call was counted against the quota of its organisation.
	usesQuota bool
	// parent is the running request that makes this call, if isNested is set.
	parent   overload.Parent
	isNested bool
	// parentRequestID is the request ID of the running request that makes this nested
	// call.
	parentRequestID string
	// objectiveDeadline is the time until which a response meets the latency objective;
	// zero without an objective.
	objectiveDeadline time.Time
	// priority is that of the organisation and the route, or of the parent request; see
	// setUrgency. 0 is the highest priority.
	priority int
	// sentAttempts counts the attempts that may have reached an upstream, refusedAttempts those
	// that a node refused.
	sentAttempts, refusedAttempts int
	// versionRefused is set once an available instance of the version that the call chose in a
	// rollout has not answered the call well. The call then stays with this version: the load or
	// the fault of one version must not move requests to the other.
	versionRefused bool
	// excludedVersions are the versions of instances whose nodes refused the call because of a
	// later revision of the rollout.
	excludedVersions rollout.VersionSet
	// hedged is set once the first attempt has been hedged.
	hedged atomic.Bool
	// firstQuote is what the upstream of the first attempt had quoted when it was chosen.
	firstQuote retry.Primary
	// suppressCallerRetries is set when the hops above must not retry either.
	suppressCallerRetries bool
	// status is the status code of the response that was forwarded.
	status int
	// abortBodyRead makes a pending read of bodyRest fail. bodyReadAborted is set if the caller had
	// not left by then: net/http ends the context of the request as if it had.
	abortBodyRead   func()
	bodyReadAborted atomic.Bool
	// clearWriteDeadline removes the write deadline from the caller's connection.
	clearWriteDeadline func()
}

// newCall validates the head of a request and returns its call. It does not read the
// body.
func (n *Node) newCall(view *directory.View, r *http.Request, now time.Time) (*call, error) {
	if !isValidTarget(r) {
		return nil, errInvalidTarget
	}
	c := &call{
		hold:       memlimit.NewHold(memlimit.FromContext(r.Context())),
		request:    r,
		view:       view,
		limits:     limitsWithDefaults(view.Doc),
		started:    now,
		bodyLength: r.ContentLength,
	}
	if err := n.selectService(c, n.splitter.chooseService); err != nil {
		return nil, err
	}
	if err := n.authenticate(c); err != nil {
		return nil, err
	}
	c.depth = requestDepth(r, n.dialect.Depth) + 1
	if c.depth > httpapi.MaxDepth {
		return nil, errCallDepth
	}
	if c.bodyLength > c.limits.MaxBodyBytes {
		return nil, errBodyTooLarge
	}
	if keys := r.Header.Values(httpapi.HeaderIdempotencyKey); len(keys) > 0 && c.route == nil {
		c.idempotencyKey = keys[0]
		if len(keys) > 1 || c.idempotencyKey == "" || len(c.idempotencyKey) > maxIdempotencyKeyBytes || !utf8.ValidString(c.idempotencyKey) {
			return nil, errIdempotencyKey
		}
	}
	timeout, err := n.requestTimeout(r, c.rule.Timeout())
	if c.route != nil {
		c.callerTimeout = timeout
		timeout = min(timeout, c.rule.Timeout())
	}
	c.deadline = now.Add(timeout)
	n.setRequestIDAndHeaders(c)
	n.setUrgency(c)
	return c, err
}

// selectService sets the target, the service and the rule of a call. choose returns the
// service of a route. Routes take
// precedence over the hosts and path prefixes of services.
func (n *Node) selectService(c *call, choose func(*routing.Route) string) error {
	path, _, _ := strings.Cut(c.request.RequestURI, "?")
	if c.route = c.view.Routes.Match(c.request.Host, path); c.route != nil {
		c.addressing = addressedByRoute
		c.target = c.request.RequestURI
		c.service = choose(c.route)
		c.rule = document.RequestRule{Repeatable: c.route.Repeatable(), TimeoutMs: c.route.TimeoutMs}
		return nil
	}
	if n.options.RoutesOnly || !resolveService(c) {
		return n.unmatchedError(c.view)
	}
	config := c.view.Doc.Services[c.service]
	path, _, _ = strings.Cut(c.target, "?")
	c.rule = config.Rule(c.request.Method, path)
	return nil
}

// unmatchedError returns the error for a request that names no service. Only errNoService
// lets the caller return.
func (n *Node) unmatchedError(view *directory.View) error {
	// A document without services is the one that the cluster was created with, before the
	// operators' first configuration. One whose last route was dropped still has services.
	isConfigured := n.options.RoutesOnly && len(view.Doc.Services) > 0
	if isConfigured || !view.Routes.IsEmpty() {
		return errNoRoute
	}
	return errNoService
}

// setRequestIDAndHeaders sets the request ID of a call and the headers that are
// forwarded.
func (n *Node) setRequestIDAndHeaders(c *call) {
	c.id, c.requestID = parseRequestID(c.request, n.dialect.RequestID)
	c.headers = encodeHeaders(c.request.Header, n.systemRequestHeaders)
	if !n.dialect.OpaqueRequestID {
		c.headers = append(c.headers, &wire.Header{Name: proto.String(n.dialect.RequestID), Values: []string{c.id.String()}})
	}
	if service := n.liveSettings.Load().Service; n.dialect.CallerService != "" && service != "" {
		c.headers = append(c.headers, &wire.Header{Name: proto.String(n.dialect.CallerService), Values: []string{service}})
	}
	n.addOrganisationHeader(c)
}

func limitsWithDefaults(doc *document.Document) document.Limits {
	limits, defaults := doc.Limits, document.DefaultLimits()
	if limits.MaxBodyBytes == 0 {
		limits.MaxBodyBytes = defaults.MaxBodyBytes
	}
	if limits.RetryShare == 0 {
		limits.RetryShare = defaults.RetryShare
	}
	if limits.HedgeShare == nil {
		limits.HedgeShare = defaults.HedgeShare
	}
	return limits
}

// isRepeatable reports whether the request may be executed more than once. A request with
// an idempotency key may not: its second attempt would find the key already claimed.
func (c *call) isRepeatable() bool { return c.rule.Repeatable && c.idempotencyKey == "" }

func (c *call) isHedgeable() bool {
	return c.isRepeatable() && !c.streamed && (c.route == nil || c.route.MaxAttempts > 1)
}

// minObjectiveRemaining is returned for an objective that has passed, since 0 means that
// there is none.
const minObjectiveRemaining = time.Microsecond

// objectiveRemaining returns the time left to meet the latency objective, or 0 without an
// objective.
func (c *call) objectiveRemaining() time.Duration {
	if c.objectiveDeadline.IsZero() || c.urgency == overload.Late {
		return 0
	}
	return max(minObjectiveRemaining, time.Until(c.objectiveDeadline))
}

// currentUrgency returns overload.Late once the objective has passed. A nested call stays
// nested, since refusing it wastes the work of its parent request.
func (c *call) currentUrgency() overload.Urgency {
	if c.urgency == overload.InTime && c.objectiveRemaining() == minObjectiveRemaining {
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

// head returns the RequestHead message of an attempt.
func (c *call) head(instance *wire.Instance, entry *settings.Node, revision uint64, attemptNumber int) *wire.RequestHead {
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
		IdempotencyKey: c.idempotencyKey,
		Repeatable:     c.rule.Repeatable,
		BodyLength:     c.bodyLength,
		Revision:       revision,
		EntryZone:      entry.Zone,
		SenderAddress:  entry.MeshAddress,
		AttemptNumber:  uint32(attemptNumber),                         //nolint:gosec // small
		Priority:       uint32(c.priority),                            //nolint:gosec // checked by the document
		ObjectiveUs:    uint64(c.objectiveRemaining().Microseconds()), //nolint:gosec // not negative
		Urgency:        urgencyToWire(c.currentUrgency()),
		Route:          c.routeName(),
		Organisation:   c.organisation,
	}
}

// parseRequestID returns the request ID in the header, or a new one, and its text. A text
// that is not a UUID is returned with a new ID.
func parseRequestID(r *http.Request, header string) (uuid.UUID, string) {
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

// awaitFirstInstances subscribes to the service and waits for its first list of
// instances, for subscribeTimeout at most.
func (n *Node) awaitFirstInstances(ctx context.Context, service string) {
	updated := n.directory.Subscribe(service)
	if updated == nil {
		return
	}
	timer := time.NewTimer(subscribeTimeout)
	defer timer.Stop()
	select {
	case <-updated:
	case <-timer.C:
	case <-ctx.Done():
	}
}
