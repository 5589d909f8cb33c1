package node

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/chicorylever/chicorylever/internal/coordination/admission"
	"github.com/chicorylever/chicorylever/internal/coordination/memlimit"
	"github.com/chicorylever/chicorylever/internal/coordination/overload"
	"github.com/chicorylever/chicorylever/internal/node/egress"
	"github.com/chicorylever/chicorylever/internal/node/msgstream"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// attemptState is the state of an attempt at the node beside the upstream. It never
// returns to an earlier state.
type attemptState int32

const (
	stateReceived attemptState = iota
	stateAdmitted
	// stateDispatched is set just before the first byte is written to the upstream.
	// From then on a refusal never states that the attempt was not run, unless the
	// upstream itself has declined it.
	stateDispatched
	stateAnswered
)

var (
	errDeadlinePassed   = errors.New("deadline passed before dispatch")
	errAttemptCancelled = errors.New("attempt cancelled before dispatch")
	errVersionExcluded  = errors.New("software version excluded before dispatch")
	errNoOriginMarker   = errors.New("response has no origin marker of the upstream")
)

// receivedAttempt is an attempt that has arrived at the node beside the upstream.
type receivedAttempt struct {
	node     *Node
	stream   msgstream.Stream
	head     *wire.RequestHead
	id       []byte
	deadline time.Time
	// objectiveDeadline is the time until which a response meets the latency objective;
	// zero without an objective.
	objectiveDeadline time.Time
	// streamed is set when the body is forwarded while it arrives, instead of buffered in
	// body.
	streamed bool
	body     []byte
	pool     *egress.Pool
	permit   admission.Permit
	claim    *grantedClaim // nil without an idempotency key

	state        atomic.Int32
	dispatchedAt time.Time
	// slowdownPercent is the slowdown of the upstream at dispatch, 0 when unknown.
	slowdownPercent uint32
	// watch reads the stream of an attempt with a buffered body that came over the mesh;
	// nil for others.
	watch *attemptWatch
	// endedCleanly is set when the last message was sent to an entry node that had sent
	// nothing after its request. Only then may watch.nextMessage be read.
	endedCleanly bool
	// evidence is what the attempt may tell about the software version of the upstream; it is
	// set at dispatch.
	evidence evidenceSubject
	// versionRefusal is the wire.RefusalReason of the last check of the version, unspecified if
	// the attempt may run.
	versionRefusal atomic.Int32
	// declined is set when the upstream has responded that it did not run the attempt.
	declined bool
}

// newReceivedAttempt returns an attempt of this or another entry node whose request head
// has arrived.
func (n *Node) newReceivedAttempt(stream msgstream.Stream, id []byte, head *wire.RequestHead) *receivedAttempt {
	n.directory.ObserveRevision(head.GetSenderAddress(), head.GetRevision())
	now := time.Now()
	n.lastAttempt.Store(now.UnixNano())
	remaining := time.Duration(min(head.GetTimeoutUs(), uint64(maxTimeout/time.Microsecond))) * time.Microsecond //nolint:gosec // bounded
	r := &receivedAttempt{
		node:     n,
		stream:   stream,
		head:     head,
		id:       id,
		deadline: now.Add(remaining - n.suspension.MaxMessageDelay(now)),
		streamed: head.GetBodyLength() < 0 || head.GetBodyLength() > maxBufferedBodyBytes,
	}
	if us := min(head.GetObjectiveUs(), uint64(maxTimeout/time.Microsecond)); us > 0 {
		r.objectiveDeadline = now.Add(time.Duration(us) * time.Microsecond) //nolint:gosec // bounded
	}
	return r
}

// serve serves the attempt. It returns true when the attempt ended cleanly on both sides
// and its stream may carry another one.
func (r *receivedAttempt) serve(ctx context.Context) bool {
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	r.run(ctx, cancel)
	return r.endedCleanly && ctx.Err() == nil
}

// run receives the body of an attempt, acquires a permit and the claim of its idempotency
// key, and forwards it to the upstream. It holds the permit until the work at the
// upstream has ended.
func (r *receivedAttempt) run(ctx context.Context, cancel context.CancelFunc) {
	hold := memlimit.NewHold(memlimit.FromContext(ctx))
	defer hold.Release()
	if hold.Acquire(time.Now(), r.memoryBytes()) != nil {
		r.refuse(wire.RefusalReason_REFUSAL_MEMORY, "no memory for the attempt")
		return
	}
	if !r.streamed {
		if err := r.receiveBody(); err != nil {
			return
		}
		if stream, ok := r.stream.(*msgstream.MeshStream); ok {
			r.watch = watchAttempt(stream, cancel)
		} else {
			go cancelOnClose(r.stream, cancel)
		}
	}
	permit, reason := r.acquirePermit(ctx)
	if permit == nil {
		r.countCancelled(ctx)
		r.refuse(reason, "")
		return
	}
	r.state.Store(int32(stateAdmitted))
	outcome := admission.Outcome{Result: admission.ResultCancelled}
	r.permit = permit
	defer func() { permit.Release(outcome) }()
	if respond := r.acquireClaim(ctx); respond != nil {
		// The permit is released before the caller can send its next request.
		permit.Release(outcome)
		respond()
		return
	}
	outcome = r.forward(ctx, cancel)
	if outcome.Result == admission.ResultCancelled && !r.declined {
		r.countCancelled(ctx)
	}
}

