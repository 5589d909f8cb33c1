package replica

import (
	"bytes"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// FuzzIntroduction guards against a panic on a malformed identity message and against
// an identity that is decoded differently from how it was encoded.
func FuzzIntroduction(f *testing.F) {
	f.Add(identityMessage{memberID: 7, clusterID: 1 << 63, address: "10.0.0.1:7000"}.encode(payloadHello))
	f.Add(identityMessage{}.encode(payloadIdentityRequest))
	f.Add([]byte{payloadJoinRequest, 1, 2})
	f.Fuzz(func(t *testing.T, payload []byte) {
		decoded, err := decodeIdentityMessage(payload)
		if err != nil {
			assert.ErrorIs(t, err, errMalformedPayload)
			return
		}
		assert.Assert(t, bytes.Equal(decoded.encode(payload[0]), payload))
	})
}

// FuzzAssembler guards against a panic, against bytes that are lost, repeated or taken
// from another message, and against a buffer larger than the bytes received. All
// payloads except the last have the same size.
func FuzzAssembler(f *testing.F) {
	f.Add([]byte("\x02ab\x02cd\x01ef\x01gh"), uint8(3))
	f.Add([]byte("\x02\x02\x01"), uint8(1))
	f.Add([]byte("\x02ab\x03cd"), uint8(3))
	f.Fuzz(func(t *testing.T, stream []byte, size uint8) {
		parts := &assembler{}
		var want []byte
		for len(stream) > 0 {
			payload := stream[:min(max(1, int(size)), len(stream))]
			stream = stream[len(payload):]
			encoded, complete, err := parts.add(payload)
			if err != nil {
				assert.Assert(t, errors.Is(err, errMalformedPayload))
				return
			}
			want = append(want, payload[1:]...)
			if complete {
				assert.Assert(t, bytes.Equal(encoded, want))
				want = nil
			}
			assert.Assert(t, len(parts.buffer) <= len(want))
		}
	})
}
