package egress

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// scriptedUpstream is an upstream that reads the n-th request and writes the n-th response.
// An empty or missing response closes the connection instead, and "reset" resets it. A response that contains
// "early" is written before the request body is read. After one that contains "cut" the
// connection is closed.
type scriptedUpstream struct {
	listener        net.Listener
	requests        atomic.Int32
	responses       []string
	connectionEnded chan struct{} // receives a value for each connection that ended
}

func newScriptedUpstream(t *testing.T, responses ...string) *scriptedUpstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &scriptedUpstream{listener: listener, responses: responses, connectionEnded: make(chan struct{}, 64)}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *scriptedUpstream) serve(c net.Conn) {
	defer func() { s.connectionEnded <- struct{}{} }()
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		response := ""
		if n := int(s.requests.Add(1)); n <= len(s.responses) {
			response = s.responses[n-1]
		}
		if !strings.Contains(response, "early") {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		if response == "reset" {
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
		if _, err := io.WriteString(c, response); err != nil || response == "" || strings.Contains(response, "cut") {
			return
		}
	}
}

func (s *scriptedUpstream) pool() *Pool {
	return NewPool(Config{Address: s.listener.Addr().String(), MaxConnections: 4})
}

func newRequest(t *testing.T, method, body string) *http.Request {
	request, err := http.NewRequest(method, "http://upstream/path", strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Idempotency-Key", "k")
	return request
}

func allowDispatch() error { return nil }

// roundTrip sends one request and returns the response and its body.
func roundTrip(t *testing.T, p *Pool, method string) (*Response, string, error) {
	t.Helper()
	response, err := p.Do(context.Background(), newRequest(t, method, ""), false, allowDispatch)
	if err != nil {
		return nil, "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return response, string(body), err
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// TestRequestIsWrittenOnce guards against a request that is sent again without notice after a
// failure on a reused connection: http.Transport resends GET and any request with an
// Idempotency-Key.
func TestRequestIsWrittenOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		s := newScriptedUpstream(t, okResponse, "", okResponse)
		p := s.pool()
		_, _, err := roundTrip(t, p, method)
		assert.NilError(t, err)
		_, _, err = roundTrip(t, p, method)
		assert.ErrorIs(t, err, ErrNoResponse)
		assert.Equal(t, s.requests.Load(), int32(2), method)
	}
}

// TestDiscardKeepsConnection guards against a new connection after each response whose body
// is of no use, such as one by which the upstream sheds load.
func TestDiscardKeepsConnection(t *testing.T) {
	shed := "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nbusy"
	s := newScriptedUpstream(t, shed, shed, okResponse)
	p := s.pool()
	for range 2 {
		response, err := p.Do(context.Background(), newRequest(t, http.MethodPost, "b"), false, allowDispatch)
		assert.NilError(t, err)
		response.Discard()
		response.Close()
	}
	_, _, err := roundTrip(t, p, http.MethodPost)
	assert.NilError(t, err)
	assert.Equal(t, len(s.connectionEnded), 0)
}

// TestReset guards against not telling an upstream that resets connections, because it is
// full, from one that fails a request in another way or closes an idle connection.
func TestReset(t *testing.T) {
	s := newScriptedUpstream(t, "reset", "no HTTP", "", okResponse, "reset")
	p := s.pool()
	for _, isReset := range []bool{true, false, false} {
		_, _, err := roundTrip(t, p, http.MethodPost)
		assert.ErrorIs(t, err, ErrNoResponse)
		assert.Equal(t, errors.Is(err, ErrReset), isReset, "%v", err)
	}
	_, _, err := roundTrip(t, p, http.MethodPost)
	assert.NilError(t, err)
	p.idle[0].idleSince = p.idle[0].idleSince.Add(-recentUse)
	_, _, err = roundTrip(t, p, http.MethodPost)
	assert.Assert(t, errors.Is(err, ErrNoResponse) && !errors.Is(err, ErrReset), "%v", err)
}

// TestClosedIdleConnection guards against an error or an unknown outcome for a request
// because the upstream had already closed an idle connection.
func TestClosedIdleConnection(t *testing.T) {
	s := newScriptedUpstream(t, okResponse+"cut", okResponse)
	s.responses[0] = "HTTP/1.1 200 OK\r\nX: cut\r\nContent-Length: 2\r\n\r\nok"
	p := s.pool()
	_, _, err := roundTrip(t, p, http.MethodPost)
	assert.NilError(t, err)
	<-s.connectionEnded
	_, body, err := roundTrip(t, p, http.MethodPost)
	assert.NilError(t, err)
	assert.Equal(t, body, "ok")
}

// TestRequestNotSent guards against reporting a request as dispatched, or writing a part of
// it, when the dispatch callback fails, the upstream refuses connections, or all connections
// are in use.
func TestRequestNotSent(t *testing.T) {
	s := newScriptedUpstream(t, okResponse)
	p := NewPool(Config{Address: s.listener.Addr().String(), MaxConnections: 1})
	errLate := errors.New("late")
	_, err := p.Do(context.Background(), newRequest(t, http.MethodPost, "body"), false, func() error { return errLate })
	assert.ErrorIs(t, err, ErrNotSent)
	<-s.connectionEnded
	assert.Equal(t, s.requests.Load(), int32(0))

	response, err := p.Do(context.Background(), newRequest(t, http.MethodPost, "body"), false, allowDispatch)
	assert.NilError(t, err)
	_, _, err = roundTrip(t, p, http.MethodPost)
	assert.ErrorIs(t, err, ErrNotSent)
	response.Close()

	_ = s.listener.Close()
	_, _, err = roundTrip(t, p, http.MethodPost)
	assert.ErrorIs(t, err, ErrNotSent)
}

// TestResponseFraming guards against truncated responses that are accepted as complete, and
// against wrong framing of responses without a body.
func TestResponseFraming(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n"
	cases := []struct {
		name, method, rawResponse, body string
		err                             error
		isPooled                        bool
	}{
		{name: "length", method: "GET", rawResponse: okResponse, body: "ok", isPooled: true},
		{name: "truncated body", method: "GET", rawResponse: head + "Content-Length: 9\r\n\r\ncut", err: ErrIncomplete},
		{name: "chunked", method: "GET", rawResponse: head + "Transfer-Encoding: chunked\r\nTrailer: A\r\n\r\n2\r\nok\r\n0\r\nA: b\r\n\r\n", body: "ok", isPooled: true},
		{name: "truncated chunked body", method: "GET", rawResponse: head + "Transfer-Encoding: chunked\r\n\r\n3\r\ncut\r\n", err: ErrIncomplete},
		{name: "close delimited", method: "GET", rawResponse: head + "\r\ncut", err: ErrNoResponse},
		{name: "no response", method: "GET", rawResponse: "", err: ErrNoResponse},
		{name: "truncated head", method: "GET", rawResponse: head + "X: cut", err: ErrNoResponse},
		{name: "oversized head", method: "GET", rawResponse: head + strings.Repeat("X: "+strings.Repeat("y", 1000)+"\r\n", 400) + "cut", err: ErrNoResponse},
		{name: "HEAD", method: "HEAD", rawResponse: head + "Content-Length: 9\r\n\r\n", isPooled: true},
		{name: "HEAD without length", method: "HEAD", rawResponse: head + "\r\n", isPooled: true},
		{name: "204", method: "GET", rawResponse: "HTTP/1.1 204 No Content\r\n\r\n", isPooled: true},
		{name: "304", method: "GET", rawResponse: "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", isPooled: true},
		{name: "100 and 103", method: "POST", rawResponse: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + okResponse, body: "ok", isPooled: true},
		{name: "101", method: "GET", rawResponse: "HTTP/1.1 101 Switching Protocols\r\n\r\n", err: ErrNoResponse},
		{name: "connection close", method: "GET", rawResponse: head + "Connection: close\r\nContent-Length: 2\r\n\r\nok", body: "ok"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newScriptedUpstream(t, c.rawResponse).pool()
			response, body, err := roundTrip(t, p, c.method)
			assert.ErrorIs(t, err, c.err)
			assert.Equal(t, len(p.idle) == 1, c.isPooled)
			if c.err == nil {
				assert.Equal(t, body, c.body)
				assert.Equal(t, response.Trailer.Get("A") == "b", c.name == "chunked")
			}
		})
	}
}

// endlessBody is a request body that has no end until stopped is closed; then Read fails.
type endlessBody struct{ stopped chan struct{} }

func (e *endlessBody) Read(p []byte) (int, error) {
	select {
	case <-e.stopped:
		return 0, io.ErrUnexpectedEOF
	default:
		return len(p), nil
	}
}
func (e *endlessBody) Close() error { return nil }

// TestStreamedBody guards against a deadlock when the response arrives before the request
// body was sent, against reuse of that connection, and against a truncated upload that is
// accepted as complete.
func TestStreamedBody(t *testing.T) {
	s := newScriptedUpstream(t, "HTTP/1.1 413 early\r\nContent-Length: 2\r\n\r\nok")
	p := s.pool()
	request := newRequest(t, http.MethodPost, "")
	body := &endlessBody{stopped: make(chan struct{})}
	request.Body, request.ContentLength = body, -1
	response, err := p.Do(context.Background(), request, true, allowDispatch)
	assert.NilError(t, err)
	data, err := io.ReadAll(response)
	assert.NilError(t, err)
	assert.Equal(t, string(data), "ok")
	response.Close()
	assert.Equal(t, len(p.idle), 0)

	s = newScriptedUpstream(t, okResponse)
	request = newRequest(t, http.MethodPost, "")
	request.Body = io.NopCloser(io.MultiReader(bytes.NewReader(make([]byte, 1<<20)), &endlessBody{stopped: closedChannel()}))
	request.ContentLength = 2 << 20
	_, err = s.pool().Do(context.Background(), request, true, allowDispatch)
	assert.ErrorIs(t, err, ErrNoResponse)
}

func closedChannel() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}
