package node

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/admission"
	"github.com/chicorylever/chicorylever/internal/coordination/overload"
	"github.com/chicorylever/chicorylever/internal/node/egress"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// attemptState is the state of an attempt at the node beside the upstream. It only
// rises.
type attemptState int32

const (
	stateReceived attemptState = iota
	stateAdmitted
	// stateDispatched is set just before the first byte is written to the upstream.
	// From then on the attempt is never refused as not run.
	stateDispatched
	stateAnswered
)

var (
	errDeadlinePassed = errors.New("deadline passed before dispatch")
	errCallerGone     = errors.New("caller gone before dispatch")
	errUnproven       = errors.New("response was not made by the upstream")
)

// received is an attempt at the node beside the upstream.
type received struct {
	node     *Node
	stream   messageStream
	head     *wire.RequestHead
	id       []byte
	deadline time.Time
	// objective is when a response stops being good; zero without one.
	objective time.Time
	streamed  bool
	body      []byte // when it is not streamed
	pool      *egress.Pool
	permit    admission.Permit
	claim     *heldClaim // nil without an idempotency key

	state        atomic.Int32
	dispatchedAt time.Time
	// slowdown of the upstream at dispatch in percent, 0 when unknown.
	slowdown uint32
	// watch reads the stream of an attempt that came over the mesh with a held body.
	watch *attemptWatch
	// isEnded is set when the last message was sent to an entry that had sent nothing
	// out of turn. Only then may watch.next be read.
	isEnded bool
	// declined is set when the upstream has promised that it did not run the attempt.
	declined bool
}

// newReceived returns an attempt of this or another entry whose head has arrived.
func (n *Node) newReceived(stream messageStream, id []byte, head *wire.RequestHead) *received {
	n.directory.ObserveRevision(head.GetSenderAddress(), head.GetRevision())
	now := time.Now()
	n.lastAttempt.Store(now.UnixNano())
	left := time.Duration(min(head.GetTimeoutUs(), uint64(maxTimeout/time.Microsecond))) * time.Microsecond //nolint:gosec // bounded
	r := &received{
		node:     n,
		stream:   stream,
		head:     head,
		id:       id,
		deadline: now.Add(left - n.freeze.age(now)),
		streamed: head.GetBodyLength() < 0 || head.GetBodyLength() > maxBufferedBodyBytes,
	}
	if us := min(head.GetObjectiveUs(), uint64(maxTimeout/time.Microsecond)); us > 0 {
		r.objective = now.Add(time.Duration(us) * time.Microsecond) //nolint:gosec // bounded
	}
	return r
}

// serve serves the attempt. It returns true when both sides have ended it, nothing has
// disturbed it, and its stream may carry another one.
func (r *received) serve(ctx context.Context) bool {
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	r.run(ctx, cancel)
	return r.isEnded && ctx.Err() == nil
}

// run takes an attempt from its body through admission and claim to the upstream. It
// holds the permit until the work at the upstream has ended.
func (r *received) run(ctx context.Context, cancel context.CancelFunc) {
	if !r.streamed {
		if err := r.receiveBody(); err != nil {
			return
		}
		if stream, ok := r.stream.(*meshStream); ok {
			r.watch = watchAttempt(stream, cancel)
		} else {
			go cancelOnClose(r.stream, cancel)
		}
	}
	permit, refusal := r.admit(ctx)
	if permit == nil {
		r.refuse(refusal, "")
		return
	}
	r.state.Store(int32(stateAdmitted))
	outcome := admission.Outcome{Result: admission.ResultCancelled}
	r.permit = permit
	defer func() { permit.Release(outcome) }()
	if answer := r.takeClaim(ctx); answer != nil {
		// The permit is free before the caller can send its next request.
		permit.Release(outcome)
		answer()
		return
	}
	outcome = r.forward(ctx, cancel)
}

// cancelOnClose ends the attempt when the entry closes the stream. It is the last
// user of the stream's reader.
func cancelOnClose(stream messageStream, cancel context.CancelFunc) {
	_, _ = stream.Receive()
	cancel()
	stream.ReleaseReader()
}

