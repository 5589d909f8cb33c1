package node

import (
	"io"
	"mime"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/balance"
	"github.com/chicorylever/chicorylever/internal/node/msgstream"
	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// writeGrace is added to the deadline of a call for writing the received part of the
// response to the caller.
const writeGrace = time.Second

// eventStreamType is the media type of server-sent events.
const eventStreamType = "text/event-stream"

// unknownLength is the length of a response whose head does not state one.
const unknownLength = -1

// responseWriter forwards one response to the caller. A response that is truncated before
// anything was written can still be replaced by an error or by another attempt, and does not
// cost the caller its connection with the pipelined requests behind it. So a short response
// of stated length is held until it is whole, and the head of any other until its body
// begins.
type responseWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	call       *call
	head       *wire.ResponseHead
	// length is the length of the body that the head states, or unknownLength.
	length      int64
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
		n.recordNestedFailure(c, *result)
	}
	writer := newResponseWriter(w, c, result.head)
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

func newResponseWriter(w http.ResponseWriter, c *call, head *wire.ResponseHead) *responseWriter {
	return &responseWriter{
		w: w, controller: http.NewResponseController(w), call: c, head: head,
		length: statedLength(head),
	}
}

// statedLength returns the length of the body that the head states, or unknownLength.
func statedLength(head *wire.ResponseHead) int64 {
	length, err := strconv.ParseInt(headerValue(head, "Content-Length"), 10, 64)
	if err != nil || length < 0 {
		return unknownLength
	}
	return length
}

// headerValue returns the first value of a header field, or "".
func headerValue(head *wire.ResponseHead, name string) string {
	for _, header := range head.GetHeaders() {
		if strings.EqualFold(header.GetName(), name) && len(header.GetValues()) > 0 {
			return header.GetValues()[0]
		}
	}
	return ""
}

// isHeld reports whether the caller gets nothing of the response yet.
func (r *responseWriter) isHeld() bool {
	if r.headWritten {
		return false
	}
	if r.length != unknownLength && r.length <= maxBufferedBodyBytes {
		return true
	}
	return r.bodyBytes == 0 && !r.isEventStream()
}

// isEventStream reports whether the response is a stream of events, whose head tells the
// caller that the stream is open.
func (r *responseWriter) isEventStream() bool {
	mediaType, _, _ := mime.ParseMediaType(headerValue(r.head, "Content-Type"))
	return mediaType == eventStreamType
}

// copyFrom forwards a response from the stream and returns its end. It returns an error
// when the response is incomplete.
func (r *responseWriter) copyFrom(stream msgstream.Stream) (*wire.ResponseEnd, error) {
	for {
		if !stream.HasBuffered() && !r.isHeld() {
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
	if !r.headWritten && len(r.buffered)+len(data) <= maxBufferedBodyBytes && r.call.hold.TryAcquire(2*int64(len(data))) {
		if r.buffered == nil {
			r.buffered = data // messages do not share memory
		} else {
			r.buffered = append(r.buffered, data...)
		}
		return nil
	}
	if !r.headWritten {
		r.call.hold.Demand(time.Now(), streamedResponseBytes)
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
