package callerhttp

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/memlimit"
)

var (
	errConnClosed      = errors.New("callerhttp: connection to the caller is closed")
	errResponseTooLong = errors.New("callerhttp: response body is longer than its Content-Length")
	errResponseEnded   = errors.New("callerhttp: write after the end of the response")
	errNoStatus        = errors.New("callerhttp: handler has set no status")
)

// writerPool holds write buffers for responses.
var writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(io.Discard, ioBufferBytes) }}

// exchange is a request and its response. It implements http.ResponseWriter and the
// methods that http.ResponseController uses.
type exchange struct {
	conn    *conn
	request *http.Request
	body    *requestBody // nil if the request has no body
	// previousDone is closed when the responses to earlier requests have been written, and
	// done when this exchange has ended.
	previousDone <-chan struct{}
	done         chan struct{}
	// rejectStatus is the status of the response to a request whose head could not be read,
	// 0 for other requests.
	rejectStatus int
	// closeAfter is set when the connection must be closed after the response.
	closeAfter bool

	header http.Header
	status int
	// bufferedBody is the part of the response body that was written before started was set.
	bufferedBody []byte
	// started is set when the response head is about to be written.
	started bool
	// ended is set when the exchange has ended and the response can no longer be written.
	ended bool
	// contentLength is the Content-Length of the response, -1 if there is none.
	contentLength int64
	chunked       bool
	writtenBytes  int64
	// hasWriteDeadline is set once the handler has set a write deadline.
	hasWriteDeadline bool
	writer           *bufio.Writer
	// hold counts the bytes held for the request.
	hold *memlimit.Hold

	// waitMu guards isWaiting, which is set while the caller waits for the response, and
	// waitEnded.
	waitMu               sync.Mutex
	isWaiting, waitEnded bool
}

func newExchange(c *conn, request *http.Request, previousDone <-chan struct{}) *exchange {
	x := &exchange{conn: c, previousDone: previousDone, done: make(chan struct{}), header: http.Header{}, contentLength: -1}
	x.hold = memlimit.NewHold(c.account)
	x.closeAfter = request.Close || !request.ProtoAtLeast(1, 1)
	request.Body = http.NoBody
	if reader := newBodyReader(request, c.reader); reader != nil {
		expectsContinue := strings.EqualFold(request.Header.Get("Expect"), "100-continue")
		x.body = newRequestBody(reader, expectsContinue, x.sendContinue)
		x.body.account = c.account
		request.Body = x.body
	}
	request.RemoteAddr = remoteAddress(c)
	x.request = request.WithContext(c.ctx)
	return x
}

func remoteAddress(c *conn) string {
	if c.netConn.RemoteAddr() == nil {
		return ""
	}
	return c.netConn.RemoteAddr().String()
}

// run runs the handler and completes the response. It aborts the connection when the handler
// panics or the response is not complete.
func (x *exchange) run() {
	defer x.end()
	defer func() {
		if value := recover(); value != nil {
			x.abort()
			if value != http.ErrAbortHandler { //nolint:errorlint // the value that net/http defines
				x.conn.server.reportPanic(value)
			}
		}
	}()
	switch x.rejectStatus {
	case 0:
		x.conn.server.handler.ServeHTTP(x, x.request)
	case http.StatusServiceUnavailable:
		x.conn.server.refuse(x, x.request)
	default:
		x.WriteHeader(x.rejectStatus)
	}
	if err := x.completeResponse(); err != nil {
		x.abort()
	}
}

// abort closes the connection at once. A response whose end only the end of the connection marks
// is reset, since it would appear complete otherwise.
func (x *exchange) abort() {
	if x.started && !x.chunked && x.contentLength < 0 && x.allowsBody() {
		x.conn.netConn.resetOnClose()
	}
	x.conn.abort()
}

// end releases the write buffer, closes the request body and lets the next response be
// written.
func (x *exchange) end() {
	x.ended = true
	if x.writer != nil {
		x.writer.Reset(io.Discard)
		writerPool.Put(x.writer)
		x.writer = nil
	}
	if x.body != nil {
		_ = x.body.Close()
	}
	x.endWaiting()
	x.bufferedBody = nil
	x.hold.Release()
	close(x.done)
	x.conn.endExchange()
}

