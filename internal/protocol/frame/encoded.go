package frame

import (
	"bytes"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// Encode returns the bytes of a message as Send writes them, for messages that
// go to many streams. The message must not belong to an attempt.
func Encode(message *wire.Envelope) ([]byte, error) {
	var buffer bytes.Buffer
	_, err := protodelim.MarshalTo(&buffer, message)
	return buffer.Bytes(), errors.Wrap(err, "encode message")
}

// SendEncoded buffers messages that Encode returned; Flush writes them.
func (c *Conn) SendEncoded(encoded []byte) error {
	_, err := c.writer.Write(encoded)
	return errors.Wrap(err, "send message")
}
