package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/balance"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/transport/mesh"
)

type outcome int

const (
	// outcomeNotRun promises that nothing was written to the upstream.
	outcomeNotRun outcome = iota
	// outcomeAnswered means that a response has begun.
	outcomeAnswered
	// outcomeUnknown means that the request may have run.
	outcomeUnknown
)

// attemptResult is how an attempt went up to the head of its response.
type attemptResult struct {
	outcome   outcome
	reason    wire.RefusalReason
	uploadErr error
	// declined is set when the upstream itself has answered that it did not run it.
	declined bool
	// revision of the configuration by which the node refused, 0 when it told none.
	revision uint64
	// wait is how long the node expects requests to wait for its upstream.
	wait time.Duration
	// streamClosed is set when the peer has closed a reused stream without taking the
	// attempt from it.
	streamClosed bool
	// head and attempt are set when the outcome is outcomeAnswered.
	head    *wire.ResponseHead
	attempt *attempt
}

// followedBy returns what is known of a call after a further attempt. Once one attempt
// may have run, the call is never "not run" again.
func (r *attemptResult) followedBy(next attemptResult) attemptResult {
	if r.outcome != outcomeNotRun && next.outcome == outcomeNotRun {
		next.outcome = outcomeUnknown
	}
	return next
}

// isBroken reports whether the connection to the node beside the upstream ended
// before the node said anything.
func (r *attemptResult) isBroken() bool {
	return r.outcome == outcomeUnknown && r.reason == wire.RefusalReason_REFUSAL_UNSPECIFIED
}

// finish ends an answered attempt whose response is not used.
func (r *attemptResult) finish() {
	if r.outcome == outcomeAnswered {
		r.attempt.finish(balance.Outcome{Result: statusOutcome(r.head.GetStatus())})
	}
}

// statusOutcome blames the instance for server errors.
func statusOutcome(status uint32) balance.Result {
	if status >= http.StatusInternalServerError {
		return balance.ResultError
	}
	return balance.ResultSuccess
}

// attempt is one sending of a call to one instance, seen from the entry.
type attempt struct {
	node     *Node
	call     *call
	instance *wire.Instance
	stream   messageStream
	// kept is the stream of an attempt over the mesh whose body is held; nil for others.
	kept *mesh.Stream
	// isEnded is set once the last message of the peer has arrived.
	isEnded bool
	id      uuid.UUID
	started time.Time
	load    *wire.LoadReport

	stopAbort func() bool
	cancel    context.CancelFunc // nil unless the attempt has a context of its own
	upload    chan struct{}      // closed at the end of the upload, nil without one
	uploadErr error              // valid once upload is closed
	once      sync.Once
}

// attempt sends the call to an instance and waits for the head of the response. The
// caller finishes an answered attempt; others are finished on return.
func (n *Node) attempt(ctx context.Context, c *call, instance *wire.Instance, number int) attemptResult {
	a := &attempt{node: n, call: c, instance: instance, id: uuid.New(), started: time.Now()}
	if !a.started.Before(c.deadline) {
		// This process may have been frozen since the call arrived.
		n.peers.done(instance, balance.Outcome{Result: balance.ResultCancelled}, nil)
		return attemptResult{outcome: outcomeNotRun, reason: wire.RefusalReason_REFUSAL_DEADLINE}
	}
	connect := n.client.Take
	var result attemptResult
	for {
		if err := a.open(ctx, connect); err != nil {
			n.peers.done(instance, balance.Outcome{Result: connectOutcome(ctx)}, nil)
			return attemptResult{outcome: outcomeNotRun, reason: wire.RefusalReason_REFUSAL_CONNECT}
		}
		a.stopAbort = context.AfterFunc(ctx, a.stream.Abort)
		result = a.run(number)
		if !result.streamClosed {
			break
		}
		a.stopAbort()
		a.closeStream()
		connect = n.client.OpenFresh
		a.id = uuid.New()
	}
	if result.outcome != outcomeAnswered {
		a.finish(failureOutcome(ctx, result))
		result.uploadErr = a.uploadErr
	}
	return result
}

func connectOutcome(ctx context.Context) balance.Result {
	if ctx.Err() != nil {
		return balance.ResultCancelled
	}
	return balance.ResultError
}

func failureOutcome(ctx context.Context, result attemptResult) balance.Outcome {
	switch {
	case result.reason == wire.RefusalReason_REFUSAL_CONNECT && ctx.Err() == nil:
		return balance.Outcome{Result: balance.ResultError, Reason: result.reason}
	case result.outcome == outcomeNotRun:
		return balance.Outcome{Result: balance.ResultRefused, Reason: result.reason, Revision: result.revision}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return balance.Outcome{Result: balance.ResultTimeout}
	case ctx.Err() != nil:
		return balance.Outcome{Result: balance.ResultCancelled}
	default:
		return balance.Outcome{Result: balance.ResultError}
	}
}

