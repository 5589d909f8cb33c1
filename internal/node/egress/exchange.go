package egress

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// maxResponseHeads bounds the response heads read for one request, including those of
// informational (1xx) responses and of responses to other requests.
const maxResponseHeads = 16

// maxSkippedBodyBytes bounds the body of a response to another request, which is read and
// discarded to reach the next response on the connection.
const maxSkippedBodyBytes = 1 << 20

const (
	// maxDiscardedBytes and discardTimeout bound the body that is read only to keep its
	// connection. A new connection costs less than reading more.
	maxDiscardedBytes = 64 << 10
	discardTimeout    = 50 * time.Millisecond
)

// exchange is one request and its response on one connection.
type exchange struct {
	pool        *Pool
	conn        *conn
	request     *http.Request
	cancelAbort func() bool   // cancels the abort at the end of the context; false if the abort has begun
	sendDone    chan struct{} // closed once the request is written or has failed
	sendErr     error         // valid once sendDone is closed
	endOnce     sync.Once
}

// Response is a response whose body is read from its connection on demand.
type Response struct {
	*http.Response
	exchange *exchange
	complete bool
}

// run sends the request and reads the response head. With streamed it does both at the same
// time.
func (x *exchange) run(streamed bool) (*Response, error) {
	if streamed {
		go x.send()
	} else {
		x.send()
	}
	if !streamed && !x.conn.dispatched.Load() {
		return nil, errors.WithMessagef(ErrNotSent, "%v", x.sendErr)
	}
	// The response is read even if the request was not fully written: the upstream may
	// have responded early and closed its side.
	response, err := x.readHead() //nolint:bodyclose // Response.Close ends the exchange
	if err == nil {
		return &Response{Response: response, exchange: x}, nil
	}
	if streamed && x.endedUndispatched() {
		return nil, errors.WithMessagef(ErrNotSent, "%v", x.sendErr)
	}
	if errors.Is(err, errResetUnanswered) && x.conn.wasRecentlyUsed() {
		return nil, errors.WithMessagef(ErrReset, "%v", err)
	}
	return nil, errors.WithMessagef(ErrNoResponse, "%v", err)
}

// endedUndispatched reports whether sending has ended before any byte was written. It is
// false while the request is still being sent.
func (x *exchange) endedUndispatched() bool {
	select {
	case <-x.sendDone:
		return !x.conn.dispatched.Load()
	default:
		return false
	}
}

// send writes the request to the connection and closes sendDone.
func (x *exchange) send() {
	defer close(x.sendDone)
	body := &trackedBody{ReadCloser: http.NoBody}
	if x.request.Body != nil && x.request.Body != http.NoBody {
		body.ReadCloser = x.request.Body
		x.request.Body = body
	}
	x.sendErr = x.request.Write(x.conn.writer)
	if x.sendErr == nil {
		x.sendErr = x.conn.writer.Flush()
	}
	if x.sendErr != nil && (body.readFailed.Load() || !x.conn.dispatched.Load()) {
		// The request cannot be completed, so no response to it is useful.
		x.conn.abort()
	}
}

// readHead reads response heads up to that of the final response to the request. It skips
// informational responses and responses to other requests.
func (x *exchange) readHead() (*http.Response, error) {
	x.conn.headBytesLeft = maxHeadBytes
	defer func() { x.conn.headBytesLeft = -1 }()
	for i := range maxResponseHeads {
		if err := x.conn.beginHead(); err != nil {
			return nil, err
		}
		err := x.conn.awaitResponse()
		if err != nil && i == 0 && x.conn.reader.Buffered() == 0 && x.isReset(err) {
			return nil, errors.WithMessagef(errResetUnanswered, "%v", err)
		}
		if err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(x.conn.reader, x.request)
		if err != nil {
			return nil, err
		}
		switch {
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.New("upstream sent 101 Switching Protocols, which is not supported")
		case response.StatusCode < http.StatusOK:
			continue
		case isCloseDelimited(response, x.request) && !x.pool.config.AllowCloseDelimited:
			return nil, errors.New("response has neither a length nor chunked encoding, so it cannot be checked for truncation")
		case x.isForOtherRequest(response):
			if err := x.skipResponse(response); err != nil {
				return nil, err
			}
			continue
		}
		x.conn.observeKeepAlive(response.Header)
		return response, nil
	}
	return nil, errors.New("too many informational responses or responses to other requests before the final response")
}

