package egress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// ioBufferBytes is the size of the read buffer and of the write buffer of a connection.
	ioBufferBytes = 4 << 10
	// maxHeadBytes bounds the total size of the heads of one response, including those of
	// informational responses.
	maxHeadBytes = 256 << 10
)

// responsePrefix begins each HTTP/1.x response.
const responsePrefix = "HTTP/1."

var (
	errHeadTooLarge = errors.New("response head exceeds the size limit")
	// errResetUnanswered reports that the upstream reset the connection before any byte of a
	// response.
	errResetUnanswered = errors.New("connection reset before a response")
	// errResetInBody reports that the upstream reset the connection before the end of a response
	// that ends with the connection.
	errResetInBody = errors.New("connection reset within a response")
	errNotHTTP     = errors.New("the upstream sent bytes that are no HTTP response")
)

// conn is one connection to the upstream.
type conn struct {
	netConn net.Conn
	rawConn syscall.RawConn
	reader  *bufio.Reader
	writer  *bufio.Writer

	// headBytesLeft bounds the bytes read while a response head is read; -1 means no limit.
	headBytesLeft int
	// head checks the bytes of a response head as they are read.
	head      headScanner
	idleSince time.Time
	// idleTime is how long the connection was idle before its current request.
	idleTime time.Duration
	// maxIdleTime is the longest idle time after which the connection may be reused.
	maxIdleTime time.Duration
	// beforeDispatch is called before the first byte of a request is written; dispatched is
	// set once beforeDispatch has succeeded.
	beforeDispatch func() error
	dispatched     atomic.Bool
	aborted        atomic.Bool

	// writeMu is held during each write. resetByPeer is set once a write has failed because the
	// upstream has reset the connection; a read then reports the end of the stream in place of
	// the reset.
	writeMu     sync.Mutex
	resetByPeer bool
}

func newConn(netConn net.Conn) *conn {
	c := &conn{netConn: netConn, headBytesLeft: -1, head: headScanner{state: headEnded}, maxIdleTime: defaultMaxIdle}
	if sc, ok := netConn.(syscall.Conn); ok {
		c.rawConn, _ = sc.SyscallConn()
	}
	c.reader = bufio.NewReaderSize((*connReader)(c), ioBufferBytes)
	c.writer = bufio.NewWriterSize((*connWriter)(c), ioBufferBytes)
	return c
}

// connReader enforces headBytesLeft and checks response heads.
type connReader conn

func (r *connReader) Read(p []byte) (int, error) {
	if r.headBytesLeft == 0 {
		return 0, errHeadTooLarge
	}
	if r.headBytesLeft > 0 && len(p) > r.headBytesLeft {
		p = p[:r.headBytesLeft]
	}
	n, err := r.netConn.Read(p)
	if r.headBytesLeft > 0 {
		r.headBytesLeft -= n
	}
	if malformed := r.head.scan(p[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}

// beginHead starts the check of a response head, whose first bytes may have been read already.
func (c *conn) beginHead() error {
	c.head = headScanner{}
	received, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	return c.head.scan(received)
}

// connWriter calls beforeDispatch and marks the request as dispatched before its first byte is
// written.
type connWriter conn

func (w *connWriter) Write(p []byte) (int, error) {
	if !w.dispatched.Load() {
		if err := w.beforeDispatch(); err != nil {
			return 0, err
		}
		w.dispatched.Store(true)
	}
	w.writeMu.Lock()
	defer w.writeMu.Unlock()
	n, err := w.netConn.Write(p)
	if errors.Is(err, syscall.ECONNRESET) {
		w.resetByPeer = true
	}
	return n, err
}

// wasReset reports whether the upstream has reset the connection while the request was being
// written. It ends a pending write: only the first call after a reset reports it, and that may
// have been the write.
func (c *conn) wasReset() bool {
	_ = c.netConn.SetWriteDeadline(time.Unix(1, 0))
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.resetByPeer
}

// awaitResponse waits for the beginning of a response. It returns errNotHTTP at the first byte
// that no response can have there, so that an upstream which sends other bytes slowly does not
// occupy the request until its deadline.
func (c *conn) awaitResponse() error {
	for i := range len(responsePrefix) {
		received, err := c.reader.Peek(i + 1)
		if err != nil {
			return err
		}
		if received[i] != responsePrefix[i] {
			return errNotHTTP
		}
	}
	return nil
}

// recentUse is the idle time up to which a connection that is reset without a response was
// not closed for being idle. Idle timeouts of servers are longer.
const recentUse = time.Second

// wasRecentlyUsed reports whether the connection was new or idle for a short time only before
// its current request.
func (c *conn) wasRecentlyUsed() bool {
	return c.idleSince.IsZero() || c.idleTime < recentUse
}

// isReset reports whether a read failed because the peer has reset the connection. A peer that
// closes it in order has usually failed at the request.
func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// abort makes all pending and later reads and writes fail.
func (c *conn) abort() {
	c.aborted.Store(true)
	_ = c.netConn.SetDeadline(time.Unix(1, 0))
}

// isReusable reports whether an idle connection is open and has no unread data. It is not
// reusable when the upstream has closed it or has sent bytes that belong to no request.
func (c *conn) isReusable() bool {
	if c.rawConn == nil || c.reader.Buffered() > 0 {
		return false
	}
	isOpenAndEmpty := false
	buffer := [1]byte{}
	err := c.rawConn.Read(func(fd uintptr) bool {
		_, err := syscall.Read(int(fd), buffer[:]) //nolint:gosec // a file descriptor fits an int
		isOpenAndEmpty = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && isOpenAndEmpty
}

// observeKeepAlive sets the maximum idle time from the timeout in seconds that the upstream
// states in its Keep-Alive header.
func (c *conn) observeKeepAlive(header http.Header) {
	for parameter := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(parameter), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil && seconds > 0 {
			c.maxIdleTime = min(maxIdleLimit, time.Duration(seconds)*time.Second-keepAliveMargin)
		}
	}
}

// reset prepares the connection for its next request.
func (c *conn) reset() {
	c.beforeDispatch = nil
	c.dispatched.Store(false)
	c.writer.Reset((*connWriter)(c))
}

// trackedBody records whether reading the request body failed, as opposed to writing it to
// the connection.
type trackedBody struct {
	io.ReadCloser
	readFailed atomic.Bool
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.readFailed.Store(true)
	}
	return n, err
}
