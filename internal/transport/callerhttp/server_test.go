package callerhttp

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// eventTimeout limits the wait for events that are expected immediately.
const eventTimeout = 10 * time.Second

// startServer runs a server on a loopback port until the test ends and returns it with its
// address.
func startServer(t *testing.T, limits Limits, handler http.HandlerFunc) (*Server, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := NewServer(handler, func() Limits { return limits }, func(value any) { t.Errorf("handler panicked: %v", value) })
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
		defer cancel()
		_ = server.Shutdown(ctx)
		assert.ErrorIs(t, <-serveErr, ErrClosed)
	})
	return server, listener.Addr().String()
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(eventTimeout)))
	return c, bufio.NewReader(c)
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(t, err)
}

// receivedResponse is a response whose body has been read.
type receivedResponse struct {
	*http.Response
	body string
}

func receive(t *testing.T, reader *bufio.Reader) receivedResponse {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return receivedResponse{response, string(data)}
}

func getRequest(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\n\r\n" }

// TestPipelinedRequestsRunConcurrently guards against running the pipelined requests of a
// connection one after another, and against responses in a different order than the requests.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	const count = 5
	var started atomic.Int32
	allStarted := make(chan struct{})
	_, address := startServer(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
		if started.Add(1) == count {
			close(allStarted)
		}
		<-allStarted
		_, _ = io.WriteString(w, r.URL.Path)
	})
	c, reader := dial(t, address)
	for i := range count {
		send(t, c, getRequest(fmt.Sprintf("/%d", i)))
	}
	for i := range count {
		assert.Equal(t, receive(t, reader).body, fmt.Sprintf("/%d", i))
	}
}

// TestCallerDisconnectCancelsRequest guards against continuing to run requests of a caller
// that has closed its connection, after complete requests, part of a body, an unread body,
// or part of another head.
func TestCallerDisconnectCancelsRequest(t *testing.T) {
	cases := map[string]string{
		"request":          getRequest("/"),
		"pipelined":        getRequest("/") + getRequest("/") + getRequest("/"),
		"part of a body":   "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nabc",
		"unread body":      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100000),
		"part of a head":   getRequest("/") + "GET / HT",
		"connection close": "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			started, cancelled := make(chan struct{}, 8), make(chan struct{}, 8)
			_, address := startServer(t, Limits{}, func(_ http.ResponseWriter, r *http.Request) {
				started <- struct{}{}
				<-r.Context().Done()
				cancelled <- struct{}{}
			})
			c, _ := dial(t, address)
			send(t, c, text)
			<-started
			assert.NilError(t, c.Close())
			select {
			case <-cancelled:
			case <-time.After(eventTimeout):
				t.Fatal("request context was not cancelled after the caller closed its connection")
			}
		})
	}
}

// TestRequestBodies guards against truncated bodies, bodies that extend into the next
// request, and bodies that the handler does not read and that then block the next request
// on the connection.
func TestRequestBodies(t *testing.T) {
	_, address := startServer(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/unread" {
			_, _ = io.WriteString(w, "early")
			return
		}
		data, err := io.ReadAll(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
		}
		_, _ = fmt.Fprintf(w, "%s %d", r.Method, len(data))
	})
	c, reader := dial(t, address)
	send(t, c, "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"+
		"POST /b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3\r\ncde\r\n0\r\nX: y\r\n\r\n"+
		"POST /unread HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nlost"+getRequest("/c"))
	for _, want := range []string{"POST 3", "POST 5", "early", "GET 0"} {
		assert.Equal(t, receive(t, reader).body, want)
	}
	send(t, c, "POST /e HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	response := receive(t, reader)
	assert.Equal(t, response.StatusCode, http.StatusContinue)
	send(t, c, "ok")
	assert.Equal(t, receive(t, reader).body, "POST 2")
}