// receiveBody reads a held body. It returns an error when the body is shorter or longer
// than the head declares; nothing was dispatched then.
func (r *received) receiveBody() error {
	r.body = make([]byte, r.head.GetBodyLength())
	reader := &bodyReader{stream: r.stream, limit: maxBufferedBodyBytes}
	if _, err := io.ReadFull(reader, r.body); err != nil {
		return err
	}
	if n, err := reader.Read(make([]byte, 1)); n > 0 || !errors.Is(err, io.EOF) {
		return errors.New("body is longer than declared")
	}
	return nil
}

// admit waits for a permit. Without one, nothing was written to the upstream.
func (r *received) admit(ctx context.Context) (admission.Permit, wire.RefusalReason) {
	pool, reason := r.node.upstream.target(r.head.GetService(), r.head.GetInstance())
	if pool == nil {
		return nil, reason
	}
	r.pool = pool
	r.node.syncZone()
	r.node.upstream.watchSlowdown(r.node.healthPath())
	permit, err := r.node.upstream.gate.Acquire(ctx, r.admissionRequest())
	var refusal *admission.Refusal
	if errors.As(err, &refusal) {
		return nil, refusal.Reason
	}
	return permit, wire.RefusalReason_REFUSAL_UNSPECIFIED
}

func (r *received) admissionRequest() admission.Request {
	request := admission.Request{
		Deadline: r.deadline,
		Urgency:  urgencyFromWire(r.head.GetUrgency()),
		Rank:     int(r.head.GetPriority()),
		Work:     r.node.workOf(r.head.GetRoute()),
		Attempt:  int(r.head.GetAttemptNumber()),
	}
	request.Objective = r.objective
	return request
}

// dispatch is called just before the first byte is written to the upstream. The
// clock is read here, because the timer of a context may be late in a process that
// was frozen.
func (r *received) dispatch(ctx context.Context) error {
	now := time.Now()
	if !now.Before(r.deadline) {
		return errDeadlinePassed
	}
	if ctx.Err() != nil {
		return errCallerGone
	}
	r.dispatchedAt = now
	r.slowdown = r.node.upstream.slowdownNow()
	r.state.Store(int32(stateDispatched))
	return nil
}

func (r *received) isDispatched() bool { return attemptState(r.state.Load()) >= stateDispatched }

// forward sends the request to the upstream once and passes its response back.
func (r *received) forward(ctx context.Context, cancel context.CancelFunc) admission.Outcome {
	request, err := r.upstreamRequest(ctx, cancel)
	if err != nil {
		r.settleClaim(nil)
		r.refuse(wire.RefusalReason_REFUSAL_CONNECT, "request can't be sent")
		return admission.Outcome{Result: admission.ResultCancelled}
	}
	if r.streamed {
		// The entry keeps the body until the attempt is admitted.
		if err := sendNow(r.stream, responseHead(&wire.ResponseHead{Status: http.StatusContinue})); err != nil {
			r.settleClaim(nil)
			return admission.Outcome{Result: admission.ResultCancelled}
		}
	}
	name := r.requestID()
	r.node.upstream.running.Begin(overload.Parent{Name: name, Rank: int(r.head.GetPriority()), Objective: r.objective})
	defer r.node.upstream.running.End(name)
	response, err := r.pool.Do(ctx, request, r.streamed, func() error { return r.dispatch(ctx) })
	if err != nil {
		return r.fail(ctx, err)
	}
	defer func() {
		if r.streamed && !response.IsSent() {
			r.stream.Abort() // the sender of the body may wait for the entry
		}
		response.Close()
	}()
	if r.node.dialect.IsNotRun(response.StatusCode, response.Header) {
		return r.decline(response)
	}
	if response.StatusCode < http.StatusMultipleChoices && !r.node.dialect.IsProven(response.Header) {
		return r.fail(ctx, errUnproven)
	}
	return r.forwardResponse(ctx, response)
}

// decline refuses an attempt that the upstream has answered with the promise that it
// did not run it.
func (r *received) decline(response *egress.Response) admission.Outcome {
	r.settleClaim(nil)
	r.node.upstream.setHeaderLoad(response.Header.Get(r.node.dialect.Load))
	outcome := admission.Outcome{Result: admission.ResultOverloaded}
	reason := wire.RefusalReason_REFUSAL_QUEUE_FULL
	if response.StatusCode == http.StatusMisdirectedRequest {
		outcome.Result = admission.ResultCancelled
		reason = wire.RefusalReason_REFUSAL_WRONG_INSTANCE
	}
	r.permit.Release(outcome)
	r.declined = true
	r.refuse(reason, "declined by the upstream")
	return outcome
}