// Header implements http.ResponseWriter.
func (x *exchange) Header() http.Header { return x.header }

// WriteHeader implements http.ResponseWriter.
func (x *exchange) WriteHeader(status int) {
	if x.status == 0 {
		x.status = status
	}
}

// Write implements http.ResponseWriter. It buffers up to maxBufferedResponseBytes; beyond
// that it waits until the responses to earlier requests have been written.
func (x *exchange) Write(p []byte) (int, error) {
	if x.ended {
		return 0, errResponseEnded
	}
	x.WriteHeader(http.StatusOK)
	if !x.allowsBody() {
		return len(p), nil
	}
	if !x.started && len(x.bufferedBody)+len(p) <= maxBufferedResponseBytes && x.hold.TryAcquire(bufferGrowth*int64(len(p))) {
		x.bufferedBody = append(x.bufferedBody, p...)
		return len(p), nil
	}
	if err := x.startResponse(); err != nil {
		return 0, err
	}
	return x.writeBody(p)
}

// FlushError sends what has been written so far. It implements the method that
// http.ResponseController uses.
func (x *exchange) FlushError() error {
	x.WriteHeader(http.StatusOK)
	if err := x.startResponse(); err != nil {
		return err
	}
	return x.writer.Flush()
}

// SetReadDeadline sets the deadline for reads of the request body by the handler.
func (x *exchange) SetReadDeadline(deadline time.Time) error {
	if x.body != nil {
		x.body.setDeadline(deadline)
	}
	return nil
}

// SetWriteDeadline sets the deadline for writes of the response. It first waits until the
// responses to earlier requests have been written.
func (x *exchange) SetWriteDeadline(deadline time.Time) error {
	if err := x.awaitPreviousResponses(); err != nil {
		return err
	}
	x.hasWriteDeadline = true
	return x.conn.netConn.SetWriteDeadline(deadline)
}

// EnableFullDuplex does nothing: the request body can always be read while the response
// is being written.
func (x *exchange) EnableFullDuplex() error { return nil }

// awaitPreviousResponses waits until the responses to earlier requests have been written.
func (x *exchange) awaitPreviousResponses() error {
	select {
	case <-x.previousDone:
	case <-x.conn.ctx.Done():
		return errConnClosed
	}
	if x.conn.ctx.Err() != nil {
		return errConnClosed
	}
	return nil
}

// sendContinue sends 100 Continue, unless the final response has already started.
func (x *exchange) sendContinue() {
	if x.awaitPreviousResponses() != nil || x.started {
		return
	}
	if _, err := io.WriteString(x.conn.netConn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		x.conn.abort()
	}
}

// allowsBody reports whether the response may have a body.
func (x *exchange) allowsBody() bool {
	return x.request.Method != http.MethodHead && x.status >= http.StatusOK &&
		x.status != http.StatusNoContent && x.status != http.StatusNotModified
}

// startResponse writes the head and the buffered part of the body.
func (x *exchange) startResponse() error {
	if x.started {
		return nil
	}
	if err := x.awaitPreviousResponses(); err != nil {
		return err
	}
	x.endWaiting()
	x.started = true
	if !x.hasWriteDeadline {
		_ = x.conn.netConn.SetWriteDeadline(time.Now().Add(writeTimeout))
	}
	x.writer = writerPool.Get().(*bufio.Writer)
	x.writer.Reset(x.conn.netConn)
	x.setFraming()
	if err := x.writeHead(); err != nil {
		return err
	}
	buffered := x.bufferedBody
	x.bufferedBody = nil
	if len(buffered) == 0 || !x.allowsBody() {
		return nil
	}
	_, err := x.writeBody(buffered)
	return err
}