// countCancelled counts an attempt that the entry node has cancelled, as the loser of a hedge
// or because its caller has left.
func (r *receivedAttempt) countCancelled(ctx context.Context) {
	switch {
	case !errors.Is(ctx.Err(), context.Canceled):
	case r.isDispatched():
		r.node.metrics.cancelledRunning.Inc()
		r.node.metrics.cancelledSeconds.Add(time.Since(r.dispatchedAt).Seconds())
	default:
		r.node.metrics.cancelledQueued.Inc()
	}
}

// memoryBytes returns the bytes that are held for the attempt: those of its head, and of a
// buffered body and its messages.
func (r *receivedAttempt) memoryBytes() int64 {
	bytes := memlimit.HeadBytes(proto.Size(r.head), len(r.head.GetHeaders()))
	if r.streamed {
		return bytes
	}
	return bytes + memlimit.BodyCopies*r.head.GetBodyLength()
}

// cancelOnClose cancels the attempt when the entry node closes the stream. It is the last
// user of the stream's reader and releases it.
func cancelOnClose(stream msgstream.Stream, cancel context.CancelFunc) {
	_, _ = stream.Receive()
	cancel()
	stream.ReleaseReader()
}

// receiveBody reads a buffered body. It returns an error when the body is shorter or
// longer than the head declares; nothing was dispatched in that case.
func (r *receivedAttempt) receiveBody() error {
	r.body = make([]byte, r.head.GetBodyLength())
	reader := &bodyReader{stream: r.stream, limit: maxBufferedBodyBytes}
	if _, err := io.ReadFull(reader, r.body); err != nil {
		return err
	}
	if n, err := reader.Read(make([]byte, 1)); n > 0 || !errors.Is(err, io.EOF) {
		return errors.New("request body is longer than its head declares")
	}
	return nil
}

// acquirePermit waits for an admission permit. Without a permit it returns the reason of
// the refusal; nothing was written to the upstream in that case.
func (r *receivedAttempt) acquirePermit(ctx context.Context) (admission.Permit, wire.RefusalReason) {
	pool, reason := r.node.upstream.poolFor(r.head.GetService(), r.head.GetInstance())
	if pool == nil {
		return nil, reason
	}
	r.pool = pool
	if !r.checkVersion() {
		return nil, wire.RefusalReason(r.versionRefusal.Load())
	}
	r.node.syncZone()
	r.node.upstream.watchSlowdown(r.node.healthPath())
	permit, err := r.node.upstream.gate.Acquire(ctx, r.admissionRequest())
	var refusal *admission.Refusal
	if errors.As(err, &refusal) {
		return nil, refusal.Reason
	}
	return permit, wire.RefusalReason_REFUSAL_UNSPECIFIED
}

func (r *receivedAttempt) admissionRequest() admission.Request {
	request := admission.Request{
		Deadline:     r.deadline,
		Urgency:      urgencyFromWire(r.head.GetUrgency()),
		Priority:     int(r.head.GetPriority()),
		Organisation: r.head.GetOrganisation(),
		Weight:       r.node.organisationWeight(r.head.GetOrganisation()),
		Work:         r.node.expectedWork(r.head.GetRoute()),
		Attempt:      int(r.head.GetAttemptNumber()),
	}
	request.Objective = r.objectiveDeadline
	request.GivesWay = r.node.upstream.drawGivesWay(r.head.GetRoute())
	return request
}

// organisationWeight returns the size of the share of an organisation, which is the rate of
// its quota in requests per second; 0 without one.
func (n *Node) organisationWeight(name string) float64 {
	organisation, _ := n.directory.View().Organisations.Get(name)
	return organisation.RatePerSecond
}

// dispatch is called just before the first byte is written to the upstream. It reads the
// clock, because the timer of a context may fire late in a process that was suspended.
func (r *receivedAttempt) dispatch(ctx context.Context) error {
	now := time.Now()
	if !now.Before(r.deadline) {
		return errDeadlinePassed
	}
	if ctx.Err() != nil {
		return errAttemptCancelled
	}
	if !r.checkVersion() {
		return errVersionExcluded
	}
	r.dispatchedAt = now
	r.evidence = r.node.evidenceSubject()
	r.slowdownPercent = r.node.upstream.currentSlowdownPercent()
	r.node.metrics.upstreamRequests.Inc()
	r.state.Store(int32(stateDispatched))
	return nil
}

