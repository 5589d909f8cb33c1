package mesh

import (
	"context"
	"crypto/tls"
	"net"
	"sync"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
)

// Client opens streams to peers and keeps one connection for each peer and class.
type Client struct {
	config Config

	mu     sync.Mutex
	peers  map[peerKey]*peer
	closed bool
}

type peerKey struct {
	address string
	class   Class
}

type peer struct {
	mu      sync.Mutex
	session *yamux.Session
}

// NewClient returns a client without connections.
func NewClient(config Config) *Client {
	return &Client{config: config, peers: map[peerKey]*peer{}}
}

// Open returns a new stream to the peer, dialling when there is no connection.
// It returns ErrDial, ErrOpen or ErrClosed; no byte of the caller was sent then.
func (c *Client) Open(ctx context.Context, address string, class Class) (net.Conn, error) {
	p, err := c.peer(address, class)
	if err != nil {
		return nil, err
	}
	session, err := p.connect(ctx, c.config, address)
	if err != nil {
		return nil, err
	}
	stream, err := session.OpenStream()
	if err != nil {
		return nil, errors.WithMessagef(ErrOpen, "%s: %v", address, err)
	}
	return stream, nil
}

func (c *Client) peer(address string, class Class) (*peer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	key := peerKey{address, class}
	p, ok := c.peers[key]
	if !ok {
		p = &peer{}
		c.peers[key] = p
	}
	return p, nil
}

func (p *peer) connect(ctx context.Context, config Config, address string) (*yamux.Session, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session != nil && !p.session.IsClosed() {
		return p.session, nil
	}
	conn, err := dial(ctx, config, address)
	if err != nil {
		return nil, errors.WithMessagef(ErrDial, "%s: %v", address, err)
	}
	tracked := newActivityConn(conn)
	session, err := yamux.Client(tracked, config.yamux())
	if err != nil {
		_ = conn.Close()
		return nil, errors.WithMessagef(ErrDial, "%s: %v", address, err)
	}
	go watch(session, tracked, config)
	p.session = session
	return session, nil
}

func dial(ctx context.Context, config Config, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, config.DialTimeout)
	defer cancel()
	dialer := &net.Dialer{KeepAlive: -1}
	if config.TLS != nil {
		return (&tls.Dialer{NetDialer: dialer, Config: config.TLS}).DialContext(ctx, "tcp", address)
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// Close ends all connections; open streams fail.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	peers := c.peers
	c.peers = map[peerKey]*peer{}
	c.mu.Unlock()
	for _, p := range peers {
		p.mu.Lock()
		if p.session != nil {
			_ = p.session.Close()
		}
		p.mu.Unlock()
	}
}
