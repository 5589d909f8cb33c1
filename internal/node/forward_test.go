package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
)

// breakPause is the time between the first part of a response and its end or break-off, so
// that the parts arrive separately.
const breakPause = 20 * time.Millisecond

// breakOff sends the head and half of a short response and closes the connection.
func breakOff(w http.ResponseWriter) {
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write(make([]byte, 50))
	_ = http.NewResponseController(w).Flush()
	time.Sleep(breakPause)
	panic(http.ErrAbortHandler)
}

// pipeline sends requests with the given paths at once on one connection to the entry and
// returns their responses in order, up to the first that can't be read.
func pipeline(t *testing.T, entry *testNode, paths ...string) []testResponse {
	netConn, err := net.Dial("tcp", entry.EntryAddress())
	assert.NilError(t, err)
	defer func() { assert.NilError(t, netConn.Close()) }()
	_ = netConn.SetDeadline(time.Now().Add(endlessTimeout))
	var requests strings.Builder
	for _, path := range paths {
		fmt.Fprintf(&requests, "GET /svc/s%s HTTP/1.1\r\nHost: s\r\n\r\n", path)
	}
	_, err = io.WriteString(netConn, requests.String())
	assert.NilError(t, err)
	reader := bufio.NewReader(netConn)
	var responses []testResponse
	for range paths {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			break
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		responses = append(responses, testResponse{response, string(body), err})
		if err != nil {
			break
		}
	}
	return responses
}

// TestBrokenResponseCostsOneRequest guards against losing the pipelined requests behind a
// short response that the upstream breaks off (review/4, LOST).
func TestBrokenResponseCostsOneRequest(t *testing.T) {
	_, entry, _ := startPair(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/once/broken" {
			breakOff(w)
		}
		time.Sleep(2 * breakPause)
		_, _ = io.WriteString(w, r.URL.Path)
	})
	for range 20 { // until the limit of the cold start has grown
		assert.Equal(t, send(t, http.MethodGet, entry.url("/warm"), nil).StatusCode, http.StatusOK)
	}
	responses := pipeline(t, entry, "/once/broken", "/a", "/b", "/c")
	assert.Equal(t, len(responses), 4, "responses were lost")
	assert.Equal(t, responses[0].StatusCode, http.StatusBadGateway)
	assert.Equal(t, responses[0].outcome(), httpapi.OutcomeUnknown)
	for i, path := range []string{"/a", "/b", "/c"} {
		assert.Equal(t, responses[i+1].StatusCode, http.StatusOK)
		assert.Equal(t, responses[i+1].body, path)
	}
}

// TestBrokenResponseIsRetried guards against a repeatable request that fails although the
// caller has got nothing of the response that was broken off.
func TestBrokenResponseIsRetried(t *testing.T) {
	var attempts atomic.Int32
	handler := func(w http.ResponseWriter, _ *http.Request) {
		if attempts.Add(1) == 1 {
			breakOff(w)
		}
		_, _ = io.WriteString(w, "whole")
	}
	control, entry, _ := startPair(t, handler)
	control.startNode(t, "other", "b", "").serve(t, handler)
	entry.waitForInstances(t, 2)
	a := send(t, http.MethodGet, entry.url("/p"), nil)
	assert.NilError(t, a.err)
	assert.Equal(t, a.StatusCode, http.StatusOK)
	assert.Equal(t, a.body, "whole")
	assert.Equal(t, attempts.Load(), int32(2))
}

// TestHeadOfEventStream guards against holding the head of a stream of events, which tells
// the caller that the stream is open, until the first event.
func TestHeadOfEventStream(t *testing.T) {
	proceed := make(chan struct{})
	_, entry, _ := startPair(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream; charset=utf-8")
		_ = http.NewResponseController(w).Flush()
		<-proceed
		_, _ = io.WriteString(w, "data: 1\n\n")
	})
	response, err := http.Get(entry.url("/events"))
	close(proceed)
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, string(body), "data: 1\n\n")
}

// TestOnlyInstanceFails guards against closing the caller's connection instead of forwarding the
// response when a retry is allowed but there is no other instance to send it to.
func TestOnlyInstanceFails(t *testing.T) {
	_, entry, _ := startPair(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) })
	assert.Equal(t, send(t, http.MethodGet, entry.url("/"), nil).StatusCode, http.StatusBadGateway)
}
