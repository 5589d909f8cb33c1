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
	// MaxMessageBytes limits the size of a message; Receive returns ErrMalformed for a
	// longer one, which ends the stream.
	MaxMessageBytes = 4 << 20
	// ChunkBytes is the size of the body chunks that the project's processes send.
	ChunkBytes = 32 << 10
	// bufferBytes is the size of the read and write buffers. It is large enough to read or
	// write the head and body of a small request at once.
	bufferBytes = 4 << 10
	// maxRetainedBytes limits each buffer that a connection keeps between messages.
	maxRetainedBytes = 48 << 10
)

var (
	// ErrAttemptMismatch reports a message that belongs to another attempt.
	ErrAttemptMismatch = errors.New("message belongs to another attempt")
	// ErrUnexpected reports a message that the protocol does not allow in the current state
	// of the stream.
	ErrUnexpected = errors.New("unexpected message")
	// ErrMalformed reports bytes that are not a valid message, or a message that is longer
	// than MaxMessageBytes.
	ErrMalformed = errors.New("malformed message")
)

// Conn sends and receives envelopes on one stream. One goroutine may receive while
// another one sends, but no two goroutines may receive or send concurrently.
type Conn struct {
	reader        *bufio.Reader
	writer        *bufio.Writer
	attemptID     []byte
	check         func(*wire.Envelope) error
	encodeBuffer  []byte // reused to encode messages
	receiveBuffer []byte // reused for messages larger than the reader's buffer
	// memory counts what is held for large messages; nil counts nothing. messageBytes are
	// counted for the last message.
	memory       Memory
	messageBytes int64
	// acceptsCompressed is set by AcceptCompressed.
	acceptsCompressed bool
}

// Memory counts bytes held for the messages of a stream. AcquireMemory returns an error when they
// may not be held, which ends the stream.
type Memory interface {
	AcquireMemory(bytes int64) error
	ReleaseMemory(bytes int64)
}

var (
	readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferBytes) }}
	writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferBytes) }}
)

// NewConn returns a Conn on the stream, with read and write buffers from the pools. If the stream
// implements Memory, it counts the messages that are longer than maxRetainedBytes.
func NewConn(stream io.ReadWriter) *Conn {
	c := &Conn{
		reader: readerPool.Get().(*bufio.Reader),
		writer: writerPool.Get().(*bufio.Writer),
	}
	c.reader.Reset(stream)
	c.writer.Reset(stream)
	c.memory, _ = stream.(Memory)
	return c
}

// ReleaseReader returns the read buffer to its pool. Receive, ReceiveAny and HasBuffered
// must not be called afterwards.
func (c *Conn) ReleaseReader() {
	c.reader.Reset(nil)
	readerPool.Put(c.reader)
	c.reader = nil
}

// ReleaseWriter returns the write buffer to its pool. Send, SendAndFlush, SendEncoded and
// Flush must not be called afterwards.
func (c *Conn) ReleaseWriter() {
	c.writer.Reset(nil)
	writerPool.Put(c.writer)
	c.writer = nil
}

// BindAttempt makes Send set the attempt ID on each message, and makes Receive return
// ErrAttemptMismatch for messages with a different one.
func (c *Conn) BindAttempt(attemptID []byte) {
	c.attemptID = attemptID
}

// CheckReceived makes Receive and ReceiveAny call check for each message and, if check
// returns an error, return that error instead of the message.
func (c *Conn) CheckReceived(check func(*wire.Envelope) error) {
	c.check = check
}

// Send buffers a message; Flush writes it to the stream. Send retains no reference to the
// message.
func (c *Conn) Send(message *wire.Envelope) error {
	message.AttemptId = c.attemptID
	options := proto.MarshalOptions{UseCachedSize: true}
	size := proto.Size(message)
	encoded := binary.AppendUvarint(c.encodeBuffer[:0], uint64(size)) //nolint:gosec // never negative
	encoded, err := options.MarshalAppend(encoded, message)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	if cap(encoded) <= maxRetainedBytes {
		c.encodeBuffer = encoded
	}
	_, err = c.writer.Write(encoded)
	return errors.Wrap(err, "send message")
}

// Flush writes the buffered messages to the stream.
func (c *Conn) Flush() error {
	return errors.Wrap(c.writer.Flush(), "flush messages")
}

// SendAndFlush sends a message and flushes the write buffer.
func (c *Conn) SendAndFlush(message *wire.Envelope) error {
	if err := c.Send(message); err != nil {
		return err
	}
	return c.Flush()
}

// HasBuffered reports whether bytes of a further message are in the read buffer.
func (c *Conn) HasBuffered() bool { return c.reader.Buffered() > 0 }

// Receive returns the next message. It returns io.EOF when the stream ends between two
// messages, io.ErrUnexpectedEOF when it ends within a message, ErrAttemptMismatch together
// with the message when it belongs to another attempt, and ErrMalformed for bytes that are
// not a valid message.
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

// ReceiveAny is like Receive but does not check the attempt ID of the message.
func (c *Conn) ReceiveAny() (*wire.Envelope, error) {
	c.releaseMessage()
	size, err := binary.ReadUvarint(c.reader)
	if err != nil {
		return nil, receiveError(err)
	}
	if size > MaxMessageBytes {
		return nil, errors.WithMessagef(ErrMalformed, "length of %d bytes exceeds the limit", size)
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
	encoded, err := c.readBytes(size)
	if err != nil {
		return receiveError(err)
	}
	if err := proto.Unmarshal(encoded, message); err != nil {
		return errors.WithMessage(ErrMalformed, err.Error())
	}
	if message.GetCompressed() != nil {
		return c.decompress(message)
	}
	return nil
}

// readBytes reads size bytes; the result is valid until the next call. For a large
// message, memory is allocated as bytes arrive and not by the length that the peer declares.
func (c *Conn) readBytes(size int) ([]byte, error) {
	if size <= bufferBytes {
		encoded, err := c.reader.Peek(size)
		if err != nil {
			return nil, toUnexpectedEOF(err)
		}
		_, err = c.reader.Discard(size)
		return encoded, err
	}
	if size <= maxRetainedBytes {
		if cap(c.receiveBuffer) < size {
			c.receiveBuffer = make([]byte, size)
		}
		encoded := c.receiveBuffer[:size]
		_, err := io.ReadFull(c.reader, encoded)
		return encoded, toUnexpectedEOF(err)
	}
	return c.readLarge(size)
}

// toUnexpectedEOF replaces io.EOF, when the stream ends within a message, by
// io.ErrUnexpectedEOF.
func toUnexpectedEOF(err error) error {
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
