package callerhttp

import (
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/memlimit"
)

const (
	// maxPipelinedBytes limits the bytes held for the outstanding requests of a connection.
	// Further requests are not read until some of these have ended.
	maxPipelinedBytes = 1 << 20
	// memoryWait bounds the wait of a request for memory before it is refused.
	memoryWait = 500 * time.Millisecond
	// memoryRetryDelay is the interval of attempts to get memory.
	memoryRetryDelay = 10 * time.Millisecond
	// uncountedHeadBytes is the part of a head that memlimit.ConnectionBytes contains.
	uncountedHeadBytes = 4 << 10
	// bodyBufferBytes is the buffer with which a body is read.
	bodyBufferBytes = 16 << 10
	// maxKeptBufferBytes is the largest empty buffer that a body keeps.
	maxKeptBufferBytes = 64 << 10
	// bufferGrowth is how many bytes a growing buffer holds for each byte in it.
	bufferGrowth = 2
	// maxSocketBytes and minSocketBytes limit the buffers of the kernel for a connection,
	// whose bytes are held by the VM. All connections together get about socketBytes.
	maxSocketBytes = 64 << 10
	minSocketBytes = 8 << 10
	socketBytes    = 32 << 20
)

// errNoMemory reports that a request can't be held.
var errNoMemory = errors.New("callerhttp: no memory for the request")

// LimitMemory makes the server count what it holds in the ledger, which may also be used by others,
// and close connections as the ledger decides. refuse responds to a request that was not passed
// to the handler for lack of memory. LimitMemory must be called before Serve.
func (s *Server) LimitMemory(ledger *memlimit.Ledger, refuse http.HandlerFunc) {
	s.ledger, s.refuse = ledger, refuse
}

// openAccount opens the account of a connection. It returns false when the connection must be
// closed.
func (c *conn) openAccount() bool {
	address := remoteAddress(c)
	if host, _, err := net.SplitHostPort(address); err == nil {
		address = host
	}
	account, err := c.server.ledger.Open(time.Now(), address, memlimit.ConnectionBytes, c.abort)
	if err != nil {
		return false
	}
	c.account = account
	c.ctx = memlimit.WithAccount(c.ctx, account)
	return true
}

// limitSocket limits the buffers of the kernel for one of several connections.
func limitSocket(netConn net.Conn, connections int) {
	socket, ok := netConn.(interface {
		SetReadBuffer(bytes int) error
		SetWriteBuffer(bytes int) error
	})
	if !ok {
		return
	}
	size := min(maxSocketBytes, max(minSocketBytes, socketBytes/4/max(connections, 1)))
	_ = socket.SetReadBuffer(size)
	_ = socket.SetWriteBuffer(size)
}

// movedConn reports the progress of the caller to its account.
type movedConn struct {
	net.Conn
	owner *conn
}

func (m *movedConn) Read(p []byte) (int, error) {
	n, err := m.Conn.Read(p)
	m.owner.account.Moved(time.Now(), n)
	return n, err
}

func (m *movedConn) Write(p []byte) (int, error) {
	n, err := m.Conn.Write(p)
	m.owner.account.Moved(time.Now(), n)
	return n, err
}

// CloseWrite closes the sending side, so that a response is not lost to a reset.
func (m *movedConn) CloseWrite() error {
	halfCloser, ok := m.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return halfCloser.CloseWrite()
}

// resetOnClose makes Close reset the connection, so that the caller notices an error.
func (m *movedConn) resetOnClose() {
	if tcpConn, ok := m.Conn.(*net.TCPConn); ok {
		_ = tcpConn.SetLinger(0)
	}
}

// awaitPipelineMemory waits while the outstanding requests hold more than maxPipelinedBytes. It
// returns false when the connection is closed.
func (c *conn) awaitPipelineMemory() bool {
	for c.account.Held() > maxPipelinedBytes && c.hasOutstanding() {
		select {
		case <-c.exchangeEnded:
		case <-c.ctx.Done():
			return false
		}
	}
	return true
}

func (c *conn) hasOutstanding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outstanding > 0
}

// acquire counts bytes for a request and waits for memory for memoryWait.
func (c *conn) acquire(hold *memlimit.Hold, bytes int64) error {
	for started := time.Now(); ; {
		now := time.Now()
		err := hold.Acquire(now, bytes)
		if err == nil {
			return nil
		}
		if now.Sub(started) >= memoryWait {
			return errors.WithMessage(errNoMemory, err.Error())
		}
		select {
		case <-c.ctx.Done():
			return c.ctx.Err()
		case <-time.After(memoryRetryDelay):
		}
	}
}

// beginWaiting records that the caller waits for the response, endWaiting that the response is
// being written.
func (x *exchange) beginWaiting() {
	x.waitMu.Lock()
	defer x.waitMu.Unlock()
	if !x.isWaiting && !x.waitEnded {
		x.isWaiting = true
		x.conn.account.BeginWait()
	}
}

func (x *exchange) endWaiting() {
	x.waitMu.Lock()
	defer x.waitMu.Unlock()
	if x.isWaiting {
		x.conn.account.EndWait(time.Now())
	}
	x.isWaiting, x.waitEnded = false, true
}
