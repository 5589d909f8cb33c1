package node

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/chicorylever/chicorylever/internal/coordination/admission"
	"github.com/chicorylever/chicorylever/internal/node/egress"
	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// trailerUpstreamTime carries the microseconds between dispatch and the end of the
// response from the node beside the upstream to the entry node, which does not forward
// it.
const trailerUpstreamTime = "Chicory-Upstream-Us"

// forwardResponse forwards the upstream's response to the entry node. An incomplete
// response gets no ResponseEnd.
func (r *receivedAttempt) forwardResponse(ctx context.Context, response *egress.Response) admission.Outcome {
	r.node.upstream.setLoadFromHeader(response.Header.Get(r.node.dialect.Load))
	r.node.upstream.observeSignals(r.pool, r.dispatchedAt, response.Header)
	recorder := newRecorder(r.claim, response, r.node.upstreamOnlyHeaders)
	sent, err := r.sendResponse(response, recorder)
	outcome := admission.Outcome{ServiceTime: time.Since(r.dispatchedAt)}
	if err != nil {
		r.settleClaim(nil)
		outcome.Result = r.interruptedResult(ctx, err)
		r.recordUpstreamOutcome(outcome.Result)
		r.recordBrokenResponse(outcome.Result)
		r.reportBrokenResponse(outcome.Result, err)
		return outcome
	}
	r.state.Store(int32(stateAnswered))
	outcome.Result = admissionResultForStatus(response.StatusCode)
	r.recordUpstreamOutcome(outcome.Result)
	r.recordResponse(response.StatusCode, outcome.ServiceTime)
	if outcome.Result == admission.ResultSuccess {
		r.node.upstream.observeWork(r.head.GetRoute(), r.upstreamRequestID(), outcome.ServiceTime, r.slowdownPercent)
	}
	// The connection and the permit are released before the caller can send its next
	// request.
	response.Close()
	r.permit.Release(outcome)
	r.settleClaim(recorder.response())
	trailers := encodeHeaders(response.Trailer, nil)
	trailers = append(trailers, &wire.Header{
		Name:   proto.String(trailerUpstreamTime),
		Values: []string{strconv.FormatInt(outcome.ServiceTime.Microseconds(), 10)},
	})
	r.sendLast(responseEnd(&wire.ResponseEnd{
		ByteCount: sent,
		Trailers:  trailers,
		Load:      r.node.upstream.loadReport(),
		Revision:  r.node.directory.View().Revision,
	}))
	return outcome
}

// sendResponse sends the head and the body. Messages are flushed only when the rest of
// the response has not arrived yet, so that a small response is sent in one write.
func (r *receivedAttempt) sendResponse(response *egress.Response, recorder *recorder) (sent uint64, err error) {
	head := &wire.ResponseHead{
		Status:  uint32(response.StatusCode), //nolint:gosec // three digits
		Headers: encodeHeaders(response.Header, r.node.upstreamOnlyHeaders),
	}
	if err := r.stream.Send(responseHead(head)); err != nil {
		return 0, err
	}
	buffer := chunkBuffers.Get().(*[frame.ChunkBytes]byte)
	defer chunkBuffers.Put(buffer)
	for {
		if !response.HasBuffered() && response.ContentLength != 0 {
			if err := r.stream.Flush(); err != nil {
				return sent, err
			}
		}
		size, err := response.Read(buffer[:])
		if size > 0 {
			sent += uint64(size) //nolint:gosec // never negative
			recorder.add(buffer[:size])
			if err := r.stream.Send(bodyChunk(buffer[:size])); err != nil {
				return sent, err
			}
		}
		if errors.Is(err, io.EOF) {
			return sent, nil
		}
		if err != nil {
			return sent, err
		}
	}
}

func (r *receivedAttempt) interruptedResult(ctx context.Context, err error) admission.Result {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return admission.ResultTimeout
	case errors.Is(err, egress.ErrIncomplete) && ctx.Err() == nil:
		return admission.ResultError
	default:
		return admission.ResultCancelled
	}
}

func admissionResultForStatus(status int) admission.Result {
	switch {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return admission.ResultOverloaded
	case status >= http.StatusInternalServerError:
		return admission.ResultError
	default:
		return admission.ResultSuccess
	}
}
