package mesh

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// maxOpenAttempts bounds the connections on which one call tries to open a stream,
// because a connection may close between its selection and the opening of the stream.
const maxOpenAttempts = 2

// Client opens streams to peers and keeps one connection for each peer and class.
type Client struct {
	config       Config
	closedSilent atomic.Uint64

	mu     sync.Mutex
	peers  map[peerKey]*peer
	closed bool
}

type peerKey struct {
	address string
	class   Class
}

// peer holds the connection to one address for one class.
type peer struct {
	client *Client
	key    peerKey

	mu          sync.Mutex
	session     *session
	pendingDial *pendingDial
	closed      bool
}

// pendingDial is a dial in progress. All calls that need the connection wait for it.
type pendingDial struct {
	done    chan struct{}
	session *session
	err     error
}

// NewClient returns a client without connections.
func NewClient(config Config) *Client {
	return &Client{config: config, peers: map[peerKey]*peer{}}
}

// ClosedSilent returns the number of connections that were closed because they were
// silent.
func (c *Client) ClosedSilent() uint64 { return c.closedSilent.Load() }

// Open returns a new stream to the peer, dialling when there is no connection.
// Its errors are ErrDial, ErrOpen and ErrClosed; none of the caller's bytes were sent
// then. An ErrDial error also wraps a *PermissionError when the class or the
// configuration requires a control member and the server's certificate lacks that role.
// The caller must send first on the stream, because the peer learns of the stream only
// with its first bytes.
func (c *Client) Open(ctx context.Context, address string, class Class) (net.Conn, error) {
	stream, err := c.acquireStream(ctx, address, class, false)
	if err != nil {
		return nil, err
	}
	return stream, nil
}

func (c *Client) acquireStream(ctx context.Context, address string, class Class, reuse bool) (*Stream, error) {
	p, err := c.peerFor(peerKey{address, class})
	if err != nil {
		return nil, err
	}
	for range maxOpenAttempts {
		var s *session
		if s, err = p.connect(ctx); err != nil {
			return nil, err
		}
		if reuse {
			if stream := s.takeIdle(); stream != nil {
				return stream, nil
			}
		}
		var stream *Stream
		if stream, err = s.open(); err == nil {
			return stream, nil
		}
		s.retire()
	}
	return nil, errors.WithMessagef(ErrOpen, "%s: %v", address, err)
}

func (c *Client) peerFor(key peerKey) (*peer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	p, ok := c.peers[key]
	if !ok {
		p = &peer{client: c, key: key}
		c.peers[key] = p
	}
	return p, nil
}

// connect returns a usable connection, dialling when there is none. The lock is not
// held while dialling.
func (p *peer) connect(ctx context.Context) (*session, error) {
	p.mu.Lock()
	if p.session != nil && p.session.isUsable() {
		defer p.mu.Unlock()
		return p.session, nil
	}
	d := p.pendingDial
	if d == nil {
		d = &pendingDial{done: make(chan struct{})}
		p.pendingDial = d
		go p.dial(d)
	}
	p.mu.Unlock()
	select {
	case <-d.done:
		return d.session, d.err
	case <-ctx.Done():
		return nil, errors.WithMessagef(ErrDial, "%s: %v", p.key.address, ctx.Err())
	}
}

// dial opens the connection and completes d. Its context does not derive from those of
// the waiting requests, because the end of one request must not fail the others.
func (p *peer) dial(d *pendingDial) {
	ctx, cancel := context.WithTimeout(context.Background(), p.client.config.DialTimeout)
	defer cancel()
	s, err := dialSession(ctx, p.client.config, p.key)
	if err != nil {
		err = p.dialError(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && p.closed {
		s.close()
		s, err = nil, ErrClosed
	}
	if err == nil {
		p.session = s
		go p.watch(s)
	}
	p.pendingDial = nil
	d.session, d.err = s, err
	close(d.done)
}

func (p *peer) dialError(err error) error {
	var permissionErr *PermissionError
	if !errors.As(err, &permissionErr) {
		return errors.WithMessagef(ErrDial, "%s: %v", p.key.address, err)
	}
	if report := p.client.config.OnServerRefused; report != nil {
		report(permissionErr)
	}
	return fmt.Errorf("%w: %s: %w", ErrDial, p.key.address, permissionErr)
}

func (p *peer) watch(s *session) {
	s.watch(p.client.config.dialledLimits(p.key.class), p.client.config.IdleTimeout, &silentPeer{p, s})
}

// silentPeer handles the silence of a dialled session.
type silentPeer struct {
	peer    *peer
	session *session
}

func (h *silentPeer) onSilent() { h.peer.client.closedSilent.Add(1) }

// checkPeer dials the peer until the session has ended or has received something. A peer that
// completes the handshake of a new connection, and sends nothing on the old one, is not
// stalled: the old connection has failed.
func (h *silentPeer) checkPeer(silentSince time.Time) {
	config := h.peer.client.config
	for !h.session.activity.hasReadAfter(silentSince) {
		ctx, cancel := context.WithTimeout(context.Background(), config.DialTimeout)
		_, err := h.peer.connect(ctx)
		cancel()
		if errors.Is(err, ErrClosed) {
			return
		}
		select {
		case <-h.session.CloseChan():
			return
		case <-time.After(config.PingAfter):
		}
		if err == nil && !h.session.activity.hasReadAfter(silentSince) {
			h.session.close()
			return
		}
	}
}

func dialSession(ctx context.Context, config Config, key peerKey) (*session, error) {
	raw, err := dialTCP(ctx, key.address)
	if err != nil {
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	s, err := newSession(raw, config, deadline, clientSide, nil)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	if err := checkServerRole(config, key.class, s.remote); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// Close closes all connections; open streams fail.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	peers := c.peers
	c.peers = map[peerKey]*peer{}
	c.mu.Unlock()
	for _, p := range peers {
		p.mu.Lock()
		p.closed = true
		if p.session != nil {
			p.session.close()
		}
		p.mu.Unlock()
	}
}

// acceptHandshakeDeadline returns the time by which the handshake of a connection that
// is accepted now must be complete.
func acceptHandshakeDeadline(config Config) time.Time { return time.Now().Add(config.DialTimeout) }
