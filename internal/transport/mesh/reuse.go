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
	session *session
	reused  bool
	keptAt  time.Time
}

// Reused reports whether the stream has carried an exchange before.
func (s *Stream) Reused() bool { return s.reused }

// Keep ends an exchange that both sides have finished. The stream is kept for another
// one, or closed when enough streams are idle.
func (s *Stream) Keep() {
	s.Shrink()
	if !s.session.idleStreams.put(s) {
		go func() { _ = s.Close() }()
	}
}

// isOpen reports whether the peer has neither closed the stream nor sent anything since
// the last exchange.
func (s *Stream) isOpen() bool {
	_ = s.SetReadDeadline(time.Unix(1, 0))
	n, err := s.Read(make([]byte, 1))
	_ = s.SetReadDeadline(time.Time{})
	return n == 0 && errors.Is(err, yamux.ErrTimeout) && !s.session.IsClosed()
}

// Take returns an idle stream to the peer, or opens one like Open.
func (c *Client) Take(ctx context.Context, address string, class Class) (*Stream, error) {
	return c.stream(ctx, address, class, true)
}

// OpenFresh returns a new stream that may be kept; see Open for the errors.
func (c *Client) OpenFresh(ctx context.Context, address string, class Class) (*Stream, error) {
	return c.stream(ctx, address, class, false)
}

// take returns the idle stream that was used last, or nil.
func (s *session) take() *Stream {
	for s.isUsable() {
		stream := s.idleStreams.pop()
		if stream == nil {
			return nil
		}
		s.wakeWatchdog()
		if stream.isOpen() {
			stream.reused = true
			return stream
		}
		go func() { _ = stream.Close() }()
	}
	return nil
}

// idleStreams holds the idle streams of a session that was dialled. They are no
// outstanding work, so that they cause no pings.
type idleStreams struct {
	session *session

	mu      sync.Mutex
	streams []*Stream // the one used last is at the end
	timer   *time.Timer
}

func (i *idleStreams) put(stream *Stream) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.streams) >= maxIdleStreams || !i.session.isUsable() {
		return false
	}
	stream.keptAt = time.Now()
	i.streams = append(i.streams, stream)
	i.session.idle.Add(1)
	if i.timer == nil {
		i.timer = time.AfterFunc(maxStreamIdle, i.expire)
	}
	return true
}

func (i *idleStreams) pop() *Stream {
	i.mu.Lock()
	defer i.mu.Unlock()
	last := len(i.streams) - 1
	if last < 0 {
		return nil
	}
	stream := i.streams[last]
	i.streams[last] = nil
	i.streams = i.streams[:last]
	i.session.idle.Add(-1)
	return stream
}

// expire closes the streams that have been idle for too long, or all of them when the
// session takes no new work.
func (i *idleStreams) expire() {
	i.mu.Lock()
	count := 0
	for count < len(i.streams) && (!i.session.isUsable() || time.Since(i.streams[count].keptAt) >= maxStreamIdle) {
		count++
	}
	expired := append([]*Stream(nil), i.streams[:count]...)
	i.streams = append(i.streams[:0], i.streams[count:]...)
	clear(i.streams[len(i.streams):cap(i.streams)])
	i.session.idle.Add(-int64(count))
	i.timer = nil
	if len(i.streams) > 0 {
		i.timer = time.AfterFunc(maxStreamIdle-time.Since(i.streams[0].keptAt), i.expire)
	}
	i.mu.Unlock()
	i.session.wakeWatchdog()
	for _, stream := range expired {
		_ = stream.Close()
	}
}
