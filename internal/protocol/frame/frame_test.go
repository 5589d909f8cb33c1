package frame

import (
	"bytes"
	"io"
	"testing"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// bodyChunk returns a message with a body chunk of size zero bytes.
func bodyChunk(size int) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_BodyChunk{BodyChunk: &wire.BodyChunk{Data: make([]byte, size)}}}
}

// TestMessages guards against corrupted messages at the sizes around which readBytes uses
// a different buffer, and against accepting a message of another attempt.
func TestMessages(t *testing.T) {
	var stream bytes.Buffer
	sender, receiver := NewConn(&stream), NewConn(&stream)
	sender.BindAttempt([]byte("one"))
	receiver.BindAttempt([]byte("one"))
	for _, size := range []int{0, 1, bufferBytes - 20, bufferBytes, ChunkBytes, maxRetainedBytes, 1 << 20} {
		sent := bodyChunk(size)
		assert.NilError(t, sender.SendAndFlush(sent))
		received, err := receiver.Receive()
		assert.NilError(t, err)
		assert.Assert(t, proto.Equal(sent, received), "%d bytes", size)
	}
	_, err := receiver.Receive()
	assert.Equal(t, err, io.EOF)
	sender.BindAttempt([]byte("two"))
	assert.NilError(t, sender.SendAndFlush(bodyChunk(1)))
	_, err = receiver.Receive()
	assert.Equal(t, err, ErrAttemptMismatch)
}

// FuzzReceive guards against a panic, or an undocumented error, for bytes from a faulty
// peer. A truncated message must never be reported as io.EOF.
func FuzzReceive(f *testing.F) {
	var stream bytes.Buffer
	conn := NewConn(&stream)
	_ = conn.Send(&wire.Envelope{Body: &wire.Envelope_RequestHead{RequestHead: &wire.RequestHead{Method: "GET", Target: "/"}}})
	_ = conn.Send(bodyChunk(100))
	_ = conn.SendAndFlush(&wire.Envelope{Body: &wire.Envelope_BodyEnd{BodyEnd: &wire.BodyEnd{ByteCount: 100}}})
	f.Add(stream.Bytes())
	f.Add(stream.Bytes()[:stream.Len()-1])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Add([]byte{0x80})
	f.Add([]byte{3, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		receiver := NewConn(bytes.NewBuffer(data))
		for {
			_, err := receiver.Receive()
			if err == nil {
				continue
			}
			documented := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, ErrMalformed)
			assert.Assert(t, documented || err.Error() == "receive message: binary: varint overflows a 64-bit integer", "%v", err)
			return
		}
	})
}
