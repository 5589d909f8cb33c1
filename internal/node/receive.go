package node

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// serveStream serves one stream of another node.
func (n *Node) serveStream(ctx context.Context, stream net.Conn) {
	conn := frame.NewConn(stream)
	first, err := conn.Receive()
	if err != nil {
		return
	}
	if fetch := first.GetFetchRevision(); fetch != nil {
		n.serveRevision(conn, fetch)
		return
	}
	if first.GetRequestHead() == nil {
		return
	}
	conn.BindAttempt(first.GetAttemptId())
	head := first.GetRequestHead()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(head.GetTimeoutUs())*time.Microsecond) //nolint:gosec // bounded by the entry
	defer cancel()

	body, err := receiveBody(conn)
	if err != nil {
		return
	}
	address, release, reason := n.upstream.admit(head.GetInstance())
	if release == nil {
		_ = sendRefusal(conn, reason, true)
		return
	}
	defer release()
	go cancelOnClose(conn, cancel)
	n.forward(ctx, conn, head, address, body)
}

// cancelOnClose ends the request when the entry closes the stream.
func cancelOnClose(conn *frame.Conn, cancel context.CancelFunc) {
	_, _ = conn.Receive()
	cancel()
}

func receiveBody(conn *frame.Conn) ([]byte, error) {
	var body []byte
	for {
		message, err := conn.Receive()
		if err != nil {
			return nil, err
		}
		if end := message.GetBodyEnd(); end != nil {
			if end.GetByteCount() != uint64(len(body)) {
				return nil, errors.WithMessage(frame.ErrUnexpected, "body is incomplete")
			}
			return body, nil
		}
		body = append(body, message.GetBodyChunk().GetData()...)
		if len(body) > heldBodyBytes {
			return nil, errors.WithMessage(frame.ErrUnexpected, "body is too large")
		}
	}
}

// forward sends the request to the upstream once and passes its response back.
func (n *Node) forward(ctx context.Context, conn *frame.Conn, head *wire.RequestHead, address string, body []byte) {
	if ctx.Err() != nil {
		_ = sendRefusal(conn, wire.RefusalReason_REFUSAL_DEADLINE, true)
		return
	}
	request, err := upstreamRequest(ctx, head, address, body)
	if err != nil {
		_ = sendRefusal(conn, wire.RefusalReason_REFUSAL_CONNECT, true)
		return
	}
	response, err := n.upstream.client.Do(request)
	if err != nil {
		_ = sendRefusal(conn, wire.RefusalReason_REFUSAL_CONNECT, false)
		return
	}
	defer func() { _ = response.Body.Close() }()
	_ = sendResponse(conn, response)
}

func upstreamRequest(ctx context.Context, head *wire.RequestHead, address string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, head.GetMethod(), "http://"+address+head.GetTarget(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	decodeHeaders(request.Header, head.GetHeaders())
	request.Host = head.GetHost()
	request.Header.Set(httpapi.HeaderDepth, strconv.Itoa(int(head.GetDepth())))
	request.Header.Set(httpapi.HeaderTimeout, strconv.FormatUint(head.GetTimeoutUs()/1000, 10))
	return request, nil
}

func sendResponse(conn *frame.Conn, response *http.Response) error {
	head := &wire.ResponseHead{
		Status:  uint32(response.StatusCode), //nolint:gosec // three digits
		Headers: encodeHeaders(response.Header),
	}
	if err := conn.Send(&wire.Envelope{Body: &wire.Envelope_ResponseHead{ResponseHead: head}}); err != nil {
		return err
	}
	buffer := make([]byte, frame.ChunkBytes)
	var sent uint64
	for {
		size, err := response.Body.Read(buffer)
		if size > 0 {
			sent += uint64(size) //nolint:gosec // never negative
			chunk := &wire.BodyChunk{Data: buffer[:size]}
			if err := conn.Send(&wire.Envelope{Body: &wire.Envelope_BodyChunk{BodyChunk: chunk}}); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
	}
	return conn.SendNow(&wire.Envelope{Body: &wire.Envelope_ResponseEnd{ResponseEnd: &wire.ResponseEnd{ByteCount: sent}}})
}

func sendRefusal(conn *frame.Conn, reason wire.RefusalReason, notRun bool) error {
	return conn.SendNow(&wire.Envelope{Body: &wire.Envelope_Refused{Refused: &wire.Refused{Reason: reason, NotRun: notRun}}})
}
