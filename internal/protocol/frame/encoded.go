package frame

import (
	"bytes"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// maxEncodedWriteBytes limits each write of an encoded message. A mesh session keeps a
// buffer of the size of its longest write, so writing a whole document at once would
// permanently occupy that much memory for each connection of a control member.
const maxEncodedWriteBytes = 16 << 10

// Encode returns the bytes of a message as Send writes them, for a message that is sent
// on many streams. It sets no attempt ID, so the message must not belong to an attempt.
func Encode(message *wire.Envelope) ([]byte, error) {
	var buffer bytes.Buffer
	_, err := protodelim.MarshalTo(&buffer, message)
	return buffer.Bytes(), errors.Wrap(err, "encode message")
}

// SendEncoded buffers messages that Encode has encoded; Flush writes them to the stream.
func (c *Conn) SendEncoded(encoded []byte) error {
	for len(encoded) > 0 {
		size := min(len(encoded), maxEncodedWriteBytes)
		if _, err := c.writer.Write(encoded[:size]); err != nil {
			return errors.Wrap(err, "send message")
		}
		encoded = encoded[size:]
	}
	return nil
}
