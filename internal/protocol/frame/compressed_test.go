package frame

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// TestCompressedMessages guards against a message that is changed by compression, or that is
// compressed for a receiver which does not accept that.
func TestCompressedMessages(t *testing.T) {
	for _, size := range []int{0, minCompressedBytes - 20, minCompressedBytes, 1 << 20} {
		var stream bytes.Buffer
		sent := bodyChunk(size)
		encoded, err := EncodeCompressed(sent)
		assert.NilError(t, err)
		for _, accepts := range []bool{true, false} {
			sender, receiver := NewConn(&stream), NewConn(&stream)
			if accepts {
				receiver.AcceptCompressed()
			}
			assert.NilError(t, sender.SendEncoded(encoded))
			assert.NilError(t, sender.Flush())
			received, err := receiver.Receive()
			if size >= minCompressedBytes && !accepts {
				assert.ErrorIs(t, err, ErrMalformed)
				continue
			}
			assert.NilError(t, err)
			assert.Assert(t, proto.Equal(sent, received), "%d bytes", size)
		}
	}
}

// TestMalformedCompressedMessages guards against a compressed message that takes more memory than
// it states, and against one that is taken although it is damaged.
func TestMalformedCompressedMessages(t *testing.T) {
	inner, err := proto.Marshal(bodyChunk(minCompressedBytes))
	assert.NilError(t, err)
	deflated := func(data []byte) []byte {
		var compressed bytes.Buffer
		assert.NilError(t, compress(&compressed, data))
		return compressed.Bytes()
	}
	twice, err := proto.Marshal(&wire.Envelope{Body: &wire.Envelope_Compressed{Compressed: &wire.Compressed{Data: deflated(inner), Size: uint32(len(inner))}}})
	assert.NilError(t, err)
	for _, c := range []struct {
		name string
		data []byte
		size int
	}{
		{"longer than its size", deflated(inner), len(inner) - 1},
		{"shorter than its size", deflated(inner), len(inner) + 1},
		{"size above the limit", deflated(make([]byte, MaxMessageBytes+1)), MaxMessageBytes + 1},
		{"not compressed", inner, len(inner)},
		{"no message", deflated([]byte("\xff\xff")), 2},
		{"compressed twice", deflated(twice), len(twice)},
		{"empty", nil, 0},
	} {
		var stream bytes.Buffer
		conn := NewConn(&stream)
		conn.AcceptCompressed()
		assert.NilError(t, conn.SendAndFlush(&wire.Envelope{Body: &wire.Envelope_Compressed{Compressed: &wire.Compressed{Data: c.data, Size: uint32(c.size)}}}))
		_, err := conn.Receive()
		assert.ErrorIs(t, err, ErrMalformed, c.name)
	}
}
