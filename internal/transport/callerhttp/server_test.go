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

// patience bounds waits for what has to happen at once.
const patience = 10 * time.Second

func start(t *testing.T, limits Limits, handler http.HandlerFunc) (*Server, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := NewServer(handler, func() Limits { return limits }, func(reason any) { t.Errorf("panic: %v", reason) })
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		_ = server.Shutdown(ctx)
		assert.ErrorIs(t, <-served, ErrClosed)
	})
	return server, listener.Addr().String()
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(patience)))
	return c, bufio.NewReader(c)
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(t, err)
}

// answer is a response whose body has been read.
type answer struct {
	*http.Response
	body string
}

func receive(t *testing.T, reader *bufio.Reader) answer {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return answer{response, string(data)}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\n\r\n" }

// TestPipelinedRequestsRunTogether guards against requests of one connection running
// one after another, and against responses in another order than the requests.
func TestPipelinedRequestsRunTogether(t *testing.T) {
	const count = 5
	var arrived atomic.Int32
	all := make(chan struct{})
	_, address := start(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
		if arrived.Add(1) == count {
			close(all)
		}
		<-all
		_, _ = io.WriteString(w, r.URL.Path)
	})
	c, reader := dial(t, address)
	for i := range count {
		send(t, c, get(fmt.Sprintf("/%d", i)))
	}
	for i := range count {
		assert.Equal(t, receive(t, reader).body, fmt.Sprintf("/%d", i))
	}
}

// TestCallerLeaves guards against work that goes on for a caller that has closed its
// connection, with requests, a part of a body, or unread bytes before the close.
func TestCallerLeaves(t *testing.T) {
	cases := map[string]string{
		"request":          get("/"),
		"pipelined":        get("/") + get("/") + get("/"),
		"part of a body":   "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nabc",
		"unread body":      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100000),
		"part of a head":   get("/") + "GET / HT",
		"connection close": "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			begun, gone := make(chan struct{}, 8), make(chan struct{}, 8)
			_, address := start(t, Limits{}, func(_ http.ResponseWriter, r *http.Request) {
				begun <- struct{}{}
				<-r.Context().Done()
				gone <- struct{}{}
			})
			c, _ := dial(t, address)
			send(t, c, text)
			<-begun
			assert.NilError(t, c.Close())
			select {
			case <-gone:
			case <-time.After(patience):
				t.Fatal("the request's context did not end")
			}
		})
	}
}

// TestBodies guards against bodies that are cut, run into the next request, or keep
// the connection from its next request when the handler does not read them.
func TestBodies(t *testing.T) {
	_, address := start(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
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
		"POST /unread HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nlost"+get("/c"))
	for _, want := range []string{"POST 3", "POST 5", "early", "GET 0"} {
		assert.Equal(t, receive(t, reader).body, want)
	}
	send(t, c, "POST /e HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	response := receive(t, reader)
	assert.Equal(t, response.StatusCode, http.StatusContinue)
	send(t, c, "ok")
	assert.Equal(t, receive(t, reader).body, "POST 2")
}

// TestRefusedRequests guards against requests whose end another hop could see at
// another place, and against heads beyond the limits.
func TestRefusedRequests(t *testing.T) {
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
		{"no request", "\x16\x03\x01\r\n\r\n", 400},
		{"long head", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("y", 600) + "\r\n\r\n", 431},
		{"slow head", "GET / HTTP/1.1\r\nHost: a\r\n", 408},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			_, address := start(t, limits, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) })
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

// TestResponseFraming guards against responses whose end the caller cannot see, and
// against a shortened response that looks whole.
func TestResponseFraming(t *testing.T) {
	_, address := start(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
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
			_, _ = io.WriteString(w, strings.Repeat("x", 3*heldBytes))
		case "/none":
			w.WriteHeader(http.StatusNoContent)
		}
	})
	c, reader := dial(t, address)
	send(t, c, get("/flushed")+get("/large")+get("/none")+get("/empty")+"HEAD /large HTTP/1.1\r\nHost: a\r\n\r\n")
	response := receive(t, reader)
	assert.Equal(t, response.body, "ab")
	assert.Equal(t, response.Trailer.Get("X"), "y")
	assert.Equal(t, len(receive(t, reader).body), 3*heldBytes)
	response = receive(t, reader)
	assert.Equal(t, response.StatusCode, http.StatusNoContent)
	response = receive(t, reader)
	assert.Equal(t, response.body, "")
	assert.Equal(t, response.ContentLength, int64(0))
	headResponse, err := http.ReadResponse(reader, &http.Request{Method: http.MethodHead})
	assert.NilError(t, err)
	_ = headResponse.Body.Close()

	for _, path := range []string{"/short", "/abort"} {
		c, reader := dial(t, address)
		send(t, c, get(path))
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			continue
		}
		_, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		assert.Assert(t, err != nil, path)
	}
}

// TestStop guards against requests that are lost in a planned stop: those in progress,
// and those that were pipelined before the caller could know of it.
func TestStop(t *testing.T) {
	proceed := make(chan struct{})
	begun := make(chan struct{}, 8)
	server, address := start(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
		begun <- struct{}{}
		<-proceed
		_, _ = io.WriteString(w, r.URL.Path)
	})
	busy, busyReader := dial(t, address)
	send(t, busy, get("/1")+get("/2"))
	_, idleReader := dial(t, address)
	<-begun
	<-begun
	server.Drain()
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		stopped <- server.Shutdown(ctx)
	}()
	_, err := idleReader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	close(proceed)
	response := receive(t, busyReader)
	assert.Equal(t, response.body, "/1")
	assert.Assert(t, !response.Close)
	response = receive(t, busyReader)
	assert.Equal(t, response.body, "/2")
	assert.Assert(t, response.Close)
	_ = busy.Close()
	assert.NilError(t, <-stopped)
}

// TestIdleTimeout guards against connections without requests that stay open, and
// against a timeout that ends a request in progress.
func TestIdleTimeout(t *testing.T) {
	limits := Limits{IdleTimeout: 50 * time.Millisecond}
	_, address := start(t, limits, func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(3 * limits.IdleTimeout):
		case <-r.Context().Done():
		}
		_, _ = io.WriteString(w, "late")
	})
	c, reader := dial(t, address)
	send(t, c, get("/"))
	assert.Equal(t, receive(t, reader).body, "late")
	_, err := reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// TestEarlyAnswerToLongBody guards against a reset that loses the response to a caller
// that is still sending its body.
func TestEarlyAnswerToLongBody(t *testing.T) {
	_, address := start(t, Limits{}, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	})
	for range 20 {
		response, err := http.Post("http://"+address+"/", "text/plain", strings.NewReader(strings.Repeat("x", 9<<20)))
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, http.StatusRequestEntityTooLarge)
	}
}
