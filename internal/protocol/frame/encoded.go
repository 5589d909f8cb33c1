package frame

import (
	"bytes"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// encodedPieceBytes is the size of the writes of a long message. A session of the
// mesh keeps a copy of its longest write, so that one write of a whole document
// would cost each connection of a member that much memory for good.
const encodedPieceBytes = 16 << 10

// Encode returns the bytes of a message as Send writes them, for messages that
// go to many streams. The message must not belong to an attempt.
func Encode(message *wire.Envelope) ([]byte, error) {
	var buffer bytes.Buffer
	_, err := protodelim.MarshalTo(&buffer, message)
	return buffer.Bytes(), errors.Wrap(err, "encode message")
}

// SendEncoded buffers messages that Encode returned; Flush writes them.
func (c *Conn) SendEncoded(encoded []byte) error {
	for len(encoded) > 0 {
		size := min(len(encoded), encodedPieceBytes)
		if _, err := c.writer.Write(encoded[:size]); err != nil {
			return errors.Wrap(err, "send message")
		}
		encoded = encoded[size:]
	}
	return nil
}
