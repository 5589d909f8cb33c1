package node

import (
	"io"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/node/msgstream"
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

// sendAndFlush sends a message and flushes the stream.
func sendAndFlush(stream msgstream.Stream, message *wire.Envelope) error {
	if err := stream.Send(message); err != nil {
		return err
	}
	return stream.Flush()
}

// sendBufferedBody sends a body that is in memory, without flushing the stream.
func sendBufferedBody(stream msgstream.Stream, body []byte) error {
	for unsent := body; len(unsent) > 0; {
		size := min(len(unsent), frame.ChunkBytes)
		if err := stream.Send(bodyChunk(unsent[:size])); err != nil {
			return err
		}
		unsent = unsent[size:]
	}
	return stream.Send(bodyEnd(uint64(len(body))))
}

// sendStreamedBody sends a body while it is read. After an error of the reader it sends no
// BodyEnd, so that the receiver treats the body as truncated.
func sendStreamedBody(stream msgstream.Stream, body io.Reader) error {
	buffer := make([]byte, frame.ChunkBytes)
	var sent uint64
	for {
		size, err := body.Read(buffer)
		if size > 0 {
			sent += uint64(size) //nolint:gosec // never negative
			if err := sendAndFlush(stream, bodyChunk(buffer[:size])); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return sendAndFlush(stream, bodyEnd(sent))
		}
		if err != nil {
			return errors.WithMessage(err, "read request body")
		}
	}
}

// bodyReader reads a request body from its messages. It returns io.EOF only after a
// BodyEnd whose byte count is that of the body.
type bodyReader struct {
	stream    msgstream.Stream
	unread    []byte
	byteCount uint64
	limit     uint64
	err       error
	// onEnd is called once, after the complete body has been received; it may be nil.
	onEnd func()
}

func (b *bodyReader) Read(p []byte) (int, error) {
	for len(b.unread) == 0 && b.err == nil {
		b.err = b.next()
	}
	if len(b.unread) == 0 {
		return 0, b.err
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

// Close implements io.Closer. It does not close the stream, which belongs to the attempt.
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
		if end.GetByteCount() != b.byteCount {
			return errors.WithMessage(frame.ErrUnexpected, "request body length differs from the stated length")
		}
		if b.onEnd != nil {
			b.onEnd()
		}
		return io.EOF
	}
	if message.GetBodyChunk() == nil {
		return errors.WithMessage(frame.ErrUnexpected, "received while reading a request body")
	}
	b.unread = message.GetBodyChunk().GetData()
	b.byteCount += uint64(len(b.unread))
	if b.byteCount > b.limit {
		return errors.WithMessage(frame.ErrUnexpected, "request body exceeds the maximum size")
	}
	return nil
}