func (r *receivedAttempt) isDispatched() bool { return attemptState(r.state.Load()) >= stateDispatched }

// forward sends the request to the upstream once and forwards its response to the entry
// node.
func (r *receivedAttempt) forward(ctx context.Context, cancel context.CancelFunc) admission.Outcome {
	request, err := r.upstreamRequest(ctx, cancel)
	if err != nil {
		r.settleClaim(nil)
		r.refuse(wire.RefusalReason_REFUSAL_CONNECT, "request can't be sent")
		return admission.Outcome{Result: admission.ResultCancelled}
	}
	if r.streamed {
		// The check at dispatch comes too late for a body that can't be sent again.
		if !r.checkVersion() {
			return r.fail(ctx, errVersionExcluded)
		}
		// The entry node sends the body only after the attempt has been admitted.
		if err := sendAndFlush(r.stream, responseHead(&wire.ResponseHead{Status: http.StatusContinue})); err != nil {
			r.settleClaim(nil)
			return admission.Outcome{Result: admission.ResultCancelled}
		}
	}
	requestID := r.upstreamRequestID()
	r.node.upstream.requestTracker.Begin(overload.Parent{
		RequestID:    requestID,
		Priority:     int(r.head.GetPriority()),
		Objective:    r.objectiveDeadline,
		Organisation: r.head.GetOrganisation(),
	})
	defer r.node.upstream.requestTracker.End(requestID)
	response, err := r.pool.Do(ctx, request, r.streamed, func() error { return r.dispatch(ctx) })
	if err != nil {
		return r.fail(ctx, err)
	}
	defer func() {
		if r.streamed && !response.IsSendDone() {
			r.stream.Abort() // the sender may still wait for body data of the entry node
		}
		response.Close()
	}()
	if r.node.dialect.IsNotRun(response.StatusCode, response.Header) {
		return r.refuseDeclined(response)
	}
	if response.StatusCode < http.StatusMultipleChoices && !r.node.dialect.HasOriginMarker(response.Header) {
		return r.fail(ctx, errNoOriginMarker)
	}
	return r.forwardResponse(ctx, response)
}

// upstreamRequest returns the request to the upstream. Its headers state the remaining
// time and the depth of the call.
func (r *receivedAttempt) upstreamRequest(ctx context.Context, cancel context.CancelFunc) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, r.head.GetMethod(), "http://upstream/", http.NoBody)
	if err != nil {
		return nil, err
	}
	if request.URL, err = targetURL(r.head.GetTarget()); err != nil {
		return nil, err
	}
	switch {
	case r.streamed:
		request.Body = &bodyReader{
			stream: r.stream,
			limit:  uint64(r.node.maxBodyBytes()), //nolint:gosec // never negative
			onEnd:  func() { go cancelOnClose(r.stream, cancel) },
		}
		request.ContentLength = r.head.GetBodyLength()
	case len(r.body) > 0:
		request.Body = &bufferedBody{unread: r.body}
		request.ContentLength = int64(len(r.body))
	}
	decodeHeaders(request.Header, r.head.GetHeaders())
	request.Host = r.head.GetHost()
	if request.Header.Get("User-Agent") == "" {
		request.Header["User-Agent"] = nil // keeps net/http from adding its own
	}
	r.setAttemptHeaders(request.Header)
	return request, nil
}

// targetURL returns a URL with which net/http sends the target as it is. A parsed URL is
// escaped where it has characters that RFC 3986 does not allow, and loses what follows "#".
func targetURL(target string) (*url.URL, error) {
	if strings.HasPrefix(target, ambiguousPrefix) {
		return url.Parse("http://upstream" + target)
	}
	return &url.URL{Scheme: "http", Host: "upstream", Opaque: target}, nil
}

// setAttemptHeaders sets the headers that state the depth, the remaining time and the
// instance of the attempt.
func (r *receivedAttempt) setAttemptHeaders(header http.Header) {
	dialect := r.node.dialect
	if dialect.Depth != "" {
		header.Set(dialect.Depth, strconv.Itoa(int(r.head.GetDepth())))
	}
	header.Set(dialect.Timeout, strconv.FormatInt(max(0, time.Until(r.deadline).Milliseconds()), 10))
	if dialect.Instance != "" {
		header.Set(dialect.Instance, r.head.GetInstance())
	}
}

// bufferedBody reads a request body from memory.
type bufferedBody struct{ unread []byte }

func (b *bufferedBody) Read(p []byte) (int, error) {
	if len(b.unread) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

// Close implements io.Closer.
func (b *bufferedBody) Close() error { return nil }