// setFraming chooses how the end of the response is marked and sets the header fields for it.
func (x *exchange) setFraming() {
	x.header.Del("Transfer-Encoding")
	x.header.Del("Connection")
	if text := x.header.Get("Content-Length"); text != "" {
		length, err := strconv.ParseInt(text, 10, 64)
		if err == nil && length >= 0 {
			x.contentLength = length
		} else {
			x.header.Del("Content-Length")
		}
	}
	if x.contentLength < 0 && x.allowsBody() {
		x.chunked = x.request.ProtoAtLeast(1, 1)
		x.closeAfter = x.closeAfter || !x.chunked
	}
	if x.body != nil && !x.body.isFullyRead() && !x.isBodyDiscardable() {
		x.closeAfter = true
	}
	if x.conn.decideClose(x) {
		x.closeAfter = true
		x.header.Set("Connection", "close")
	}
	if x.chunked {
		x.header.Set("Transfer-Encoding", "chunked")
	}
}

// isBodyDiscardable reports whether the rest of the request body can be discarded to use the
// connection for the next request: the caller sends the body without 100 Continue, and its
// declared length is at most maxDiscardedBodyBytes.
func (x *exchange) isBodyDiscardable() bool {
	return !x.body.expectsContinue && x.request.ContentLength >= 0 && x.request.ContentLength <= maxDiscardedBodyBytes
}

func (x *exchange) writeHead() error {
	text := http.StatusText(x.status)
	if text == "" {
		text = "status code " + strconv.Itoa(x.status)
	}
	if _, err := x.writer.WriteString("HTTP/1.1 " + strconv.Itoa(x.status) + " " + text + "\r\n"); err != nil {
		return err
	}
	if err := x.header.WriteSubset(x.writer, x.trailerKeys()); err != nil {
		return err
	}
	_, err := x.writer.WriteString("\r\n")
	return err
}

// trailerKeys returns the keys of the header map that mark trailers by http.TrailerPrefix,
// nil if there are none.
func (x *exchange) trailerKeys() map[string]bool {
	var keys map[string]bool
	for name := range x.header {
		if strings.HasPrefix(name, http.TrailerPrefix) {
			if keys == nil {
				keys = map[string]bool{}
			}
			keys[name] = true
		}
	}
	return keys
}

func (x *exchange) writeBody(p []byte) (int, error) {
	x.writtenBytes += int64(len(p))
	if !x.chunked {
		if x.writtenBytes > x.contentLength && x.contentLength >= 0 {
			return 0, errResponseTooLong
		}
		return x.writer.Write(p)
	}
	if len(p) == 0 {
		return 0, nil
	}
	if _, err := x.writer.WriteString(strconv.FormatInt(int64(len(p)), 16) + "\r\n"); err != nil {
		return 0, err
	}
	if _, err := x.writer.Write(p); err != nil {
		return 0, err
	}
	_, err := x.writer.WriteString("\r\n")
	return len(p), err
}

// completeResponse finishes the response. It returns an error when the response is not
// complete; the connection must then be aborted, so that the caller notices. A handler that has
// set no status has no response: unlike net/http, it does not stand for 200.
func (x *exchange) completeResponse() error {
	if x.status == 0 {
		return errNoStatus
	}
	if !x.started && x.allowsBody() && x.trailerKeys() == nil && x.header.Get("Content-Length") == "" {
		x.header.Set("Content-Length", strconv.Itoa(len(x.bufferedBody)))
	}
	if err := x.startResponse(); err != nil {
		return err
	}
	if x.allowsBody() && x.contentLength >= 0 && x.writtenBytes != x.contentLength {
		return io.ErrUnexpectedEOF
	}
	if x.chunked {
		if err := x.writeTrailers(); err != nil {
			return err
		}
	}
	return x.writer.Flush()
}

func (x *exchange) writeTrailers() error {
	if _, err := x.writer.WriteString("0\r\n"); err != nil {
		return err
	}
	trailers := http.Header{}
	for name := range x.trailerKeys() {
		trailers[strings.TrimPrefix(name, http.TrailerPrefix)] = x.header[name]
	}
	if err := trailers.Write(x.writer); err != nil {
		return err
	}
	_, err := x.writer.WriteString("\r\n")
	return err
}
