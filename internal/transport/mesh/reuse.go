package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
)

const (
	// maxIdleStreams bounds the idle streams of one connection. Each costs both sides
	// some kilobytes.
	maxIdleStreams = 8
	// maxStreamIdle is the time after which an idle stream is closed.
	maxStreamIdle = 3 * time.Second
)

// Stream is a stream of a client that can carry exchanges one after the other. An
// exchange ends with either Keep or Close.
type Stream struct {
	*yamux.Stream
	session   *session
	reused    bool
	idleSince time.Time
}

// Reused reports whether the stream has carried an exchange before.
func (s *Stream) Reused() bool { return s.reused }

// Keep ends an exchange that both sides have finished. The stream is kept for another
// one, or closed when enough streams are idle.
func (s *Stream) Keep() {
	s.Shrink()
	if !s.session.idlePool.push(s) {
		go func() { _ = s.Close() }()
	}
}

// isReusable reports whether the peer has neither closed the stream nor sent anything since
// the last exchange.
func (s *Stream) isReusable() bool {
	_ = s.SetReadDeadline(time.Unix(1, 0))
	n, err := s.Read(make([]byte, 1))
	_ = s.SetReadDeadline(time.Time{})
	return n == 0 && errors.Is(err, yamux.ErrTimeout) && !s.session.IsClosed()
}

// Take returns an idle stream to the peer, or opens one like Open.
func (c *Client) Take(ctx context.Context, address string, class Class) (*Stream, error) {
	return c.acquireStream(ctx, address, class, true)
}

// OpenFresh returns a new stream that may be kept; see Open for the errors.
func (c *Client) OpenFresh(ctx context.Context, address string, class Class) (*Stream, error) {
	return c.acquireStream(ctx, address, class, false)
}

// takeIdle returns the idle stream that was used last, or nil.
func (s *session) takeIdle() *Stream {
	for s.isUsable() {
		stream := s.idlePool.pop()
		if stream == nil {
			return nil
		}
		s.wakeWatchdog()
		if stream.isReusable() {
			stream.reused = true
			return stream
		}
		go func() { _ = stream.Close() }()
	}
	return nil
}

// idleStreamPool holds the idle streams of a session that was dialled. They are no
// outstanding work, so that they cause no pings.
type idleStreamPool struct {
	session *session

	mu          sync.Mutex
	streams     []*Stream // the one used last is at the end
	expiryTimer *time.Timer
}

func (i *idleStreamPool) push(stream *Stream) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.streams) >= maxIdleStreams || !i.session.isUsable() {
		return false
	}
	stream.idleSince = time.Now()
	i.streams = append(i.streams, stream)
	i.session.idleCount.Add(1)
	if i.expiryTimer == nil {
		i.expiryTimer = time.AfterFunc(maxStreamIdle, i.expire)
	}
	return true
}

func (i *idleStreamPool) pop() *Stream {
	i.mu.Lock()
	defer i.mu.Unlock()
	last := len(i.streams) - 1
	if last < 0 {
		return nil
	}
	stream := i.streams[last]
	i.streams[last] = nil
	i.streams = i.streams[:last]
	i.session.idleCount.Add(-1)
	return stream
}

// expire closes the streams that have been idle for too long, or all of them when the
// session takes no new work.
func (i *idleStreamPool) expire() {
	i.mu.Lock()
	count := 0
	for count < len(i.streams) && (!i.session.isUsable() || time.Since(i.streams[count].idleSince) >= maxStreamIdle) {
		count++
	}
	expired := append([]*Stream(nil), i.streams[:count]...)
	i.streams = append(i.streams[:0], i.streams[count:]...)
	clear(i.streams[len(i.streams):cap(i.streams)])
	i.session.idleCount.Add(-int64(count))
	i.expiryTimer = nil
	if len(i.streams) > 0 {
		i.expiryTimer = time.AfterFunc(maxStreamIdle-time.Since(i.streams[0].idleSince), i.expire)
	}
	i.mu.Unlock()
	i.session.wakeWatchdog()
	for _, stream := range expired {
		_ = stream.Close()
	}
}
