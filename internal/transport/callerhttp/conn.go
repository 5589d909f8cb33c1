package callerhttp

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/memlimit"
)

// ioBufferBytes is the size of the read buffer of a connection and of the write buffer of a
// response.
const ioBufferBytes = 4 << 10

// conn is a connection from a caller. Its goroutine reads requests; a goroutine for each
// request runs the handler and writes the response after those of earlier requests.
type conn struct {
	server  *Server
	netConn *movedConn
	reader  *bufio.Reader
	// ctx is cancelled when the caller disconnects or the connection is closed.
	ctx    context.Context
	cancel context.CancelFunc
	// pipelineSlots limits the outstanding requests to maxPipelined.
	pipelineSlots chan struct{}
	// account counts the bytes held for the caller. exchangeEnded gets a value when a request
	// has released its bytes.
	account       *memlimit.Account
	exchangeEnded chan struct{}

	mu sync.Mutex
	// outstanding is the number of requests whose exchange has not ended.
	outstanding int
	// readingRequest is set while the head or body of a request is being read.
	readingRequest bool
	// lastExchange is the exchange that was started most recently.
	lastExchange *exchange
	// closing is set when no further exchange may be started.
	closing bool
	// rejected is set once a request head could not be read; what follows it is not HTTP.
	rejected bool
	// aborted is set by abort.
	aborted bool
	// responsesDone is closed when closing is set and no request is outstanding.
	responsesDone chan struct{}
}

func newConn(server *Server, netConn net.Conn) *conn {
	c := &conn{
		server:        server,
		pipelineSlots: make(chan struct{}, maxPipelined),
		responsesDone: make(chan struct{}),
		exchangeEnded: make(chan struct{}, 1),
	}
	c.netConn = &movedConn{Conn: netConn, owner: c}
	c.reader = bufio.NewReaderSize(c.netConn, ioBufferBytes)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// serve reads requests until the caller disconnects or the connection has to be closed,
// and closes it after the last response.
func (c *conn) serve() {
	defer c.server.remove(c)
	defer c.account.Close()
	defer func() { _ = c.netConn.Close() }()
	defer c.cancel()
	c.readRequests()
	c.closeGracefully()
}

func (c *conn) readRequests() {
	previousDone := make(chan struct{})
	close(previousDone)
	for {
		if !c.awaitRequest() {
			return
		}
		x, rejectStatus := c.readExchange(previousDone)
		if rejectStatus != 0 {
			x = newExchange(c, placeholderRequest(), previousDone)
			x.rejectStatus, x.closeAfter = rejectStatus, true
			c.rejected = true
		}
		if x == nil || !c.startExchange(x) {
			return
		}
		previousDone = x.done
		go x.run()
		if !c.readBody(x) {
			return
		}
	}
}

// placeholderRequest returns the request for an exchange that rejects a request whose head
// could not be read.
func placeholderRequest() *http.Request {
	return &http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, Body: http.NoBody}
}

// awaitRequest waits for a free pipeline slot and for the first byte of a request. It
// returns false when no request will be read.
func (c *conn) awaitRequest() bool {
	select {
	case c.pipelineSlots <- struct{}{}:
	case <-c.ctx.Done():
		return false
	}
	if !c.awaitPipelineMemory() {
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
		c.handleReadError(err)
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingRequest = true
	_ = c.netConn.SetReadDeadline(time.Now().Add(c.limits().HeaderTimeout))
	return !c.closing
}

func (c *conn) limits() Limits { return c.server.limits().withDefaults() }

// setIdleDeadlineLocked sets the read deadline for the wait for the next request: the idle
// timeout from now if no request is outstanding, otherwise none.
func (c *conn) setIdleDeadlineLocked() {
	deadline := time.Time{}
	if c.outstanding == 0 {
		deadline = time.Now().Add(c.limits().IdleTimeout)
	}
	_ = c.netConn.SetReadDeadline(deadline)
}

// handleReadError stops reading requests after a read error. It cancels outstanding
// requests when the caller has closed its side or the connection has failed, but not
// after an idle timeout, when none is outstanding.
func (c *conn) handleReadError(err error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.cancel()
	}
	c.startClosing()
}

