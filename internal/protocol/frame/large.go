package frame

import "io"

// readLarge reads a message that is longer than maxRetainedBytes into a buffer that grows as bytes
// arrive. What is held is counted, with as much for the decoded message.
func (c *Conn) readLarge(size int) ([]byte, error) {
	buffer := make([]byte, 0, maxRetainedBytes)
	if err := c.acquire(cap(buffer)); err != nil {
		return nil, err
	}
	for len(buffer) < size {
		if len(buffer) == cap(buffer) {
			grown := min(2*cap(buffer), size)
			if err := c.acquire(grown); err != nil {
				return nil, err
			}
			buffer = append(make([]byte, 0, grown), buffer...)
		}
		end := min(cap(buffer), size)
		n, err := io.ReadFull(c.reader, buffer[len(buffer):end])
		buffer = buffer[:len(buffer)+n]
		if err != nil {
			return nil, toUnexpectedEOF(err)
		}
	}
	return buffer, c.acquire(size)
}

func (c *Conn) acquire(bytes int) error {
	if c.memory == nil {
		return nil
	}
	if err := c.memory.AcquireMemory(int64(bytes)); err != nil {
		return err
	}
	c.messageBytes += int64(bytes)
	return nil
}

// releaseMessage releases what was counted for the last message.
func (c *Conn) releaseMessage() {
	if c.messageBytes > 0 {
		c.memory.ReleaseMemory(c.messageBytes)
		c.messageBytes = 0
	}
}
