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
	"github.com/chicorylever/chicorylever/internal/node/msgstream"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/transport/mesh"
)

type outcome int

const (
	// outcomeNotRun guarantees that the upstream did not execute the request: nothing was
	// written to it, or it declined the request.
	outcomeNotRun outcome = iota
	// outcomeAnswered means that the head of a response has arrived.
	outcomeAnswered
	// outcomeUnknown means that the upstream may have executed the request.
	outcomeUnknown
)

// attemptResult is the result of an attempt up to the head of its response.
type attemptResult struct {
	outcome   outcome
	reason    wire.RefusalReason
	uploadErr error
	// declined is set when the upstream itself has responded that it did not execute the
	// request.
	declined bool
	// revision is the configuration revision by which the node refused, 0 when it stated
	// none.
	revision uint64
	// queueWait is how long the node expects requests to queue for its upstream.
	queueWait time.Duration
	// reusedStreamClosed is set when the peer has closed a reused stream without
	// accepting the attempt.
	reusedStreamClosed bool
	// head and attempt are set when the outcome is outcomeAnswered.
	head    *wire.ResponseHead
	attempt *attempt
}

// combinedWith returns the result of a call after a further attempt. Once one attempt may
// have been executed, the outcome is never "not run" again.
func (r *attemptResult) combinedWith(next attemptResult) attemptResult {
	if r.outcome != outcomeNotRun && next.outcome == outcomeNotRun {
		next.outcome = outcomeUnknown
	}
	return next
}

// isConnectionLost reports whether the connection to the node beside the upstream ended
// before that node sent a response or a refusal.
func (r *attemptResult) isConnectionLost() bool {
	return r.outcome == outcomeUnknown && r.reason == wire.RefusalReason_REFUSAL_UNSPECIFIED
}

// isRefusedByNode reports whether the upstream got nothing of the request.
func (r *attemptResult) isRefusedByNode() bool { return r.outcome == outcomeNotRun && !r.declined }

// isInstanceUnavailable reports whether the instance could not be used at all, so that the
// attempt says nothing about the load or the faults of its software version.
func (r *attemptResult) isInstanceUnavailable() bool {
	if r.outcome == outcomeNotRun {
		return isInstanceSpecific(r.reason) || r.reason == wire.RefusalReason_REFUSAL_CONNECT || r.reason == wire.RefusalReason_REFUSAL_NO_UPSTREAM
	}
	return r.isConnectionLost()
}

// discard ends an attempt whose response is not forwarded.
func (r *attemptResult) discard() {
	if r.outcome == outcomeAnswered {
		r.attempt.finish(balance.Outcome{Result: balanceResultForStatus(r.head.GetStatus())})
	}
}

// balanceResultForStatus returns the result of a response for load balancing; server
// errors count against the instance.
func balanceResultForStatus(status uint32) balance.Result {
	if status >= http.StatusInternalServerError {
		return balance.ResultError
	}
	return balance.ResultSuccess
}

// attempt is one transmission of a call to one instance, at the entry node.
type attempt struct {
	node     *Node
	call     *call
	instance *wire.Instance
	stream   msgstream.Stream
	// reusableStream is the mesh stream of an attempt with a buffered body, which a later
	// attempt may reuse; nil for others.
	reusableStream *mesh.Stream
	// isEnded is set once the last message of the peer has arrived.
	isEnded bool
	id      uuid.UUID
	started time.Time
	load    *wire.LoadReport

	// stopAbort cancels the abort of stream at the end of the context. It returns false
	// when the abort has already begun.
	stopAbort  func() bool
	cancel     context.CancelFunc // cancels the context of a hedged attempt; nil for others
	uploadDone chan struct{}      // closed at the end of the upload, nil without one
	uploadErr  error              // valid once uploadDone is closed
	finishOnce sync.Once
}

