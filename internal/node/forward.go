package node

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/balance"
	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// writeGrace is added to the deadline of a call for writing the received part of the
// response to the caller.
const writeGrace = time.Second

// responseWriter forwards one response to the caller. It writes nothing while more of the
// response has already been received, so that a small response that is truncated can still
// be replaced by an error or by another attempt.
type responseWriter struct {
	w           http.ResponseWriter
	controller  *http.ResponseController
	call        *call
	head        *wire.ResponseHead
	buffered    []byte
	headWritten bool
	bodyBytes   uint64
}

// forwardToCaller forwards the response and finishes the attempt. It returns false when the
// response was truncated and nothing was written. When a part was written, it aborts the
// caller's connection, so that the response does not appear complete.
func (n *Node) forwardToCaller(w http.ResponseWriter, c *call, result *attemptResult) bool {
	a := result.attempt
	outcome := balance.Outcome{Result: balance.ResultError}
	defer func() { a.finish(outcome) }()
	if result.head.GetStatus() >= http.StatusInternalServerError {
		n.recordNestedFailure(c)
	}
	writer := &responseWriter{w: w, controller: http.NewResponseController(w), call: c, head: result.head}
	end, err := writer.copyFrom(a.stream)
	if err != nil {
		if c.request.Context().Err() != nil {
			outcome.Result = balance.ResultCancelled
		}
		if writer.headWritten {
			panic(http.ErrAbortHandler)
		}
		result.outcome = outcomeUnknown
		return false
	}
	a.isEnded = true
	a.recordReport(end.GetLoad(), end.GetRevision())
	c.status = int(result.head.GetStatus())
	outcome.Result = balanceResultForStatus(result.head.GetStatus())
	outcome.Latency = time.Since(a.started)
	n.observeResponse(c, outcome, end)
	return true
}

// observeResponse records the latency of a complete response.
func (n *Node) observeResponse(c *call, outcome balance.Outcome, end *wire.ResponseEnd) {
	if outcome.Result == balance.ResultSuccess {
		n.balancer.observeLatency(c.service, outcome.Latency)
	}
	if c.streamed {
		return
	}
	for _, trailer := range end.GetTrailers() {
		if trailer.GetName() == trailerUpstreamTime && len(trailer.GetValues()) == 1 {
			if us, err := strconv.ParseInt(trailer.GetValues()[0], 10, 64); err == nil {
				n.metrics.addedLatency.Update((time.Since(c.started) - time.Duration(us)*time.Microsecond).Seconds())
			}
		}
	}
}

// copyFrom forwards a response from the stream and returns its end. It returns an error
// when the response is incomplete.
func (r *responseWriter) copyFrom(stream messageStream) (*wire.ResponseEnd, error) {
	for {
		if !stream.HasBuffered() {
			if err := r.flush(); err != nil {
				return nil, err
			}
		}
		message, err := stream.Receive()
		if errors.Is(err, io.EOF) {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if end := message.GetResponseEnd(); end != nil {
			return end, r.finish(end)
		}
		chunk := message.GetBodyChunk()
		if chunk == nil {
			return nil, errors.WithMessage(frame.ErrUnexpected, "received while reading a response")
		}
		if err := r.write(chunk.GetData()); err != nil {
			return nil, err
		}
	}
}

func (r *responseWriter) write(data []byte) error {
	r.bodyBytes += uint64(len(data))
	if !r.headWritten && len(r.buffered)+len(data) <= maxBufferedBodyBytes {
		if r.buffered == nil {
			r.buffered = data // messages do not share memory
		} else {
			r.buffered = append(r.buffered, data...)
		}
		return nil
	}
	if err := r.writeHead(); err != nil {
		return err
	}
	_, err := r.w.Write(data)
	return err
}

// writeHead writes the head and the buffered part of the body, unless they are written.
func (r *responseWriter) writeHead() error {
	if r.headWritten {
		return nil
	}
	r.headWritten = true
	decodeHeaders(r.w.Header(), r.head.GetHeaders())
	setRetriedHeader(r.w, r.call)
	r.w.WriteHeader(int(r.head.GetStatus()))
	if len(r.buffered) == 0 {
		return nil
	}
	_, err := r.w.Write(r.buffered)
	return err
}

// flush sends the received part of the response to the caller. From then on a write
// deadline bounds the wait for a caller that does not read.
func (r *responseWriter) flush() error {
	if !r.headWritten {
		_ = r.controller.SetWriteDeadline(r.call.deadline.Add(writeGrace))
		r.call.clearWriteDeadline = func() { _ = r.controller.SetWriteDeadline(time.Time{}) }
	}
	if err := r.writeHead(); err != nil {
		return err
	}
	return r.controller.Flush()
}

// finish checks the length of the response and completes it. The trailers follow the body.
func (r *responseWriter) finish(end *wire.ResponseEnd) error {
	if end.GetByteCount() != r.bodyBytes {
		return errors.WithMessage(frame.ErrUnexpected, "response length differs from the stated length")
	}
	// If trailers are set before the head, net/http chooses a transfer encoding that
	// supports them.
	for _, trailer := range end.GetTrailers() {
		if trailer.GetName() != trailerUpstreamTime {
			r.w.Header()[http.TrailerPrefix+trailer.GetName()] = trailer.GetValues()
		}
	}
	return r.writeHead()
}