// isCloseDelimited reports whether the end of the response body is marked only by the end of
// the connection.
func isCloseDelimited(response *http.Response, request *http.Request) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && request.Method != http.MethodHead
}

// isReset reports whether a read failed because the upstream has reset the connection.
func (x *exchange) isReset(err error) bool {
	return isReset(err) || errors.Is(err, io.EOF) && x.conn.wasReset()
}

func (x *exchange) isForOtherRequest(response *http.Response) bool {
	isForOtherRequest := x.pool.config.IsForOtherRequest
	return isForOtherRequest != nil && isForOtherRequest(x.request.Header, response.Header)
}

// skipResponse reads and discards the body of a response to another request.
func (x *exchange) skipResponse(response *http.Response) error {
	if response.Close || isCloseDelimited(response, x.request) {
		return errors.New("cannot skip a response to another request: it ends the connection")
	}
	x.conn.headBytesLeft = -1
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBodyBytes))
	if err != nil {
		return err
	}
	if n == maxSkippedBodyBytes {
		return errors.New("cannot skip a response to another request: its body is too large")
	}
	x.conn.headBytesLeft = maxHeadBytes
	return nil
}

// end waits until sending has ended. Then it returns the connection to the pool if it is
// reusable, and closes it otherwise.
func (x *exchange) end(reusable bool) {
	x.endOnce.Do(func() {
		if !x.cancelAbort() {
			reusable = false
		}
		if !reusable {
			x.conn.abort()
		}
		<-x.sendDone
		if x.sendErr != nil || !reusable || x.conn.aborted.Load() {
			x.pool.discard(x.conn)
			return
		}
		x.conn.reset()
		x.pool.release(x.conn)
	})
}

// Read reads the response body. It returns io.EOF only at the end of a complete response,
// and ErrIncomplete when the body ended early.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.Body.Read(p)
	if errors.Is(err, io.EOF) {
		err = r.checkEnd()
	}
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		r.complete = true
	default:
		err = errors.WithMessagef(ErrIncomplete, "%v", err)
	}
	return n, err
}

// checkEnd returns io.EOF for the end of a complete response, and otherwise why it is none.
func (r *Response) checkEnd() error {
	if err := checkTrailer(r.Trailer); err != nil {
		return err
	}
	if isCloseDelimited(r.Response, r.exchange.request) && r.exchange.conn.wasReset() {
		return errResetInBody
	}
	return io.EOF
}

// HasBuffered reports whether buffered data of the response can be read without blocking.
func (r *Response) HasBuffered() bool { return r.exchange.conn.reader.Buffered() > 0 }

// Close ends the exchange. The connection is kept when request and response were complete;
// otherwise it is closed, which cancels the request at the upstream.
func (r *Response) Close() {
	r.exchange.end(r.complete && !r.Response.Close && r.IsSendDone())
}

// Discard reads the rest of a short body that arrives soon, so that Close keeps the connection.
func (r *Response) Discard() {
	timer := time.AfterFunc(discardTimeout, r.exchange.conn.abort)
	_, _ = io.Copy(io.Discard, io.LimitReader(r, maxDiscardedBytes))
	if !timer.Stop() {
		r.complete = false
	}
}

// IsSendDone reports whether sending has ended: the request was written in full or sending
// it has failed.
func (r *Response) IsSendDone() bool {
	select {
	case <-r.exchange.sendDone:
		return true
	default:
		return false
	}
}
