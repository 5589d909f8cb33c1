package callerhttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const readBufferBytes = 4 << 10

// conn is one connection of a caller. Its own goroutine reads requests; each request
// has a goroutine that runs the handler and writes the response when it is its turn.
type conn struct {
	server *Server
	raw    net.Conn
	reader *bufio.Reader
	// ctx ends when the caller is gone.
	ctx    context.Context
	cancel context.CancelFunc
	places chan struct{}

	mu sync.Mutex
	// outstanding counts the requests that are not answered yet.
	outstanding int
	// inRequest is set while a head or body is being read.
	inRequest bool
	// last is the exchange that was started last.
	last *exchange
	// closing is set when no further request may be started.
	closing bool
	aborted bool
	// answered is closed when the connection is closing and all is answered.
	answered chan struct{}
}

func newConn(server *Server, raw net.Conn) *conn {
	c := &conn{
		server:   server,
		raw:      raw,
		reader:   bufio.NewReaderSize(raw, readBufferBytes),
		places:   make(chan struct{}, maxPipelined),
		answered: make(chan struct{}),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// serve reads requests until the caller leaves or the connection is to be closed.
func (c *conn) serve() {
	defer c.server.remove(c)
	defer func() { _ = c.raw.Close() }()
	defer c.cancel()
	c.readRequests()
	c.awaitEnd()
}

func (c *conn) readRequests() {
	turn := make(chan struct{})
	close(turn)
	for {
		if !c.awaitRequest() {
			return
		}
		x, refusal := c.readExchange(turn)
		if refusal != 0 {
			x = newExchange(c, refusedRequest(), turn)
			x.refusal, x.closeAfter = refusal, true
		}
		if x == nil || !c.begin(x) {
			return
		}
		turn = x.done
		go x.run()
		if !c.readBody(x) {
			return
		}
	}
}

// refusedRequest stands for a request whose head could not be read.
func refusedRequest() *http.Request {
	return &http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, Body: http.NoBody}
}

// awaitRequest waits for the first byte of a request. It returns false when there will
// be none. With requests outstanding it also waits for a place.
func (c *conn) awaitRequest() bool {
	select {
	case c.places <- struct{}{}:
	case <-c.ctx.Done():
		return false
	}
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return false
	}
	c.setIdleDeadlineLocked()
	c.mu.Unlock()
	if _, err := c.reader.Peek(1); err != nil {
		c.leave(err)
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inRequest = true
	_ = c.raw.SetReadDeadline(time.Now().Add(c.limits().HeaderTimeout))
	return !c.closing
}

func (c *conn) limits() Limits { return c.server.limits().withDefaults() }

// setIdleDeadlineLocked bounds the wait for a request while nothing is outstanding.
func (c *conn) setIdleDeadlineLocked() {
	deadline := time.Time{}
	if c.outstanding == 0 {
		deadline = time.Now().Add(c.limits().IdleTimeout)
	}
	_ = c.raw.SetReadDeadline(deadline)
}

// leave ends the work for a caller that closed its side or broke the connection. An
// idle timeout is no reason to: nothing is outstanding then.
func (c *conn) leave(err error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.cancel()
	}
	c.stopReading()
}

// stopReading lets what is outstanding end and takes no further request.
func (c *conn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopReadingLocked()
}

func (c *conn) stopReadingLocked() {
	if c.closing {
		return
	}
	c.closing = true
	if c.outstanding == 0 {
		close(c.answered)
	}
}

// begin counts an exchange. It returns false when the connection is being closed.
func (c *conn) begin(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.outstanding++
	c.last = x
	if x.closeAfter {
		c.closing = true
	}
	_ = c.raw.SetReadDeadline(time.Time{})
	return true
}

// readBody passes the body on and returns false when no request follows.
func (c *conn) readBody(x *exchange) bool {
	if x.body != nil {
		if err := x.body.pump(x.done); err != nil {
			if !errors.Is(err, errUnread) {
				c.leave(err)
			}
			c.stopReading()
			return false
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inRequest = false
	return !c.closing
}

// announceClose decides at the begin of a response whether it is the last one.
func (c *conn) announceClose(x *exchange) bool {
	draining := c.server.isDraining()
	c.mu.Lock()
	defer c.mu.Unlock()
	isLast := c.last == x && (!c.inRequest || x.body != nil)
	if !x.closeAfter && (!isLast || !draining && !c.closing) {
		return false
	}
	// A request that arrives behind this response is not passed on.
	c.closing = true
	return true
}

// finish ends an exchange after its response was written.
func (c *conn) finish() {
	<-c.places
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outstanding--
	if c.outstanding > 0 {
		return
	}
	if c.closing {
		// This wakes the reader. It goes first, because the end of the connection sets a
		// deadline of its own.
		_ = c.raw.SetReadDeadline(time.Unix(1, 0))
		close(c.answered)
		return
	}
	if c.inRequest {
		// What is left of a head or body must not hold the connection for ever.
		_ = c.raw.SetReadDeadline(time.Now().Add(c.limits().HeaderTimeout))
		return
	}
	c.setIdleDeadlineLocked()
}

// awaitEnd waits until all requests that were read are answered, and notices meanwhile
// that the caller leaves. Then it closes the connection without a reset.
func (c *conn) awaitEnd() {
	c.stopReading()
	c.discardUntilAnswered()
	<-c.answered
	if c.ctx.Err() != nil || c.isAborted() {
		return
	}
	if half, ok := c.raw.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
		_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.Copy(io.Discard, c.raw)
	}
}

// discardUntilAnswered drops what the caller sends behind its last request.
func (c *conn) discardUntilAnswered() {
	buffer := make([]byte, 512)
	for {
		select {
		case <-c.answered:
			return
		case <-c.ctx.Done():
			return
		default:
		}
		_, err := c.reader.Read(buffer)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancel()
			return
		}
		if err != nil {
			c.clearDeadline()
		}
	}
}

// clearDeadline removes a deadline that ended a read while responses are outstanding.
func (c *conn) clearDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outstanding > 0 {
		_ = c.raw.SetReadDeadline(time.Time{})
	}
}

// closeIfIdle closes a connection without a request, or has its last response
// announce the close.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outstanding > 0 || c.inRequest {
		return
	}
	c.stopReadingLocked()
	_ = c.raw.SetReadDeadline(time.Unix(1, 0))
}

// abort breaks the connection off.
func (c *conn) abort() {
	c.mu.Lock()
	c.aborted = true
	c.mu.Unlock()
	c.cancel()
	_ = c.raw.Close()
}

func (c *conn) isAborted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.aborted
}