// startClosing lets outstanding requests finish and accepts no further ones.
func (c *conn) startClosing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startClosingLocked()
}

func (c *conn) startClosingLocked() {
	if c.closing {
		return
	}
	c.closing = true
	if c.outstanding == 0 {
		close(c.responsesDone)
	}
}

// startExchange counts an exchange as outstanding. It returns false when the connection is
// closing.
func (c *conn) startExchange(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.outstanding++
	c.lastExchange = x
	if x.closeAfter {
		c.closing = true
	}
	_ = c.netConn.SetReadDeadline(time.Time{})
	return true
}

// readBody reads the body of the request and returns false when no request may follow it.
func (c *conn) readBody(x *exchange) bool {
	if x.body == nil {
		x.beginWaiting()
	} else {
		if err := x.body.readFromConn(x.done); err != nil {
			if !errors.Is(err, errBodyNotRead) {
				c.handleReadError(err)
			}
			c.startClosing()
			return false
		}
		x.beginWaiting()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingRequest = false
	return !c.closing
}

// decideClose decides at the start of a response whether the connection is closed after
// it, and if so sets closing.
func (c *conn) decideClose(x *exchange) bool {
	draining := c.server.isDraining()
	c.mu.Lock()
	defer c.mu.Unlock()
	isLast := c.lastExchange == x && (!c.readingRequest || x.body != nil)
	if !x.closeAfter && (!isLast || !draining && !c.closing) {
		return false
	}
	// A request that arrives after this decision is not passed to the handler.
	c.closing = true
	return true
}

// endExchange ends an exchange whose response is complete or has failed.
func (c *conn) endExchange() {
	<-c.pipelineSlots
	select {
	case c.exchangeEnded <- struct{}{}:
	default:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outstanding--
	if c.outstanding > 0 {
		return
	}
	if c.closing {
		// A deadline in the past ends the pending read. It must be set before responsesDone
		// is closed, because closeGracefully then sets its own deadline.
		_ = c.netConn.SetReadDeadline(time.Unix(1, 0))
		close(c.responsesDone)
		return
	}
	if c.readingRequest {
		// Limits the time to read the rest of a head or body, which could otherwise keep the
		// connection open forever.
		_ = c.netConn.SetReadDeadline(time.Now().Add(c.limits().HeaderTimeout))
		return
	}
	c.setIdleDeadlineLocked()
}

// closeGracefully waits until the responses to all requests that were read have been sent,
// and cancels outstanding requests if the caller disconnects meanwhile. Then it ends the
// connection without a TCP reset, which could lose the last response.
func (c *conn) closeGracefully() {
	c.startClosing()
	c.discardUntilResponsesDone()
	<-c.responsesDone
	if c.ctx.Err() != nil || c.isAborted() {
		return
	}
	_ = c.netConn.CloseWrite()
	c.linger()
}

// discardUntilResponsesDone discards what the caller sends after its last request, up to a limit.
// It cancels outstanding requests when the caller disconnects.
func (c *conn) discardUntilResponsesDone() {
	buffer := make([]byte, 512)
	for remaining := c.maxLingerBytes(); remaining > 0; {
		select {
		case <-c.responsesDone:
			return
		case <-c.ctx.Done():
			return
		default:
		}
		size, err := c.reader.Read(buffer)
		remaining -= size
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancel()
			return
		}
		if err != nil {
			c.clearReadDeadline()
		}
	}
}

// clearReadDeadline removes a read deadline that expired while requests are outstanding.
func (c *conn) clearReadDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outstanding > 0 {
		_ = c.netConn.SetReadDeadline(time.Time{})
	}
}

// closeIfIdle closes a connection without a request in progress. Other connections are
// closed after their last response, because the server is draining.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outstanding > 0 || c.readingRequest {
		return
	}
	c.startClosingLocked()
	_ = c.netConn.SetReadDeadline(time.Unix(1, 0))
}

// abort closes the connection at once and cancels its requests.
func (c *conn) abort() {
	c.mu.Lock()
	c.aborted = true
	c.mu.Unlock()
	c.cancel()
	_ = c.netConn.Close()
}

func (c *conn) isAborted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.aborted
}
