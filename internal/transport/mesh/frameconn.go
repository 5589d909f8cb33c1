package mesh

import (
	"encoding/binary"
	"net"
)

// Layout of a yamux frame header, and limits of frameConn.
const (
	yamuxHeaderBytes  = 12
	yamuxTypeOffset   = 1
	yamuxFlagsOffset  = 2
	yamuxLengthOffset = 8
	yamuxTypeData     = 0
	yamuxTypeWindow   = 1
	yamuxFlagSYN      = 1
	yamuxFlagACK      = 2
	// maxBufferedBytes is the buffered size at which a further header is written at once.
	maxBufferedBytes = 1 << 10
	// maxCopiedBodyBytes is the largest frame body that is copied into the buffer.
	maxCopiedBodyBytes = 8 << 10
)

// frameConn coalesces yamux frames into one write. yamux writes the header and the body
// of a frame separately, and sends the SYN and the ACK of a stream in frames of their
// own, which costs three system calls for the first message of a stream. frameConn
// buffers the header of a data frame until its body, and bare SYN and ACK frames until
// the next frame, because the side that sends one of these always sends more on the stream.
// Only yamux's send loop writes, so no lock is needed.
type frameConn struct {
	net.Conn
	buffered   []byte
	expectBody bool
}

// Write buffers or writes p and returns the number of bytes of p that it accepted.
func (c *frameConn) Write(p []byte) (int, error) {
	if c.expectBody {
		c.expectBody = false
		return c.writeWithBuffered(p)
	}
	if len(p) != yamuxHeaderBytes {
		return c.writeWithBuffered(p)
	}
	c.expectBody = p[yamuxTypeOffset] == yamuxTypeData && binary.BigEndian.Uint32(p[yamuxLengthOffset:]) > 0
	if len(c.buffered) < maxBufferedBytes && (c.expectBody || isBareSYNOrACK(p)) {
		c.buffered = append(c.buffered, p...)
		return len(p), nil
	}
	return c.writeWithBuffered(p)
}

// isBareSYNOrACK reports whether the frame only opens or acknowledges a stream.
func isBareSYNOrACK(header []byte) bool {
	flags := binary.BigEndian.Uint16(header[yamuxFlagsOffset:])
	length := binary.BigEndian.Uint32(header[yamuxLengthOffset:])
	return header[yamuxTypeOffset] == yamuxTypeWindow && length == 0 && (flags == yamuxFlagSYN || flags == yamuxFlagACK)
}

// writeWithBuffered writes the buffered bytes, followed by p.
func (c *frameConn) writeWithBuffered(p []byte) (int, error) {
	if len(c.buffered) == 0 {
		return c.Conn.Write(p)
	}
	buffered := c.buffered
	c.buffered = c.buffered[:0]
	if len(p) <= maxCopiedBodyBytes {
		joined := append(buffered, p...) //nolint:gocritic // the array of buffered is reused
		c.buffered = joined[:0]
		if _, err := c.Conn.Write(joined); err != nil {
			return 0, err
		}
		return len(p), nil
	}
	if _, err := c.Conn.Write(buffered); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
