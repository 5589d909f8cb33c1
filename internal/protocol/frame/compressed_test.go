package frame

import (
	"bytes"
	"testing"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// receiveEncoded returns the message that a receiver, which may accept compressed ones, reads.
func receiveEncoded(encoded []byte, accepts bool) (*wire.Envelope, error) {
	receiver := NewConn(bytes.NewBuffer(encoded))
	if accepts {
		receiver.AcceptCompressed()
	}
	return receiver.Receive()
}

// TestCompressedMessages guards against a message that is changed by compression, or that is
// compressed for a receiver which does not accept that.
func TestCompressedMessages(t *testing.T) {
	for _, size := range []int{0, minCompressedBytes - 20, minCompressedBytes, 1 << 20} {
		sent := bodyChunk(size)
		encoded, err := EncodeCompressed(sent)
		assert.NilError(t, err)
		received, err := receiveEncoded(encoded, true)
		assert.NilError(t, err)
		assert.Assert(t, proto.Equal(sent, received), "%d bytes", size)
		_, err = receiveEncoded(encoded, false)
		assert.Equal(t, errors.Is(err, ErrMalformed), size >= minCompressedBytes, "%d bytes", size)
	}
}

// TestMalformedCompressedMessages guards against a compressed message that takes more memory than
// it states, and against one that is taken although it is damaged.
func TestMalformedCompressedMessages(t *testing.T) {
	deflated := func(data []byte) []byte {
		var compressed bytes.Buffer
		assert.NilError(t, compress(&compressed, data))
		return compressed.Bytes()
	}
	envelope := func(data []byte, size int) *wire.Envelope {
		return &wire.Envelope{Body: &wire.Envelope_Compressed{Compressed: &wire.Compressed{Data: data, Size: uint32(size)}}}
	}
	inner, err := proto.Marshal(bodyChunk(minCompressedBytes))
	assert.NilError(t, err)
	twice, err := proto.Marshal(envelope(deflated(inner), len(inner)))
	assert.NilError(t, err)
	for name, message := range map[string]*wire.Envelope{
		"longer than its size":  envelope(deflated(inner), len(inner)-1),
		"shorter than its size": envelope(deflated(inner), len(inner)+1),
		"size above the limit":  envelope(deflated(make([]byte, MaxMessageBytes+1)), MaxMessageBytes+1),
		"not compressed":        envelope(inner, len(inner)),
		"no message":            envelope(deflated([]byte("\xff\xff")), 2),
		"compressed twice":      envelope(deflated(twice), len(twice)),
		"empty":                 envelope(nil, 0),
	} {
		encoded, err := Encode(message)
		assert.NilError(t, err)
		_, err = receiveEncoded(encoded, true)
		assert.ErrorIs(t, err, ErrMalformed, name)
	}
}
