package callerhttp

import (
	"time"
)

// A connection on which the caller still sends is not closed at once after the last
// response: that would reset it, and a caller that reads only after it has sent its whole
// body would lose the response.
const (
	// lingerPause limits the pause after which the caller is taken to send no more.
	lingerPause = 500 * time.Millisecond
	// maxLingerTime and maxLingerBytes limit what is read of a body that nobody needs.
	maxLingerTime  = 10 * time.Second
	maxLingerBytes = 64 << 20
	// maxRejectedBytes bounds what is read from a caller after a head that could not be read,
	// whose bytes may never end.
	maxRejectedBytes = 256 << 10
	// lingerBufferBytes is the size of the buffer for reads that are discarded.
	lingerBufferBytes = 4 << 10
)

// linger discards what the caller still sends until it closes the connection, pauses, or
// has used up its time or bytes.
func (c *conn) linger() {
	startedAt := time.Now()
	buffer := make([]byte, lingerBufferBytes)
	for remaining := c.maxLingerBytes(); remaining > 0; {
		deadline := startedAt.Add(c.maxLingerTime())
		if pauseEnd := time.Now().Add(lingerPause); pauseEnd.Before(deadline) {
			deadline = pauseEnd
		}
		_ = c.netConn.SetReadDeadline(deadline)
		size, err := c.netConn.Read(buffer)
		if err != nil {
			return
		}
		remaining -= size
	}
}

func (c *conn) maxLingerBytes() int {
	if c.rejected {
		return maxRejectedBytes
	}
	return maxLingerBytes
}

// maxLingerTime is short after a head that could not be read, and while the server is
// draining, since lingering connections would delay its stop.
func (c *conn) maxLingerTime() time.Duration {
	if c.rejected || c.server.isDraining() {
		return lingerPause
	}
	return maxLingerTime
}
