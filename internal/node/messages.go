package node

import (
	"io"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

func requestHead(head *wire.RequestHead) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_RequestHead{RequestHead: head}}
}

func bodyChunk(data []byte) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_BodyChunk{BodyChunk: &wire.BodyChunk{Data: data}}}
}

func bodyEnd(count uint64) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_BodyEnd{BodyEnd: &wire.BodyEnd{ByteCount: count}}}
}

func responseHead(head *wire.ResponseHead) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_ResponseHead{ResponseHead: head}}
}

func responseEnd(end *wire.ResponseEnd) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_ResponseEnd{ResponseEnd: end}}
}

func refused(refusal *wire.Refused) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Refused{Refused: refusal}}
}

func sendNow(stream messageStream, message *wire.Envelope) error {
	if err := stream.Send(message); err != nil {
		return err
	}
	return stream.Flush()
}

// sendHeldBody buffers a body that is held whole.
func sendHeldBody(stream messageStream, body []byte) error {
	for rest := body; len(rest) > 0; {
		size := min(len(rest), frame.ChunkBytes)
		if err := stream.Send(bodyChunk(rest[:size])); err != nil {
			return err
		}
		rest = rest[size:]
	}
	return stream.Send(bodyEnd(uint64(len(body))))
}

// sendStreamedBody sends a body while it is read. After an error of the reader it
// sends no end, so that the receiver takes the body for truncated.
func sendStreamedBody(stream messageStream, body io.Reader) error {
	buffer := make([]byte, frame.ChunkBytes)
	var sent uint64
	for {
		size, err := body.Read(buffer)
		if size > 0 {
			sent += uint64(size) //nolint:gosec // never negative
			if err := sendNow(stream, bodyChunk(buffer[:size])); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return sendNow(stream, bodyEnd(sent))
		}
		if err != nil {
			return errors.WithMessage(err, "read request body")
		}
	}
}

// bodyReader reads a request body from its messages. It returns io.EOF only after a
// BodyEnd with the right count.
type bodyReader struct {
	stream messageStream
	rest   []byte
	count  uint64
	limit  uint64
	err    error
	// atEnd runs once after the whole body was received.
	atEnd func()
}

func (b *bodyReader) Read(p []byte) (int, error) {
	for len(b.rest) == 0 && b.err == nil {
		b.err = b.next()
	}
	if len(b.rest) == 0 {
		return 0, b.err
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// Close is part of io.ReadCloser; the stream belongs to the attempt.
func (b *bodyReader) Close() error { return nil }

func (b *bodyReader) next() error {
	message, err := b.stream.Receive()
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	if err != nil {
		return err
	}
	if end := message.GetBodyEnd(); end != nil {
		if end.GetByteCount() != b.count {
			return errors.WithMessage(frame.ErrUnexpected, "body is incomplete")
		}
		if b.atEnd != nil {
			b.atEnd()
		}
		return io.EOF
	}
	if message.GetBodyChunk() == nil {
		return errors.WithMessage(frame.ErrUnexpected, "in a request body")
	}
	b.rest = message.GetBodyChunk().GetData()
	b.count += uint64(len(b.rest))
	if b.count > b.limit {
		return errors.WithMessage(frame.ErrUnexpected, "body is too large")
	}
	return nil
}
