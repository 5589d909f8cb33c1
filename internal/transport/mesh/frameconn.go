package mesh

import (
	"encoding/binary"
	"net"
)

// Layout of a yamux frame header.
const (
	yamuxHeaderBytes   = 12
	yamuxTypeOffset    = 1
	yamuxFlagsOffset   = 2
	yamuxLengthOffset  = 8
	yamuxTypeData      = 0
	yamuxTypeWindow    = 1
	yamuxFlagSYN       = 1
	yamuxFlagACK       = 2
	maxBufferedBytes   = 1 << 10
	maxCopiedBodyBytes = 8 << 10
)

// frameConn joins yamux frames into one write. yamux writes the header and the body
// of a frame separately, and announces and acknowledges a stream in frames of their
// own, which costs three system calls for the first message of a stream. Headers of
// data frames are held until their body. Announcements and acknowledgements are held
// until the next frame: a stream that was announced or acknowledged always sends more.
// Only yamux's send loop writes, so there is no lock.
type frameConn struct {
	net.Conn
	buffered   []byte
	expectBody bool
}

// Write returns the number of bytes of p that were accepted.
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

// isBareSYNOrACK reports whether the frame only announces or acknowledges a stream.
func isBareSYNOrACK(header []byte) bool {
	flags := binary.BigEndian.Uint16(header[yamuxFlagsOffset:])
	length := binary.BigEndian.Uint32(header[yamuxLengthOffset:])
	return header[yamuxTypeOffset] == yamuxTypeWindow && length == 0 && (flags == yamuxFlagSYN || flags == yamuxFlagACK)
}

func (c *frameConn) writeWithBuffered(p []byte) (int, error) {
	if len(c.buffered) == 0 {
		return c.Conn.Write(p)
	}
	held := c.buffered
	c.buffered = c.buffered[:0]
	if len(p) <= maxCopiedBodyBytes {
		joined := append(held, p...) //nolint:gocritic // held is reused as the buffer
		c.buffered = joined[:0]
		if _, err := c.Conn.Write(joined); err != nil {
			return 0, err
		}
		return len(p), nil
	}
	if _, err := c.Conn.Write(held); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
