package egress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	bufferBytes = 4 << 10
	// maxHeadBytes bounds the heads of one response, informational ones included.
	maxHeadBytes = 256 << 10
)

var errHeadTooLarge = errors.New("response head is too large")

// conn is one connection to the upstream.
type conn struct {
	net    net.Conn
	raw    syscall.RawConn
	reader *bufio.Reader
	writer *bufio.Writer

	// headLeft bounds the bytes read while a response head is awaited; -1 is no bound.
	headLeft  int
	idleSince time.Time
	// maxIdle is how long the connection may be idle and still be used.
	maxIdle time.Duration
	// dispatch runs before the first byte of a request.
	dispatch   func() error
	dispatched atomic.Bool
	aborted    atomic.Bool
}

func newConn(netConn net.Conn) *conn {
	c := &conn{net: netConn, headLeft: -1, maxIdle: defaultMaxIdle}
	if sc, ok := netConn.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn()
	}
	c.reader = bufio.NewReaderSize((*connReader)(c), bufferBytes)
	c.writer = bufio.NewWriterSize((*connWriter)(c), bufferBytes)
	return c
}

// connReader enforces the bound on response heads.
type connReader conn

func (r *connReader) Read(p []byte) (int, error) {
	if r.headLeft == 0 {
		return 0, errHeadTooLarge
	}
	if r.headLeft > 0 && len(p) > r.headLeft {
		p = p[:r.headLeft]
	}
	n, err := r.net.Read(p)
	if r.headLeft > 0 {
		r.headLeft -= n
	}
	return n, err
}

// connWriter marks the request as dispatched before its first byte is written.
type connWriter conn

func (w *connWriter) Write(p []byte) (int, error) {
	if !w.dispatched.Load() {
		if err := w.dispatch(); err != nil {
			return 0, err
		}
		w.dispatched.Store(true)
	}
	return w.net.Write(p)
}

// abort makes pending and later reads and writes fail.
func (c *conn) abort() {
	c.aborted.Store(true)
	_ = c.net.SetDeadline(time.Unix(1, 0))
}

// isQuiet reports whether an idle connection is open and has nothing to read.
// An upstream that has closed it, or has sent bytes that no request asked for,
// makes it unusable.
func (c *conn) isQuiet() bool {
	if c.raw == nil || c.reader.Buffered() > 0 {
		return false
	}
	quiet := false
	buffer := [1]byte{}
	err := c.raw.Read(func(fd uintptr) bool {
		_, err := syscall.Read(int(fd), buffer[:]) //nolint:gosec // a file descriptor fits an int
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// observeKeepAlive takes the idle timeout in seconds that the upstream states.
func (c *conn) observeKeepAlive(header http.Header) {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil && seconds > 0 {
			c.maxIdle = min(longestMaxIdle, time.Duration(seconds)*time.Second-keepAliveMargin)
		}
	}
}

// reset prepares the connection for its next request.
func (c *conn) reset() {
	c.dispatch = nil
	c.dispatched.Store(false)
	c.writer.Reset((*connWriter)(c))
}

// trackedBody records whether reading the request body failed, as opposed to writing it.
type trackedBody struct {
	io.ReadCloser
	failed atomic.Bool
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.failed.Store(true)
	}
	return n, err
}
