package raft

import (
	"bytes"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// FuzzDecodeConfiguration guards against a panic on malformed input and against input that
// decodes although it is not the encoding of the decoded configuration.
func FuzzDecodeConfiguration(f *testing.F) {
	members := []Member{{ID: 1, Address: "10.0.0.1:7000"}, {ID: 300, Learner: true}}
	f.Add(EncodeConfiguration(Configuration{Members: members}))
	f.Add([]byte{2, 1, 0, 0, 1, 0, 0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := DecodeConfiguration(data)
		if err != nil {
			assert.Assert(t, errors.Is(err, ErrMalformed))
			return
		}
		assert.Assert(t, bytes.Equal(EncodeConfiguration(c), data))
	})
}
