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

// writeGrace is added to the deadline of a call for writing what has arrived.
const writeGrace = time.Second

// responseWriter passes one response to the caller. Nothing is written while more of
// the response is already waiting, so that a small response that ends early can still
// be replaced by an error or another attempt.
type responseWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	call    *call
	head    *wire.ResponseHead
	held    []byte
	begun   bool
	count   uint64
}

// pass passes the response on and finishes the attempt. It returns false when the
// response ended early and nothing was written. When a part was written, it aborts the
// caller's connection, so that the response does not look whole.
func (n *Node) pass(w http.ResponseWriter, c *call, result *attemptResult) bool {
	a := result.attempt
	outcome := balance.Outcome{Result: balance.ResultError}
	defer func() { a.finish(outcome) }()
	writer := &responseWriter{w: w, control: http.NewResponseController(w), call: c, head: result.head}
	end, err := writer.copy(a.stream)
	if err != nil {
		if c.request.Context().Err() != nil {
			outcome.Result = balance.ResultCancelled
		}
		if writer.begun {
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
	n.observe(c, outcome, end)
	return true
}

// observe records the latency of a whole response.
func (n *Node) observe(c *call, outcome balance.Outcome, end *wire.ResponseEnd) {
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

// copy returns the end of a whole response.
func (r *responseWriter) copy(stream messageStream) (*wire.ResponseEnd, error) {
	for {
		if !stream.HasMore() {
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
			return end, r.end(end)
		}
		chunk := message.GetBodyChunk()
		if chunk == nil {
			return nil, errors.WithMessage(frame.ErrUnexpected, "in a response")
		}
		if err := r.write(chunk.GetData()); err != nil {
			return nil, err
		}
	}
}

func (r *responseWriter) write(data []byte) error {
	r.count += uint64(len(data))
	if !r.begun && len(r.held)+len(data) <= maxBufferedBodyBytes {
		if r.held == nil {
			r.held = data // each message has memory of its own
		} else {
			r.held = append(r.held, data...)
		}
		return nil
	}
	if err := r.begin(); err != nil {
		return err
	}
	_, err := r.w.Write(data)
	return err
}

// begin writes the head and what is held of the body.
func (r *responseWriter) begin() error {
	if r.begun {
		return nil
	}
	r.begun = true
	decodeHeaders(r.w.Header(), r.head.GetHeaders())
	setRetriedHeader(r.w, r.call)
	r.w.WriteHeader(int(r.head.GetStatus()))
	if len(r.held) == 0 {
		return nil
	}
	_, err := r.w.Write(r.held)
	return err
}

// flush makes what has arrived visible to the caller. From then on a caller that does
// not read is bounded by the deadline.
func (r *responseWriter) flush() error {
	if !r.begun {
		_ = r.control.SetWriteDeadline(r.call.deadline.Add(writeGrace))
		r.call.clearWriteDeadline = func() { _ = r.control.SetWriteDeadline(time.Time{}) }
	}
	if err := r.begin(); err != nil {
		return err
	}
	return r.control.Flush()
}

// end completes a response whose length is as stated. The trailers follow the body.
func (r *responseWriter) end(end *wire.ResponseEnd) error {
	if end.GetByteCount() != r.count {
		return errors.WithMessage(frame.ErrUnexpected, "response has another length than stated")
	}
	// Trailers that are set before the head make net/http choose an encoding that has
	// them.
	for _, trailer := range end.GetTrailers() {
		if trailer.GetName() != trailerUpstreamTime {
			r.w.Header()[http.TrailerPrefix+trailer.GetName()] = trailer.GetValues()
		}
	}
	return r.begin()
}
