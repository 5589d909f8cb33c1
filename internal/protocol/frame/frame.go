// Package frame reads and writes length-delimited protobuf envelopes on a stream.
package frame

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

const (
	// MaxMessageBytes bounds one message; a longer one ends the stream.
	MaxMessageBytes = 4 << 20
	// ChunkBytes is the size of the body chunks that the project's processes send.
	ChunkBytes = 32 << 10
	// bufferBytes covers a small request with its head in one read or write.
	bufferBytes = 4 << 10
	// maxScratchBytes bounds the memory that a connection keeps between messages.
	maxScratchBytes = 48 << 10
)

var (
	// ErrAttemptMismatch reports a message that belongs to another attempt.
	ErrAttemptMismatch = errors.New("message belongs to another attempt")
	// ErrUnexpected reports a message that the protocol does not allow at this point.
	ErrUnexpected = errors.New("unexpected message")
	// ErrMalformed reports bytes that are no valid message or exceed MaxMessageBytes.
	ErrMalformed = errors.New("malformed message")
)

// Conn sends and receives envelopes on one stream. One goroutine may read while
// another writes; neither side may be used by two goroutines at once.
type Conn struct {
	reader    *bufio.Reader
	writer    *bufio.Writer
	attemptID []byte
	check     func(*wire.Envelope) error
	sending   []byte // reused for encoding
	receiving []byte // reused for messages larger than the reader's buffer
}

var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferBytes) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferBytes) }}
)

// NewConn wraps a stream.
func NewConn(stream io.ReadWriter) *Conn {
	c := &Conn{
		reader: readers.Get().(*bufio.Reader),
		writer: writers.Get().(*bufio.Writer),
	}
	c.reader.Reset(stream)
	c.writer.Reset(stream)
	return c
}

// ReleaseReader gives the reader's buffer back. Receive and HasMore must not be used
// afterwards.
func (c *Conn) ReleaseReader() {
	c.reader.Reset(nil)
	readers.Put(c.reader)
	c.reader = nil
}

// ReleaseWriter gives the writer's buffer back. Send and Flush must not be used
// afterwards.
func (c *Conn) ReleaseWriter() {
	c.writer.Reset(nil)
	writers.Put(c.writer)
	c.writer = nil
}

// BindAttempt makes Send stamp the attempt ID on each message and Receive refuse
// messages that carry another one.
func (c *Conn) BindAttempt(attemptID []byte) {
	c.attemptID = attemptID
}

// CheckReceived makes Receive refuse each message for which check returns an error,
// with that error.
func (c *Conn) CheckReceived(check func(*wire.Envelope) error) {
	c.check = check
}

// Send buffers a message; Flush writes it. The message is not used after Send
// returns.
func (c *Conn) Send(message *wire.Envelope) error {
	message.AttemptId = c.attemptID
	options := proto.MarshalOptions{UseCachedSize: true}
	size := proto.Size(message)
	encoded := binary.AppendUvarint(c.sending[:0], uint64(size)) //nolint:gosec // never negative
	encoded, err := options.MarshalAppend(encoded, message)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	if cap(encoded) <= maxScratchBytes {
		c.sending = encoded
	}
	_, err = c.writer.Write(encoded)
	return errors.Wrap(err, "send message")
}

// Flush writes buffered messages to the stream.
func (c *Conn) Flush() error {
	return errors.Wrap(c.writer.Flush(), "flush messages")
}

// SendNow sends a message without delay.
func (c *Conn) SendNow(message *wire.Envelope) error {
	if err := c.Send(message); err != nil {
		return err
	}
	return c.Flush()
}

// HasMore reports whether bytes of a further message have arrived.
func (c *Conn) HasMore() bool { return c.reader.Buffered() > 0 }

// Receive returns the next message. It returns io.EOF when the stream ends
// between two messages, io.ErrUnexpectedEOF when it ends within one,
// ErrAttemptMismatch together with a message of another attempt, and ErrMalformed for
// bytes that are no message.
func (c *Conn) Receive() (*wire.Envelope, error) {
	message, err := c.ReceiveAny()
	if err != nil {
		return nil, err
	}
	if c.attemptID != nil && !bytes.Equal(message.GetAttemptId(), c.attemptID) {
		return message, ErrAttemptMismatch
	}
	return message, nil
}

// ReceiveAny returns the next message like Receive, whatever attempt it belongs to.
func (c *Conn) ReceiveAny() (*wire.Envelope, error) {
	size, err := binary.ReadUvarint(c.reader)
	if err != nil {
		return nil, receiveError(err)
	}
	if size > MaxMessageBytes {
		return nil, errors.WithMessagef(ErrMalformed, "%d bytes", size)
	}
	message := &wire.Envelope{}
	if err := c.decode(int(size), message); err != nil {
		return nil, err
	}
	if c.check != nil {
		if err := c.check(message); err != nil {
			return nil, err
		}
	}
	return message, nil
}

func (c *Conn) decode(size int, message *wire.Envelope) error {
	encoded, err := c.next(size)
	if err != nil {
		return receiveError(err)
	}
	if err := proto.Unmarshal(encoded, message); err != nil {
		return errors.WithMessage(ErrMalformed, err.Error())
	}
	return nil
}

// next returns size bytes, valid until the next call. Memory for a large message
// grows with the bytes that arrive, not with the size that the peer states.
func (c *Conn) next(size int) ([]byte, error) {
	if size <= bufferBytes {
		encoded, err := c.reader.Peek(size)
		if err != nil {
			return nil, noEOF(err)
		}
		_, err = c.reader.Discard(size)
		return encoded, err
	}
	if size <= maxScratchBytes {
		if cap(c.receiving) < size {
			c.receiving = make([]byte, size)
		}
		encoded := c.receiving[:size]
		_, err := io.ReadFull(c.reader, encoded)
		return encoded, noEOF(err)
	}
	var buffer bytes.Buffer
	_, err := io.CopyN(&buffer, c.reader, int64(size))
	return buffer.Bytes(), noEOF(err)
}

// noEOF turns the end of the stream within a message into io.ErrUnexpectedEOF.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func receiveError(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return err
	}
	return errors.Wrap(err, "receive message")
}
