// Package egress sends HTTP/1.1 requests from a node to its local upstream over pooled
// connections. Unlike http.Transport it never writes a request twice.
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
	// more), so that a request is rarely sent on a connection that the server is closing.
	defaultMaxIdle = 2500 * time.Millisecond
	// keepAliveMargin is subtracted from the idle timeout that an upstream states in its
	// Keep-Alive header.
	keepAliveMargin = 1500 * time.Millisecond
	// maxIdleLimit bounds how long a connection may be idle, whatever timeout the upstream
	// states.
	maxIdleLimit = time.Minute
	// sweepInterval is the interval at which idle connections are checked.
	sweepInterval = time.Second
	// defaultMaxConnections is the connection limit of an upstream that announced none.
	defaultMaxConnections = 256
)

var (
	// ErrNotSent reports that no byte of the request was written.
	ErrNotSent = errors.New("egress: request not sent")
	// ErrUnreachable wraps ErrNotSent and reports that no connection could be opened.
	ErrUnreachable = errors.WithMessage(ErrNotSent, "upstream unreachable")
	// ErrNoResponse reports that bytes were written but no valid response head arrived.
	ErrNoResponse = errors.New("egress: no valid response head")
	// ErrReset wraps ErrNoResponse and reports that the upstream has reset the connection
	// before any byte of a response, although it was new or had been used recently.
	ErrReset = errors.WithMessage(ErrNoResponse, "connection reset by the upstream")
	// ErrIncomplete reports a response body that ended early.
	ErrIncomplete = errors.New("egress: response body ended early")
)

// Config configures a Pool.
type Config struct {
	// Address is host:port.
	Address string
	// MaxConnections is the maximum number of open connections; 0 selects
	// defaultMaxConnections.
	MaxConnections int
	// IsForOtherRequest reports whether a response belongs to another request; nil means
	// that none does. Such a response is discarded, and the next one on the connection is
	// read.
	IsForOtherRequest func(request, response http.Header) bool
	// AllowCloseDelimited accepts close-delimited responses: those with neither
	// Content-Length nor chunked encoding, which end with the connection. Such a response
	// counts as complete unless the connection is reset.
	AllowCloseDelimited bool
}

// Pool holds the connections to one process of an upstream; a restarted upstream gets a new
// pool.
type Pool struct {
	config Config
	dialer net.Dialer

	mu        sync.Mutex
	openCount int
	idle      []*conn // the most recently used connection is last
	closed    bool
	// sweeping is set while a sweep of the idle connections is scheduled.
	sweeping bool
}

// NewPool returns a pool without connections.
func NewPool(config Config) *Pool {
	if config.MaxConnections == 0 {
		config.MaxConnections = defaultMaxConnections
	}
	return &Pool{config: config, dialer: net.Dialer{Timeout: dialTimeout}}
}

// Do sends the request and returns the response once its head was read. It calls
// beforeDispatch just before the first byte is written; an error from it cancels the request.
// When ctx ends, the connection is closed. Do fails with ErrNotSent when no byte was written,
// otherwise with ErrNoResponse. The caller must close the response.
//
// With streamed, which is meant for bodies of unknown or large size, Do reads the response
// while the body is still being sent. The caller must then unblock Read of the request body
// before it calls Response.Close, which waits for the sender, and after Do has failed; until then
// the connection counts as open.
func (p *Pool) Do(ctx context.Context, request *http.Request, streamed bool, beforeDispatch func() error) (*Response, error) {
	c, err := p.acquire(ctx)
	if err != nil {
		return nil, err
	}
	x := &exchange{pool: p, conn: c, request: request, sendDone: make(chan struct{})}
	x.cancelAbort = context.AfterFunc(ctx, c.abort)
	c.beforeDispatch = beforeDispatch
	response, err := x.run(streamed)
	if err == nil {
		return response, nil
	}
	if streamed {
		// The sender may wait for the request body, whose source may have stopped sending.
		c.abort()
		go x.end(false)
	} else {
		x.end(false)
	}
	return nil, err
}

// Close closes the idle connections. Connections in use are closed when their exchange ends.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}

// acquire returns an idle connection that can be reused, or a new one.
func (p *Pool) acquire(ctx context.Context) (*conn, error) {
	for {
		c, err := p.acquireIdle()
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx)
		}
		c.idleTime = time.Since(c.idleSince)
		if c.idleTime < c.maxIdleTime && c.isReusable() {
			return c, nil
		}
		p.discard(c)
	}
}

// acquireIdle removes the most recently used idle connection from the pool and returns it.
// When there is none and a new connection may be opened, it counts the new connection
// as open and returns nil.
func (p *Pool) acquireIdle() (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last := len(p.idle) - 1; last >= 0 {
		c := p.idle[last]
		p.idle = p.idle[:last]
		return c, nil
	}
	if p.openCount >= p.config.MaxConnections {
		return nil, errors.WithMessage(ErrNotSent, "all connections to the upstream are in use")
	}
	p.openCount++
	return nil, nil
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	netConn, err := p.dialer.DialContext(ctx, "tcp", p.config.Address)
	if err != nil {
		p.mu.Lock()
		p.openCount--
		p.mu.Unlock()
		return nil, errors.WithMessage(ErrUnreachable, err.Error())
	}
	return newConn(netConn), nil
}

// release returns a connection to the pool, or closes it when the pool is closed.
func (p *Pool) release(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	keep := !p.closed
	if keep {
		p.idle = append(p.idle, c)
		p.scheduleSweepLocked()
	}
	p.mu.Unlock()
	if !keep {
		p.discard(c)
	}
}

// scheduleSweepLocked schedules a sweep unless one is scheduled already. The caller must hold
// p.mu.
func (p *Pool) scheduleSweepLocked() {
	if p.sweeping || len(p.idle) == 0 {
		return
	}
	p.sweeping = true
	time.AfterFunc(sweepInterval, p.sweep)
}

// sweep closes the idle connections that have been idle too long, were closed by the upstream
// or have received bytes that belong to no request. Without it an upstream could keep sending
// on a connection that no request needs.
func (p *Pool) sweep() {
	p.mu.Lock()
	now := time.Now()
	var unusable []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.idleSince) < c.maxIdleTime && c.isReusable() {
			kept = append(kept, c)
		} else {
			unusable = append(unusable, c)
		}
	}
	p.idle = kept
	p.sweeping = false
	p.scheduleSweepLocked()
	p.mu.Unlock()
	for _, c := range unusable {
		p.discard(c)
	}
}

// discard closes a connection and stops counting it as open.
func (p *Pool) discard(c *conn) {
	_ = c.netConn.Close()
	p.mu.Lock()
	p.openCount--
	p.mu.Unlock()
}