// fail ends an attempt that got no response head.
func (r *received) fail(ctx context.Context, err error) admission.Outcome {
	r.settleClaim(nil)
	if errors.Is(err, egress.ErrUnreachable) && ctx.Err() == nil {
		r.node.upstream.unreachable(r.pool)
	}
	outcome := admission.Outcome{Result: r.failureResult(ctx, err)}
	if r.isDispatched() {
		outcome.ServiceTime = time.Since(r.dispatchedAt)
	}
	reason := wire.RefusalReason_REFUSAL_CONNECT
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || !time.Now().Before(r.deadline) {
		reason = wire.RefusalReason_REFUSAL_DEADLINE
	}
	r.permit.Release(outcome)
	r.refuse(reason, "")
	return outcome
}

func (r *received) failureResult(ctx context.Context, err error) admission.Result {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return admission.ResultCancelled
	case errors.Is(err, egress.ErrUnreachable) && ctx.Err() == nil:
		return admission.ResultConnectRefused
	case !r.isDispatched():
		return admission.ResultCancelled
	case ctx.Err() != nil:
		return admission.ResultTimeout
	default:
		return admission.ResultError
	}
}

// sendLast sends the last message of the attempt. The next head may arrive as soon as
// the entry has it.
func (r *received) sendLast(message *wire.Envelope) {
	inTurn := r.watch != nil && r.watch.end()
	err := sendNow(r.stream, message)
	r.isEnded = inTurn && err == nil
}

// refuse ends the attempt without a response. Whether it was run follows from its
// state alone.
func (r *received) refuse(reason wire.RefusalReason, detail string) {
	r.node.metrics.countRefusal(reason)
	load := r.node.upstream.report()
	r.logRefusal(reason, load)
	r.sendLast(refused(&wire.Refused{
		Reason:   reason,
		NotRun:   !r.isDispatched() || r.declined,
		Declined: r.declined,
		Load:     load,
		Revision: r.node.directory.View().Revision,
		Detail:   detail,
	}))
}

// upstreamRequest returns the request to the upstream, with the remaining time and the
// depth of the call in its headers.
func (r *received) upstreamRequest(ctx context.Context, cancel context.CancelFunc) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, r.head.GetMethod(), "http://upstream"+r.head.GetTarget(), http.NoBody)
	if err != nil {
		return nil, err
	}
	switch {
	case r.streamed:
		request.Body = &bodyReader{
			stream: r.stream,
			limit:  uint64(r.node.maxBodyBytes()), //nolint:gosec // never negative
			atEnd:  func() { go cancelOnClose(r.stream, cancel) },
		}
		request.ContentLength = r.head.GetBodyLength()
	case len(r.body) > 0:
		request.Body = &heldBody{rest: r.body}
		request.ContentLength = int64(len(r.body))
	}
	decodeHeaders(request.Header, r.head.GetHeaders())
	request.Host = r.head.GetHost()
	if request.Header.Get("User-Agent") == "" {
		request.Header["User-Agent"] = nil // keeps net/http from adding its own
	}
	r.setOwnHeaders(request.Header)
	return request, nil
}

// setOwnHeaders tells the upstream what the system knows of the request.
func (r *received) setOwnHeaders(header http.Header) {
	dialect := r.node.dialect
	if dialect.Depth != "" {
		header.Set(dialect.Depth, strconv.Itoa(int(r.head.GetDepth())))
	}
	header.Set(dialect.Timeout, strconv.FormatInt(max(0, time.Until(r.deadline).Milliseconds()), 10))
	if dialect.Instance != "" {
		header.Set(dialect.Instance, r.head.GetInstance())
	}
}

// heldBody is a body in memory.
type heldBody struct{ rest []byte }

func (b *heldBody) Read(p []byte) (int, error) {
	if len(b.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// Close is part of io.ReadCloser.
func (b *heldBody) Close() error { return nil }