// tryInstance sends the call to an instance and waits for the head of the response. The
// caller finishes the attempt if the result is outcomeAnswered; otherwise it is finished
// on return.
func (n *Node) tryInstance(ctx context.Context, c *call, instance *wire.Instance, attemptNumber int) attemptResult {
	a := &attempt{node: n, call: c, instance: instance, id: uuid.New(), started: time.Now()}
	if !a.started.Before(c.deadline) {
		// This process may have been suspended since the call arrived.
		n.balancer.endAttempt(instance, balance.Outcome{Result: balance.ResultCancelled}, nil)
		return attemptResult{outcome: outcomeNotRun, reason: wire.RefusalReason_REFUSAL_DEADLINE}
	}
	n.countVersion(c, instance)
	openStream := n.client.OpenOrReuse
	var result attemptResult
	for {
		if err := a.open(ctx, openStream); err != nil {
			n.balancer.endAttempt(instance, balance.Outcome{Result: connectOutcome(ctx)}, nil)
			return attemptResult{outcome: outcomeNotRun, reason: wire.RefusalReason_REFUSAL_CONNECT}
		}
		a.stopAbort = context.AfterFunc(ctx, a.stream.Abort)
		result = a.run(attemptNumber)
		if !result.reusedStreamClosed {
			break
		}
		a.stopAbort()
		a.closeStream()
		openStream = n.client.OpenNew
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

// open connects the attempt to the node beside the instance. An attempt at this node's
// own upstream needs no connection, but passes the same admission control.
func (a *attempt) open(ctx context.Context, openStream streamOpener) error {
	n := a.node
	if a.instance.GetNodeId() == n.settings.ID {
		entryEnd, receiverEnd := msgstream.NewPipe()
		a.stream = entryEnd
		n.localAttempts.Go(func() { n.serveLocal(receiverEnd, a.id) })
		return nil
	}
	class := mesh.Small
	if a.call.streamed {
		openStream, class = n.client.OpenNew, mesh.Bulk
	}
	raw, err := openStream(ctx, a.instance.GetNodeAddress(), class)
	if err != nil {
		return err
	}
	if !a.call.isRepeatable() {
		raw.TolerateSilence()
	}
	if !a.call.streamed {
		a.reusableStream = raw
	}
	a.bindStream(raw)
	return nil
}

// streamOpener opens or reuses a stream for an attempt with a buffered body.
type streamOpener func(ctx context.Context, address string, class mesh.Class) (*mesh.Stream, error)

func (a *attempt) bindStream(raw net.Conn) {
	stream := msgstream.NewMeshStream(raw)
	stream.BindAttempt(a.id[:])
	a.stream = stream
}

// run sends the request and waits for the head of the response or a refusal.
func (a *attempt) run(attemptNumber int) attemptResult {
	unknown := attemptResult{outcome: outcomeUnknown}
	if err := a.sendRequest(attemptNumber); err != nil {
		return unknown
	}
	for {
		message, err := a.stream.Receive()
		if a.isReused() && rejectsFurtherAttempts(message, err) {
			return attemptResult{outcome: outcomeNotRun, reusedStreamClosed: true}
		}
		if mesh.IsRejected(err) && a.uploadDone == nil && !a.isReused() {
			return attemptResult{outcome: outcomeNotRun, reason: wire.RefusalReason_REFUSAL_STOPPING}
		}
		if err != nil {
			return unknown
		}
		if refusal := message.GetRefused(); refusal != nil {
			return a.refusalResult(refusal)
		}
		head := message.GetResponseHead()
		switch {
		case head == nil:
			return unknown
		case isFinalStatus(head.GetStatus()):
			return attemptResult{outcome: outcomeAnswered, head: head, attempt: a}
		case head.GetStatus() != http.StatusContinue || !a.call.streamed || a.uploadDone != nil:
			return unknown
		}
		a.startUpload()
	}
}

// maxStatus is the highest status code of HTTP.
const maxStatus = 599

// isFinalStatus reports whether a status is that of a final response (RFC 9110, section 15). A
// node of an earlier version also forwards other status codes of its upstream.
func isFinalStatus(status uint32) bool { return status >= http.StatusOK && status <= maxStatus }

func (a *attempt) isReused() bool { return a.reusableStream != nil && a.reusableStream.Reused() }

// recordReport records the load and the configuration revision that the node beside the
// upstream sent with a response or refusal.
func (a *attempt) recordReport(load *wire.LoadReport, revision uint64) {
	a.load = load
	a.node.directory.ObserveRevision(a.instance.GetNodeAddress(), revision)
}

// refusalResult returns the result of a refusal. Unless the node states that the request
// was not executed, the outcome is unknown.
func (a *attempt) refusalResult(refusal *wire.Refused) attemptResult {
	a.recordReport(refusal.GetLoad(), refusal.GetRevision())
	a.isEnded = refusal.GetReason() != wire.RefusalReason_REFUSAL_DEADLINE
	result := attemptResult{outcome: outcomeUnknown, reason: refusal.GetReason(), declined: refusal.GetDeclined()}
	result.revision = refusal.GetRevision()
	result.queueWait = estimateQueueWait(refusal.GetLoad())
	if refusal.GetNotRun() {
		result.outcome = outcomeNotRun
	}
	return result
}

// estimateQueueWait estimates the wait for an admission permit from a load report.
func estimateQueueWait(load *wire.LoadReport) time.Duration {
	work := time.Duration(load.GetWorkUs()) * time.Microsecond //nolint:gosec // an estimate
	return work * time.Duration(load.GetQueued()+1) / time.Duration(max(1, load.GetLimit()))
}

func (a *attempt) sendRequest(attemptNumber int) error {
	c := a.call
	head := c.head(a.instance, a.node.settings, a.node.selectionView(c).Revision, attemptNumber)
	if err := a.stream.Send(requestHead(head)); err != nil {
		return err
	}
	if !c.streamed {
		if err := sendBufferedBody(a.stream, c.body); err != nil {
			return err
		}
	}
	return a.stream.Flush()
}

// startUpload sends a streamed body while the attempt waits for the response. It starts
// only after the instance has admitted the request, so that a refused request can be sent
// to another instance.
func (a *attempt) startUpload() {
	a.call.uploadStarted = true
	a.call.hold.Demand(time.Now(), streamedBodyBytes)
	a.uploadDone = make(chan struct{})
	go func() {
		defer close(a.uploadDone)
		a.uploadErr = sendStreamedBody(a.stream, a.call.streamedBodyReader())
		if a.uploadErr != nil {
			a.stream.Abort()
		}
	}()
}

// finish closes the stream, which cancels the attempt if it has not ended, or returns it
// for reuse, and reports the outcome. It waits for the end of an upload.
func (a *attempt) finish(outcome balance.Outcome) {
	a.finishOnce.Do(func() {
		isAbortStopped := a.stopAbort()
		a.abortUpload()
		if a.reusableStream != nil && a.isEnded && isAbortStopped && !a.stream.HasBuffered() {
			a.returnStream()
		} else {
			a.closeStream()
		}
		if a.cancel != nil {
			a.cancel()
		}
		a.node.balancer.endAttempt(a.instance, outcome, a.load)
	})
}

// returnStream makes the stream available to other attempts.
func (a *attempt) returnStream() {
	a.stream.ReleaseReader()
	a.stream.ReleaseWriter()
	a.reusableStream.Release()
}

func (a *attempt) closeStream() {
	a.stream.ReleaseReader()
	a.stream.ReleaseWriter()
	// Closing a mesh stream waits for a pending write, which must not delay the caller.
	go a.stream.Close()
}

func (a *attempt) abortUpload() {
	if a.uploadDone == nil {
		return
	}
	select {
	case <-a.uploadDone:
		return
	default:
	}
	a.stream.Abort()
	a.call.abortBodyRead()
	<-a.uploadDone
}