// open connects the attempt to the node beside the instance. For this node's own
// upstream there is no hop, but the same admission.
func (a *attempt) open(ctx context.Context, connect connector) error {
	n := a.node
	if a.instance.GetNodeId() == n.settings.ID {
		near, far := newPipe()
		a.stream = near
		n.local.Go(func() { n.serveLocal(far, a.id) })
		return nil
	}
	if a.call.streamed {
		raw, err := n.client.Open(ctx, a.instance.GetNodeAddress(), mesh.Bulk)
		if err != nil {
			return err
		}
		a.bind(raw)
		return nil
	}
	raw, err := connect(ctx, a.instance.GetNodeAddress(), mesh.Small)
	if err != nil {
		return err
	}
	a.kept = raw
	a.bind(raw)
	return nil
}

// connector returns a stream for attempts with held bodies.
type connector func(ctx context.Context, address string, class mesh.Class) (*mesh.Stream, error)

func (a *attempt) bind(raw net.Conn) {
	stream := newMeshStream(raw)
	stream.BindAttempt(a.id[:])
	a.stream = stream
}

// run sends the request and waits for the head of the response or a refusal.
func (a *attempt) run(number int) attemptResult {
	unknown := attemptResult{outcome: outcomeUnknown}
	if err := a.send(number); err != nil {
		return unknown
	}
	for {
		message, err := a.stream.Receive()
		if a.isReused() && isClosedToAttempts(message, err) {
			return attemptResult{outcome: outcomeNotRun, streamClosed: true}
		}
		if mesh.IsRejected(err) && a.upload == nil && !a.isReused() {
			return attemptResult{outcome: outcomeNotRun, reason: wire.RefusalReason_REFUSAL_STOPPING}
		}
		if err != nil {
			return unknown
		}
		if refusal := message.GetRefused(); refusal != nil {
			return a.refusedResult(refusal)
		}
		head := message.GetResponseHead()
		switch {
		case head == nil:
			return unknown
		case head.GetStatus() != http.StatusContinue:
			return attemptResult{outcome: outcomeAnswered, head: head, attempt: a}
		case !a.call.streamed || a.upload != nil:
			return unknown
		}
		a.startUpload()
	}
}

func (a *attempt) isReused() bool { return a.kept != nil && a.kept.Reused() }

// learn takes what the node beside the upstream tells with a response or refusal.
func (a *attempt) learn(load *wire.LoadReport, revision uint64) {
	a.load = load
	a.node.directory.ObserveRevision(a.instance.GetNodeAddress(), revision)
}

// refusedResult takes a refusal. Without the receiver's word that nothing was
// dispatched, the outcome is unknown.
func (a *attempt) refusedResult(refusal *wire.Refused) attemptResult {
	a.learn(refusal.GetLoad(), refusal.GetRevision())
	a.isEnded = refusal.GetReason() != wire.RefusalReason_REFUSAL_DEADLINE
	result := attemptResult{outcome: outcomeUnknown, reason: refusal.GetReason(), declined: refusal.GetDeclined()}
	result.revision = refusal.GetRevision()
	result.wait = expectedWait(refusal.GetLoad())
	if refusal.GetNotRun() {
		result.outcome = outcomeNotRun
	}
	return result
}

// expectedWait estimates the wait for a permit from a report of load.
func expectedWait(load *wire.LoadReport) time.Duration {
	work := time.Duration(load.GetWorkUs()) * time.Microsecond //nolint:gosec // a hint
	return work * time.Duration(load.GetQueued()+1) / time.Duration(max(1, load.GetLimit()))
}

func (a *attempt) send(number int) error {
	c := a.call
	head := c.head(a.instance, a.node.settings, number)
	if err := a.stream.Send(requestHead(head)); err != nil {
		return err
	}
	if !c.streamed {
		if err := sendHeldBody(a.stream, c.body); err != nil {
			return err
		}
	}
	return a.stream.Flush()
}

// startUpload sends a streamed body while the response is awaited. It begins once
// the instance has admitted the request, so that a refused one can go elsewhere.
func (a *attempt) startUpload() {
	a.call.uploading = true
	a.upload = make(chan struct{})
	go func() {
		defer close(a.upload)
		a.uploadErr = sendStreamedBody(a.stream, a.call.streamedBody())
		if a.uploadErr != nil {
			a.stream.Abort()
		}
	}()
}

// finish closes the stream, which cancels the attempt when it has not ended, and
// reports the outcome. It waits for the end of an upload.
func (a *attempt) finish(outcome balance.Outcome) {
	a.once.Do(func() {
		isUndisturbed := a.stopAbort()
		a.stopUpload()
		if a.kept != nil && a.isEnded && isUndisturbed && !a.stream.HasMore() {
			a.keepStream()
		} else {
			a.closeStream()
		}
		if a.cancel != nil {
			a.cancel()
		}
		a.node.peers.done(a.instance, outcome, a.load)
	})
}

// keepStream gives the stream back for another attempt.
func (a *attempt) keepStream() {
	a.stream.ReleaseReader()
	a.stream.ReleaseWriter()
	a.kept.Keep()
}

func (a *attempt) closeStream() {
	a.stream.ReleaseReader()
	a.stream.ReleaseWriter()
	// Closing a mesh stream waits for a write, which the caller need not.
	go a.stream.Close()
}

func (a *attempt) stopUpload() {
	if a.upload == nil {
		return
	}
	select {
	case <-a.upload:
		return
	default:
	}
	a.stream.Abort()
	a.call.stopReading()
	<-a.upload
}
