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
	// maxIdle is below the idle timeouts common among HTTP servers (5 s and
	// more), so that a request rarely meets a connection that is just closing.
	maxIdle = 2500 * time.Millisecond
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

// Pool keeps the connections to one start of an upstream.
type Pool struct {
	address string
	limit   int
	dialer  net.Dialer

	mu     sync.Mutex
	open   int
	idle   []*conn // the most recently used connection is last
	closed bool
}

// NewPool returns a pool without connections. At most limit connections are open
// at once; 0 selects a default.
func NewPool(address string, limit int) *Pool {
	if limit == 0 {
		limit = defaultConnections
	}
	return &Pool{address: address, limit: limit, dialer: net.Dialer{Timeout: dialTimeout}}
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
		if time.Since(c.idleSince) < maxIdle && c.isQuiet() {
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
	if p.open >= p.limit {
		return nil, errors.WithMessage(ErrNotSent, "all connections are in use")
	}
	p.open++
	return nil, nil
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	netConn, err := p.dialer.DialContext(ctx, "tcp", p.address)
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
	count := 0
	for count < len(p.idle) && now.Sub(p.idle[count].idleSince) >= maxIdle {
		count++
	}
	if count == 0 {
		return nil
	}
	expired := append([]*conn(nil), p.idle[:count]...)
	p.idle = append(p.idle[:0], p.idle[count:]...)
	return expired
}

func (p *Pool) discard(c *conn) {
	_ = c.net.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}
