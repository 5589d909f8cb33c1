// Package egress sends HTTP/1.1 requests to the upstream beside the node over
// connections of its own. Unlike http.Transport it never writes a request twice.
package egress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	dialTimeout = time.Second
	// defaultMaxIdle is below the idle timeouts common among HTTP servers (5 s and
	// more), so that a request rarely meets a connection that is just closing.
	defaultMaxIdle = 2500 * time.Millisecond
	// keepAliveMargin is left of the idle timeout that an upstream states.
	keepAliveMargin = 1500 * time.Millisecond
	// longestMaxIdle bounds how long a connection is kept, whatever the upstream states.
	longestMaxIdle = time.Minute
	// defaultConnections bounds connections when the upstream announced no number.
	defaultConnections = 256
)

var (
	// ErrNotSent reports that no byte of the request was written.
	ErrNotSent = errors.New("egress: request not sent")
	// ErrUnreachable is the case of ErrNotSent in which no connection could be opened.
	ErrUnreachable = errors.WithMessage(ErrNotSent, "upstream unreachable")
	// ErrNoResponse reports that bytes were written and no valid response head arrived.
	ErrNoResponse = errors.New("egress: no response")
	// ErrIncomplete reports a response body that ended early.
	ErrIncomplete = errors.New("egress: incomplete response")
)

// Config describes an upstream.
type Config struct {
	// Address is host:port.
	Address string
	// Limit is the largest number of open connections; 0 selects a default.
	Limit int
	// IsStray reports whether a response belongs to another request; nil means that
	// none does. A stray response is dropped and the next one awaited.
	IsStray func(request, response http.Header) bool
	// AllowsUnframed accepts a response without a length that ends with its connection.
	// It counts as whole unless the connection is reset.
	AllowsUnframed bool
}

// Pool keeps the connections to one start of an upstream.
type Pool struct {
	config Config
	dialer net.Dialer

	mu     sync.Mutex
	open   int
	idle   []*conn // the most recently used connection is last
	closed bool
}

// NewPool returns a pool without connections.
func NewPool(config Config) *Pool {
	if config.Limit == 0 {
		config.Limit = defaultConnections
	}
	return &Pool{config: config, dialer: net.Dialer{Timeout: dialTimeout}}
}

// Do sends the request and returns the head of its response. The callback
// dispatch runs just before the first byte is written; its error stops the
// request. When ctx ends, the connection is closed. Do returns ErrNotSent when no
// byte was written, otherwise ErrNoResponse. The caller closes the response.
//
// A body of unknown or large size is sent while the response is awaited. The
// caller must unblock Read of such a body before it waits in Response.Close.
func (p *Pool) Do(ctx context.Context, request *http.Request, streamed bool, dispatch func() error) (*Response, error) {
	c, err := p.take(ctx)
	if err != nil {
		return nil, err
	}
	x := &exchange{pool: p, conn: c, request: request, sent: make(chan struct{})}
	x.stop = context.AfterFunc(ctx, c.abort)
	c.dispatch = dispatch
	response, err := x.run(streamed)
	if err != nil {
		x.end(false)
		return nil, err
	}
	return response, nil
}

// Close closes idle connections; connections in use are closed after their exchange.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}

// take returns an idle connection that is still open, or a new one.
func (p *Pool) take(ctx context.Context) (*conn, error) {
	for {
		c, err := p.takeIdle()
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx)
		}
		if time.Since(c.idleSince) < c.maxIdle && c.isQuiet() {
			return c, nil
		}
		p.discard(c)
	}
}

// takeIdle returns nil when a new connection may be opened.
func (p *Pool) takeIdle() (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last := len(p.idle) - 1; last >= 0 {
		c := p.idle[last]
		p.idle = p.idle[:last]
		return c, nil
	}
	if p.open >= p.config.Limit {
		return nil, errors.WithMessage(ErrNotSent, "all connections are in use")
	}
	p.open++
	return nil, nil
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	netConn, err := p.dialer.DialContext(ctx, "tcp", p.config.Address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, errors.WithMessage(ErrUnreachable, err.Error())
	}
	return newConn(netConn), nil
}

// put keeps a connection for the next request and closes those that have been idle too long.
func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	expired := p.expiredLocked(c.idleSince)
	keep := !p.closed
	if keep {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		p.discard(c)
	}
	for _, old := range expired {
		p.discard(old)
	}
}

func (p *Pool) expiredLocked(now time.Time) []*conn {
	var expired []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.idleSince) >= c.maxIdle {
			expired = append(expired, c)
		} else {
			kept = append(kept, c)
		}
	}
	p.idle = kept
	return expired
}

func (p *Pool) discard(c *conn) {
	_ = c.net.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}
