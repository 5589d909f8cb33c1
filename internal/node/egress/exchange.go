package egress

import (
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// maxInformational bounds the 1xx responses before a final one.
const maxInformational = 16

// maxStrayBytes bounds a response to another request that is read past.
const maxStrayBytes = 1 << 20

// exchange is one request and its response on one connection.
type exchange struct {
	pool    *Pool
	conn    *conn
	request *http.Request
	stop    func() bool
	sent    chan struct{} // closed once the request is written or has failed
	sendErr error         // valid once sent is closed
	once    sync.Once
}

// Response is a response whose body is still on its connection.
type Response struct {
	*http.Response
	exchange *exchange
	complete bool
}

func (x *exchange) run(streamed bool) (*Response, error) {
	if streamed {
		go x.send()
	} else {
		x.send()
	}
	if !streamed && !x.conn.dispatched.Load() {
		return nil, errors.WithMessagef(ErrNotSent, "%v", x.sendErr)
	}
	// A failed write is no reason to give up: the upstream may have answered
	// early and closed its side.
	response, err := x.readHead() //nolint:bodyclose // Response.Close ends the exchange
	if err == nil {
		return &Response{Response: response, exchange: x}, nil
	}
	if streamed && x.isUnsent() {
		return nil, errors.WithMessagef(ErrNotSent, "%v", x.sendErr)
	}
	return nil, errors.WithMessagef(ErrNoResponse, "%v", err)
}

// isUnsent stops the sender and reports whether it wrote no byte.
func (x *exchange) isUnsent() bool {
	select {
	case <-x.sent:
		return !x.conn.dispatched.Load()
	default:
		return false
	}
}

func (x *exchange) send() {
	defer close(x.sent)
	body := &trackedBody{ReadCloser: http.NoBody}
	if x.request.Body != nil && x.request.Body != http.NoBody {
		body.ReadCloser = x.request.Body
		x.request.Body = body
	}
	x.sendErr = x.request.Write(x.conn.writer)
	if x.sendErr == nil {
		x.sendErr = x.conn.writer.Flush()
	}
	if x.sendErr != nil && (body.failed.Load() || !x.conn.dispatched.Load()) {
		// The request can't be completed, so no response to it is of use.
		x.conn.abort()
	}
}

func (x *exchange) readHead() (*http.Response, error) {
	x.conn.headLeft = maxHeadBytes
	defer func() { x.conn.headLeft = -1 }()
	for range maxInformational {
		response, err := http.ReadResponse(x.conn.reader, x.request)
		if err != nil {
			return nil, err
		}
		switch {
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.New("upstream switches protocols")
		case response.StatusCode < http.StatusOK:
			continue
		case isUnframed(response, x.request) && !x.pool.config.AllowsUnframed:
			return nil, errors.New("response without a length can't be checked to be whole")
		case x.isStray(response):
			if err := x.drop(response); err != nil {
				return nil, err
			}
			continue
		}
		x.conn.observeKeepAlive(response.Header)
		return response, nil
	}
	return nil, errors.New("too many informational responses")
}

func isUnframed(response *http.Response, request *http.Request) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && request.Method != http.MethodHead
}

func (x *exchange) isStray(response *http.Response) bool {
	isStray := x.pool.config.IsStray
	return isStray != nil && isStray(x.request.Header, response.Header)
}

// drop reads past a stray response.
func (x *exchange) drop(response *http.Response) error {
	if response.Close || isUnframed(response, x.request) {
		return errors.New("stray response ends the connection")
	}
	x.conn.headLeft = -1
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBytes))
	if err != nil {
		return err
	}
	if n == maxStrayBytes {
		return errors.New("stray response is too long")
	}
	x.conn.headLeft = maxHeadBytes
	return nil
}

// end returns the connection to the pool or closes it. It waits for the sender.
func (x *exchange) end(reusable bool) {
	x.once.Do(func() {
		if !x.stop() {
			reusable = false
		}
		if !reusable {
			x.conn.abort()
		}
		<-x.sent
		if x.sendErr != nil || !reusable || x.conn.aborted.Load() {
			x.pool.discard(x.conn)
			return
		}
		x.conn.reset()
		x.pool.put(x.conn)
	})
}

// Read reads the response body. It returns io.EOF only at the end of a whole
// response, ErrIncomplete when the body ended early.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.Body.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		r.complete = true
	case err != nil:
		err = errors.WithMessagef(ErrIncomplete, "%v", err)
	}
	return n, err
}

// HasMore reports whether more of the response can be read without waiting.
func (r *Response) HasMore() bool { return r.exchange.conn.reader.Buffered() > 0 }

// Close ends the exchange. The connection is kept when request and response were
// whole; otherwise it is closed, which cancels the request at the upstream.
func (r *Response) Close() {
	r.exchange.end(r.complete && !r.Response.Close && r.IsSent())
}

// IsSent reports whether the whole request was written or sending it has failed.
func (r *Response) IsSent() bool {
	select {
	case <-r.exchange.sent:
		return true
	default:
		return false
	}
}
