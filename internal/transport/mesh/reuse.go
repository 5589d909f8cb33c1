package mesh

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
)

const (
	// maxIdleStreams bounds the idle streams of one connection. Each occupies some
	// kilobytes of memory on both sides.
	maxIdleStreams = 8
	// maxStreamIdle is the time after which an idle stream is closed.
	maxStreamIdle = 3 * time.Second
)

// Stream is a stream of a client that can carry several exchanges, one at a time. The
// caller ends each exchange with either Release or Close.
type Stream struct {
	*yamux.Stream
	session   *session
	reused    bool
	idleSince time.Time
	// toleratesSilence is set while the exchange tolerates a silent peer.
	toleratesSilence atomic.Bool
}

// pastDeadline makes pending and later operations of a stream fail.
var pastDeadline = time.Unix(1, 0)

// TolerateSilence keeps the stream open until its exchange ends if the peer is silent for
// SilenceTimeout, up to DeadTimeout. It is for exchanges that can't be repeated, whose
// response a peer that was only stalled may still send.
func (s *Stream) TolerateSilence() { s.toleratesSilence.Store(true) }

// Close ends the stream.
func (s *Stream) Close() error {
	s.session.removeStream(s)
	return s.Stream.Close()
}

// Reused reports whether the stream has carried an exchange before.
func (s *Stream) Reused() bool { return s.reused }

// Release ends an exchange that both sides have finished. The stream becomes idle and can
// be reused, or it is closed when maxIdleStreams are idle or the session takes no new
// streams.
func (s *Stream) Release() {
	s.toleratesSilence.Store(false)
	s.Shrink()
	if !s.session.idlePool.push(s) {
		go func() { _ = s.Close() }()
	}
}

// isReusable reports whether the peer has neither closed the stream nor sent anything since
// the last exchange.
func (s *Stream) isReusable() bool {
	_ = s.SetReadDeadline(pastDeadline) // Read does not block
	n, err := s.Read(make([]byte, 1))
	_ = s.SetReadDeadline(time.Time{})
	return n == 0 && errors.Is(err, yamux.ErrTimeout) && !s.session.IsClosed()
}

// OpenOrReuse returns an idle stream to the peer, or opens a new one; see Open for the
// errors.
func (c *Client) OpenOrReuse(ctx context.Context, address string, class Class) (*Stream, error) {
	return c.acquireStream(ctx, address, class, true)
}

// OpenNew always opens a new stream, which can be released for reuse; see Open for the
// errors.
func (c *Client) OpenNew(ctx context.Context, address string, class Class) (*Stream, error) {
	return c.acquireStream(ctx, address, class, false)
}

// takeIdle returns the most recently used idle stream that is reusable, or nil.
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

// idleStreamPool holds the idle streams of a dialled session. They do not count as
// active, so they cause no pings.
type idleStreamPool struct {
	session *session

	mu          sync.Mutex
	streams     []*Stream // the most recently used one is at the end
	expiryTimer *time.Timer
}

func (p *idleStreamPool) push(stream *Stream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.streams) >= maxIdleStreams || !p.session.isUsable() {
		return false
	}
	stream.idleSince = time.Now()
	p.streams = append(p.streams, stream)
	p.session.idleCount.Add(1)
	if p.expiryTimer == nil {
		p.expiryTimer = time.AfterFunc(maxStreamIdle, p.expire)
	}
	return true
}

func (p *idleStreamPool) pop() *Stream {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.streams) - 1
	if last < 0 {
		return nil
	}
	stream := p.streams[last]
	p.streams[last] = nil
	p.streams = p.streams[:last]
	p.session.idleCount.Add(-1)
	return stream
}

// expire closes the streams that have been idle for maxStreamIdle, or all idle streams
// when the session takes no new streams.
func (p *idleStreamPool) expire() {
	p.mu.Lock()
	expiredCount := 0
	for expiredCount < len(p.streams) && (!p.session.isUsable() || time.Since(p.streams[expiredCount].idleSince) >= maxStreamIdle) {
		expiredCount++
	}
	expired := append([]*Stream(nil), p.streams[:expiredCount]...)
	p.streams = append(p.streams[:0], p.streams[expiredCount:]...)
	clear(p.streams[len(p.streams):cap(p.streams)])
	p.session.idleCount.Add(-int64(expiredCount))
	p.expiryTimer = nil
	if len(p.streams) > 0 {
		p.expiryTimer = time.AfterFunc(maxStreamIdle-time.Since(p.streams[0].idleSince), p.expire)
	}
	p.mu.Unlock()
	p.session.wakeWatchdog()
	for _, stream := range expired {
		_ = stream.Close()
	}
}
