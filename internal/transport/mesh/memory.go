package mesh

import (
	"encoding/binary"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/memlimit"
)

const (
	// sessionBytes are held for an accepted connection, streamBytes for a stream with the
	// first uncountedStreamBytes that its peer sends.
	sessionBytes         = 24 << 10
	streamBytes          = 16 << 10
	uncountedStreamBytes = 4 << 10
	// bufferGrowth is how many bytes the buffer of a stream holds for each unread byte.
	bufferGrowth = 2
	// maxWindowBytes is the receive window of a stream.
	maxWindowBytes = 256 << 10
	// memoryWait bounds the wait of a connection for memory before it is closed.
	memoryWait       = 500 * time.Millisecond
	memoryRetryDelay = 10 * time.Millisecond
	// maxRefusedStreams bounds the streams of a connection that find no memory, since yamux
	// keeps each of them for a time.
	maxRefusedStreams = 256
	// closedStreamTime is the time for which yamux may keep a stream that this side has closed
	// and the peer has not.
	closedStreamTime = time.Minute + time.Second

	yamuxStreamOffset = 4
	yamuxFlagFIN      = 4
	yamuxFlagRST      = 8
)

var errNoMemory = errors.New("mesh: no memory for the connection")

// countedConn counts the bytes that yamux buffers for the streams of an accepted connection. It
// reads the headers of the frames that arrive.
type countedConn struct {
	net.Conn
	account *memlimit.Account

	// header is the part of the next frame header that has arrived, bodyBytes the part of the
	// current frame that has not.
	header    []byte
	bodyBytes uint32
	// refused is the number of streams that found no memory.
	refused int

	mu      sync.Mutex
	streams map[uint32]*countedStream
}

// countedStream is what is counted for one stream.
type countedStream struct {
	// unread bytes have arrived, or are about to, and were not read by the handler.
	unread  int64
	counted int64
	// refused is set when there was no memory for the stream.
	refused            bool
	endedHere, endedBy bool
}

func newCountedConn(conn net.Conn, account *memlimit.Account) *countedConn {
	return &countedConn{Conn: conn, account: account, streams: map[uint32]*countedStream{}}
}

// Read implements net.Conn. It fails when the bytes that have arrived can't be held.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.account.Moved(time.Now(), n)
	for data := p[:n]; len(data) > 0; {
		if c.bodyBytes > 0 {
			size := min(uint32(len(data)), c.bodyBytes) //nolint:gosec // a read buffer is small
			c.bodyBytes -= size
			data = data[size:]
			continue
		}
		size := min(len(data), yamuxHeaderBytes-len(c.header))
		c.header, data = append(c.header, data[:size]...), data[size:]
		if len(c.header) < yamuxHeaderBytes {
			break
		}
		if err := c.countFrame(c.header); err != nil {
			return 0, err
		}
		c.header = c.header[:0]
	}
	return n, err
}

func (c *countedConn) countFrame(header []byte) error {
	kind, flags := header[yamuxTypeOffset], binary.BigEndian.Uint16(header[yamuxFlagsOffset:])
	id, length := binary.BigEndian.Uint32(header[yamuxStreamOffset:]), binary.BigEndian.Uint32(header[yamuxLengthOffset:])
	if kind > yamuxTypeWindow {
		return nil // a ping, or the end of the session
	}
	if flags&yamuxFlagSYN != 0 {
		if c.addStream(id); c.refused > maxRefusedStreams {
			return errNoMemory
		}
	}
	if kind == yamuxTypeData {
		c.bodyBytes = length
		if err := c.countData(id, int64(min(length, maxWindowBytes))); err != nil {
			return err
		}
	}
	if flags&(yamuxFlagFIN|yamuxFlagRST) != 0 {
		c.endStream(id, func(s *countedStream) { s.endedBy = true })
	}
	return nil
}

func (c *countedConn) addStream(id uint32) {
	c.mu.Lock()
	exists := c.streams[id] != nil
	c.mu.Unlock()
	if exists {
		return // a violation of the protocol, for which yamux ends the session
	}
	stream := &countedStream{counted: streamBytes}
	if c.account.Acquire(time.Now(), streamBytes) != nil {
		stream.counted, stream.refused = 0, true
		c.refused++
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams[id] = stream
}

// isRefused reports whether there was no memory for a stream.
func (c *countedConn) isRefused(id uint32) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	stream := c.streams[id]
	return stream != nil && stream.refused
}

// countData counts bytes that are about to be buffered. yamux keeps a buffer for the life of its
// stream, so that only growth is counted.
func (c *countedConn) countData(id uint32, bytes int64) error {
	c.mu.Lock()
	stream := c.streams[id]
	if stream == nil {
		c.mu.Unlock()
		return nil // yamux discards it
	}
	stream.unread += bytes
	growth := streamBytes + bufferGrowth*(stream.unread-uncountedStreamBytes) - stream.counted
	c.mu.Unlock()
	if growth <= 0 {
		return nil
	}
	if err := acquireWaiting(c.account, growth); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	stream.counted += growth
	return nil
}

// read records that the handler has read bytes of a stream.
func (c *countedConn) read(id uint32, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if stream := c.streams[id]; stream != nil {
		stream.unread -= int64(bytes)
	}
}

// handlerEnded records that this side has closed a stream. yamux keeps the stream until the peer
// has closed it too, for a time.
func (c *countedConn) handlerEnded(id uint32) {
	c.endStream(id, func(s *countedStream) { s.endedHere = true })
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams[id] != nil {
		time.AfterFunc(closedStreamTime, func() { c.endStream(id, func(s *countedStream) { s.endedBy = true }) })
	}
}

func (c *countedConn) endStream(id uint32, end func(s *countedStream)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	stream := c.streams[id]
	if stream == nil {
		return
	}
	end(stream)
	if stream.endedHere && stream.endedBy {
		delete(c.streams, id)
		c.account.Release(stream.counted)
	}
}

// acquireWaiting counts bytes and waits for memory for memoryWait.
func acquireWaiting(account *memlimit.Account, bytes int64) error {
	for started := time.Now(); ; time.Sleep(memoryRetryDelay) {
		now := time.Now()
		err := account.Acquire(now, bytes)
		if err == nil {
			return nil
		}
		if now.Sub(started) >= memoryWait {
			return errors.WithMessage(errNoMemory, err.Error())
		}
	}
}

// Read implements net.Conn.
func (a *Accepted) Read(p []byte) (int, error) {
	n, err := a.Stream.Read(p)
	if a.session.counted != nil {
		a.session.counted.read(a.StreamID(), n)
	}
	return n, err
}

// AcquireMemory counts bytes that are held for a message of the stream, until ReleaseMemory or the end of the handler.
func (a *Accepted) AcquireMemory(bytes int64) error {
	if a.session.counted == nil {
		return nil
	}
	if err := acquireWaiting(a.session.counted.account, bytes); err != nil {
		return err
	}
	a.messageBytes.Add(bytes)
	return nil
}

// ReleaseMemory undoes AcquireMemory.
func (a *Accepted) ReleaseMemory(bytes int64) {
	if a.session.counted != nil {
		a.messageBytes.Add(-bytes)
		a.session.counted.account.Release(bytes)
	}
}

// endMemory releases what is counted for the stream.
func (a *Accepted) endMemory() {
	if a.session.counted != nil {
		a.ReleaseMemory(a.messageBytes.Load())
		a.session.counted.handlerEnded(a.StreamID())
	}
}
