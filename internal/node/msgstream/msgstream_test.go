package msgstream

import (
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

func chunk(data []byte) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_BodyChunk{BodyChunk: &wire.BodyChunk{Data: data}}}
}

// TestPipeKeepsSentMessages guards against messages that are lost when the sender closes its end
// before they are received, and against data that changes when the sender reuses its buffer.
func TestPipeKeepsSentMessages(t *testing.T) {
	entry, receiver := NewPipe()
	buffer := []byte("body")
	assert.NilError(t, entry.Send(chunk(buffer)))
	copy(buffer, "xxxx")
	entry.Close()
	assert.Assert(t, receiver.HasBuffered())
	message, err := receiver.Receive()
	assert.NilError(t, err)
	assert.Equal(t, string(message.GetBodyChunk().GetData()), "body")
	_, err = receiver.Receive()
	assert.ErrorIs(t, err, io.EOF)
	assert.ErrorIs(t, entry.Send(chunk(nil)), io.ErrClosedPipe, "sent after Close")
}

// TestPipeAbort guards against a sender or a receiver that stays blocked after its side was
// aborted.
func TestPipeAbort(t *testing.T) {
	entry, receiver := NewPipe()
	for range pipeCapacity {
		assert.NilError(t, entry.Send(chunk(nil)))
	}
	errs := make(chan error, 2)
	go func() { errs <- entry.Send(chunk(nil)) }()
	go func() {
		_, err := entry.Receive()
		errs <- err
	}()
	entry.Abort()
	entry.Abort()
	for range cap(errs) {
		assert.ErrorIs(t, <-errs, errAborted)
	}
	_, err := receiver.Receive()
	assert.NilError(t, err, "the other side can still receive what was sent")
}
