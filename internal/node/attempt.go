package node

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/transport/mesh"
)

type outcome int

const (
	// outcomeNotRun promises that nothing was written to the upstream.
	outcomeNotRun outcome = iota
	// outcomeAnswered means that the response was passed on.
	outcomeAnswered
	// outcomeUnknown means that the request may have run.
	outcomeUnknown
)

type attemptResult struct {
	outcome outcome
	reason  wire.RefusalReason
	detail  string
}

// attempt sends the call to the node beside an instance and passes its response on.
func (n *Node) attempt(ctx context.Context, w http.ResponseWriter, c *call, instance *wire.Instance) attemptResult {
	stream, err := n.client.Open(ctx, instance.GetNodeAddress(), mesh.Small)
	if err != nil {
		return attemptResult{outcome: outcomeNotRun, reason: wire.RefusalReason_REFUSAL_CONNECT}
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()

	conn := frame.NewConn(stream)
	id := uuid.New()
	conn.BindAttempt(id[:])
	if err := sendRequest(ctx, conn, c, instance); err != nil {
		return attemptResult{outcome: outcomeUnknown, detail: "send"}
	}
	first, err := conn.Receive()
	if err != nil {
		return attemptResult{outcome: outcomeUnknown, detail: "receive"}
	}
	if refused := first.GetRefused(); refused != nil && refused.GetNotRun() {
		return attemptResult{outcome: outcomeNotRun, reason: refused.GetReason()}
	}
	head := first.GetResponseHead()
	if head == nil {
		return attemptResult{outcome: outcomeUnknown, detail: "upstream"}
	}
	passResponse(w, conn, head)
	return attemptResult{outcome: outcomeAnswered}
}

func sendRequest(ctx context.Context, conn *frame.Conn, c *call, instance *wire.Instance) error {
	deadline, _ := ctx.Deadline()
	head := &wire.RequestHead{
		RequestId:  c.id[:],
		Service:    c.service,
		Instance:   instance.GetId(),
		Method:     c.request.Method,
		Target:     c.target,
		Host:       c.request.Host,
		Headers:    encodeHeaders(c.request.Header),
		TimeoutUs:  uint64(max(0, time.Until(deadline).Microseconds())),
		Depth:      c.depth,
		Repeatable: c.rule.Repeatable,
		BodyLength: int64(len(c.body)),
	}
	if err := conn.Send(&wire.Envelope{Body: &wire.Envelope_RequestHead{RequestHead: head}}); err != nil {
		return err
	}
	if err := sendBody(conn, c.body); err != nil {
		return err
	}
	return conn.Flush()
}

func sendBody(conn *frame.Conn, body []byte) error {
	for rest := body; len(rest) > 0; {
		size := min(len(rest), frame.ChunkBytes)
		chunk := &wire.BodyChunk{Data: rest[:size]}
		if err := conn.Send(&wire.Envelope{Body: &wire.Envelope_BodyChunk{BodyChunk: chunk}}); err != nil {
			return err
		}
		rest = rest[size:]
	}
	end := &wire.BodyEnd{ByteCount: uint64(len(body))}
	return conn.Send(&wire.Envelope{Body: &wire.Envelope_BodyEnd{BodyEnd: end}})
}

// passResponse copies the response to the caller. When the response is
// incomplete it aborts the caller's connection.
func passResponse(w http.ResponseWriter, conn *frame.Conn, head *wire.ResponseHead) {
	decodeHeaders(w.Header(), head.GetHeaders())
	w.WriteHeader(int(head.GetStatus()))
	var written uint64
	for {
		message, err := conn.Receive()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if end := message.GetResponseEnd(); end != nil {
			if end.GetByteCount() != written {
				panic(http.ErrAbortHandler)
			}
			return
		}
		size, err := w.Write(message.GetBodyChunk().GetData())
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		written += uint64(size) //nolint:gosec // never negative
	}
}