// TestRejectedRequests guards against accepting requests whose end another hop could see at
// a different position, and heads that exceed the limits.
func TestRejectedRequests(t *testing.T) {
	limits := Limits{MaxHeaderBytes: 500, HeaderTimeout: 50 * time.Millisecond}
	cases := []struct {
		name, text string
		status     int
	}{
		{"two lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400},
		{"length and chunks", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		{"unknown coding", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400},
		{"two codings", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n", 400},
		{"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400},
		{"space in name", "GET / HTTP/1.1\r\nHost: a\r\nX : y\r\n\r\n", 400},
		{"absolute target", "GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		{"TLS handshake", "\x16\x03\x01\r\n\r\n", 400},
		{"long head", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("y", 600) + "\r\n\r\n", 431},
		{"slow head", "GET / HTTP/1.1\r\nHost: a\r\n", 408},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			_, address := startServer(t, limits, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) })
			c, reader := dial(t, address)
			send(t, c, test.text)
			response := receive(t, reader)
			assert.Equal(t, response.StatusCode, test.status)
			assert.Assert(t, response.Close)
			_, err := reader.ReadByte()
			assert.ErrorIs(t, err, io.EOF)
		})
	}
}

// TestResponseFraming guards against responses whose end the caller cannot determine, and
// against a truncated response that looks complete.
func TestResponseFraming(t *testing.T) {
	_, address := startServer(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/short":
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "cut")
		case "/abort":
			_, _ = io.WriteString(w, "cut")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		case "/flushed":
			_, _ = io.WriteString(w, "a")
			_ = http.NewResponseController(w).Flush()
			_, _ = io.WriteString(w, "b")
			w.Header().Set(http.TrailerPrefix+"X", "y")
		case "/large":
			_, _ = io.WriteString(w, strings.Repeat("x", 3*maxBufferedResponseBytes))
		case "/none":
			w.WriteHeader(http.StatusNoContent)
		case "/empty":
			w.WriteHeader(http.StatusOK)
		}
	})
	c, reader := dial(t, address)
	send(t, c, getRequest("/flushed")+getRequest("/large")+getRequest("/none")+getRequest("/empty")+"HEAD /large HTTP/1.1\r\nHost: a\r\n\r\n")
	response := receive(t, reader)
	assert.Equal(t, response.body, "ab")
	assert.Equal(t, response.Trailer.Get("X"), "y")
	assert.Equal(t, len(receive(t, reader).body), 3*maxBufferedResponseBytes)
	response = receive(t, reader)
	assert.Equal(t, response.StatusCode, http.StatusNoContent)
	response = receive(t, reader)
	assert.Equal(t, response.body, "")
	assert.Equal(t, response.ContentLength, int64(0))
	headResponse, err := http.ReadResponse(reader, &http.Request{Method: http.MethodHead})
	assert.NilError(t, err)
	_ = headResponse.Body.Close()

	for _, path := range []string{"/short", "/abort", "/no-status"} {
		c, reader := dial(t, address)
		send(t, c, getRequest(path))
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			continue
		}
		_, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		assert.Assert(t, err != nil, path)
	}
}

// TestGracefulShutdown guards against losing requests in a graceful shutdown: those in
// progress, and those that were pipelined before the caller could know of the shutdown.
func TestGracefulShutdown(t *testing.T) {
	finishHandlers := make(chan struct{})
	started := make(chan struct{}, 8)
	server, address := startServer(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-finishHandlers
		_, _ = io.WriteString(w, r.URL.Path)
	})
	busy, busyReader := dial(t, address)
	send(t, busy, getRequest("/1")+getRequest("/2"))
	_, idleReader := dial(t, address)
	<-started
	<-started
	server.Drain()
	shutdownErr := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
		defer cancel()
		shutdownErr <- server.Shutdown(ctx)
	}()
	_, err := idleReader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	close(finishHandlers)
	response := receive(t, busyReader)
	assert.Equal(t, response.body, "/1")
	assert.Assert(t, !response.Close)
	response = receive(t, busyReader)
	assert.Equal(t, response.body, "/2")
	assert.Assert(t, response.Close)
	_ = busy.Close()
	assert.NilError(t, <-shutdownErr)
}

// TestIdleTimeout guards against idle connections that stay open, and against an idle timeout
// that ends a request in progress.
func TestIdleTimeout(t *testing.T) {
	limits := Limits{IdleTimeout: 50 * time.Millisecond}
	_, address := startServer(t, limits, func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(3 * limits.IdleTimeout):
		case <-r.Context().Done():
		}
		_, _ = io.WriteString(w, "late")
	})
	c, reader := dial(t, address)
	send(t, c, getRequest("/"))
	assert.Equal(t, receive(t, reader).body, "late")
	_, err := reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// TestEarlyResponseToLongBody guards against a TCP reset that loses the response to a caller
// that is still sending its request body.
func TestEarlyResponseToLongBody(t *testing.T) {
	_, address := startServer(t, Limits{}, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	})
	for range 20 {
		response, err := http.Post("http://"+address+"/", "text/plain", strings.NewReader(strings.Repeat("x", 9<<20)))
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, http.StatusRequestEntityTooLarge)
	}
}
