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
)

var (
	errGone     = errors.New("callerhttp: caller is gone")
	errTooLong  = errors.New("callerhttp: response is longer than its Content-Length")
	errHijacked = errors.New("callerhttp: response is over")
)

// writers holds buffers for responses.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(io.Discard, readBufferBytes) }}

// exchange is a request and its response. It implements http.ResponseWriter and the
// methods that http.ResponseController uses.
type exchange struct {
	conn    *conn
	request *http.Request
	body    *body // nil without a body
	// turn is closed when the responses before this one have been written, done when
	// this one has.
	turn <-chan struct{}
	done chan struct{}
	// refusal is the status for a request that could not be read, 0 for others.
	refusal int
	// closeAfter is set when the caller wants the connection closed.
	closeAfter bool

	header http.Header
	status int
	held   []byte
	begun  bool
	over   bool
	// length is the declared length of the response body, -1 when it is not known.
	length  int64
	chunked bool
	written int64
	// bounded is set when the handler has set a write deadline.
	bounded bool
	writer  *bufio.Writer
}

func newExchange(c *conn, request *http.Request, turn <-chan struct{}) *exchange {
	x := &exchange{conn: c, turn: turn, done: make(chan struct{}), header: http.Header{}, length: -1}
	x.closeAfter = request.Close || !request.ProtoAtLeast(1, 1)
	request.Body = http.NoBody
	if source := bodySource(request, c.reader); source != nil {
		expects := strings.EqualFold(request.Header.Get("Expect"), "100-continue")
		x.body = newBody(source, expects, x.proceed)
		request.Body = x.body
	}
	request.RemoteAddr = remoteAddress(c)
	x.request = request.WithContext(c.ctx)
	return x
}

func remoteAddress(c *conn) string {
	if c.raw.RemoteAddr() == nil {
		return ""
	}
	return c.raw.RemoteAddr().String()
}

// run calls the handler and completes the response.
func (x *exchange) run() {
	defer x.end()
	defer func() {
		if reason := recover(); reason != nil {
			x.conn.abort()
			if reason != http.ErrAbortHandler { //nolint:errorlint // the value that net/http defines
				x.conn.server.report(reason)
			}
		}
	}()
	if x.refusal != 0 {
		x.WriteHeader(x.refusal)
	} else {
		x.conn.server.handler.ServeHTTP(x, x.request)
	}
	if err := x.complete(); err != nil {
		x.conn.abort()
	}
}

func (x *exchange) end() {
	x.over = true
	if x.writer != nil {
		x.writer.Reset(io.Discard)
		writers.Put(x.writer)
		x.writer = nil
	}
	if x.body != nil {
		_ = x.body.Close()
	}
	close(x.done)
	x.conn.finish()
}

// Header implements http.ResponseWriter.
func (x *exchange) Header() http.Header { return x.header }

// WriteHeader implements http.ResponseWriter.
func (x *exchange) WriteHeader(status int) {
	if x.status == 0 {
		x.status = status
	}
}

// Write implements http.ResponseWriter. It waits for the turn of the response when
// more than heldBytes are to be held.
func (x *exchange) Write(p []byte) (int, error) {
	if x.over {
		return 0, errHijacked
	}
	x.WriteHeader(http.StatusOK)
	if !x.hasBody() {
		return len(p), nil
	}
	if !x.begun && len(x.held)+len(p) <= heldBytes {
		x.held = append(x.held, p...)
		return len(p), nil
	}
	if err := x.begin(); err != nil {
		return 0, err
	}
	return x.writeBody(p)
}

// FlushError sends what was written so far.
func (x *exchange) FlushError() error {
	x.WriteHeader(http.StatusOK)
	if err := x.begin(); err != nil {
		return err
	}
	return x.writer.Flush()
}

// SetReadDeadline bounds the handler's reads of the request body.
func (x *exchange) SetReadDeadline(deadline time.Time) error {
	if x.body != nil {
		x.body.setDeadline(deadline)
	}
	return nil
}

// SetWriteDeadline bounds writes of the response. It takes effect when it is the
// response's turn.
func (x *exchange) SetWriteDeadline(deadline time.Time) error {
	if err := x.await(); err != nil {
		return err
	}
	x.bounded = true
	return x.conn.raw.SetWriteDeadline(deadline)
}

// EnableFullDuplex is always in force: the body is read while the response is written.
func (x *exchange) EnableFullDuplex() error { return nil }

// await waits for the turn of the response.
func (x *exchange) await() error {
	select {
	case <-x.turn:
	case <-x.conn.ctx.Done():
		return errGone
	}
	if x.conn.ctx.Err() != nil {
		return errGone
	}
	return nil
}

// proceed tells a caller that expects it to send the body.
func (x *exchange) proceed() {
	if x.await() != nil || x.begun {
		return
	}
	if _, err := io.WriteString(x.conn.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		x.conn.abort()
	}
}

func (x *exchange) hasBody() bool {
	return x.request.Method != http.MethodHead && x.status >= http.StatusOK &&
		x.status != http.StatusNoContent && x.status != http.StatusNotModified
}

// begin writes the head and what is held of the body.
func (x *exchange) begin() error {
	if x.begun {
		return nil
	}
	if err := x.await(); err != nil {
		return err
	}
	x.begun = true
	if !x.bounded {
		_ = x.conn.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	}
	x.writer = writers.Get().(*bufio.Writer)
	x.writer.Reset(x.conn.raw)
	x.frame()
	if err := x.writeHead(); err != nil {
		return err
	}
	held := x.held
	x.held = nil
	if len(held) == 0 || !x.hasBody() {
		return nil
	}
	_, err := x.writeBody(held)
	return err
}

// frame decides how the end of the response is marked.
func (x *exchange) frame() {
	x.header.Del("Transfer-Encoding")
	x.header.Del("Connection")
	if text := x.header.Get("Content-Length"); text != "" {
		length, err := strconv.ParseInt(text, 10, 64)
		if err == nil && length >= 0 {
			x.length = length
		} else {
			x.header.Del("Content-Length")
		}
	}
	if x.length < 0 && x.hasBody() {
		x.chunked = x.request.ProtoAtLeast(1, 1)
		x.closeAfter = x.closeAfter || !x.chunked
	}
	if x.body != nil && !x.body.isWhole() && !x.isDrainable() {
		x.closeAfter = true
	}
	if x.conn.announceClose(x) {
		x.closeAfter = true
		x.header.Set("Connection", "close")
	}
	if x.chunked {
		x.header.Set("Transfer-Encoding", "chunked")
	}
}

// isDrainable reports whether the rest of the body is short enough to be dropped.
func (x *exchange) isDrainable() bool {
	return !x.body.expects && x.request.ContentLength >= 0 && x.request.ContentLength <= maxDrainBytes
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

// trailerKeys returns the header fields that are trailers.
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
	x.written += int64(len(p))
	if !x.chunked {
		if x.written > x.length && x.length >= 0 {
			return 0, errTooLong
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

// complete ends the response. It returns an error when the caller must not take the
// response for whole.
func (x *exchange) complete() error {
	x.WriteHeader(http.StatusOK)
	if !x.begun && x.hasBody() && x.trailerKeys() == nil && x.header.Get("Content-Length") == "" {
		x.header.Set("Content-Length", strconv.Itoa(len(x.held)))
	}
	if err := x.begin(); err != nil {
		return err
	}
	if x.hasBody() && x.length >= 0 && x.written != x.length {
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
