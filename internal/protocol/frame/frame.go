// Package frame reads and writes length-delimited protobuf envelopes on a stream.
package frame

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

const (
	// MaxMessageBytes bounds one message; a longer one ends the stream.
	MaxMessageBytes = 4 << 20
	// ChunkBytes is the size of the body chunks that the project's processes send.
	ChunkBytes = 32 << 10
	// bufferBytes covers a small request with its head in one read or write.
	bufferBytes = 4 << 10
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
}

// NewConn wraps a stream.
func NewConn(stream io.ReadWriter) *Conn {
	return &Conn{
		reader: bufio.NewReaderSize(stream, bufferBytes),
		writer: bufio.NewWriterSize(stream, bufferBytes),
	}
}

// BindAttempt makes Send stamp the attempt ID on each message and Receive refuse
// messages that carry another one.
func (c *Conn) BindAttempt(attemptID []byte) {
	c.attemptID = attemptID
}

// Send buffers a message; Flush writes it.
func (c *Conn) Send(message *wire.Envelope) error {
	message.AttemptId = c.attemptID
	_, err := protodelim.MarshalTo(c.writer, message)
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

// Receive returns the next message. It returns io.EOF when the stream ends
// between two messages, ErrAttemptMismatch for a message of another attempt, and
// ErrMalformed for bytes that are no message.
func (c *Conn) Receive() (*wire.Envelope, error) {
	message := &wire.Envelope{}
	options := protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes}
	if err := options.UnmarshalFrom(c.reader, message); err != nil {
		return nil, receiveError(err)
	}
	if c.attemptID != nil && !bytes.Equal(message.GetAttemptId(), c.attemptID) {
		return nil, ErrAttemptMismatch
	}
	return message, nil
}

func receiveError(err error) error {
	var tooLarge *protodelim.SizeTooLargeError
	if errors.As(err, &tooLarge) {
		return errors.WithMessage(ErrMalformed, err.Error())
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return err
	}
	return errors.Wrap(err, "receive message")
}
