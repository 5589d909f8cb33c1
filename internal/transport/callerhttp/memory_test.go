package callerhttp

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/coordination/memlimit"
)

// startLimited runs a server that counts in a ledger with the limits.
func startLimited(t *testing.T, limits memlimit.Limits, handler http.HandlerFunc) (*memlimit.Ledger, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	ledger := memlimit.NewLedger(limits)
	server := NewServer(handler, func() Limits { return Limits{} }, func(any) {})
	server.LimitMemory(ledger, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "no memory")
	})
	go func() { _ = server.Serve(listener) }()
	return ledger, listener.Addr().String()
}

func awaitZero(t *testing.T, ledger *memlimit.Ledger) {
	t.Helper()
	for range 200 {
		if ledger.Counts().Held == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%d bytes are still counted", ledger.Counts().Held)
}

// TestMemoryRefused guards against a request that is passed to the handler without memory for
// it, and against bytes that stay counted after the connection has ended.
func TestMemoryRefused(t *testing.T) {
	handled := false
	limits := memlimit.Limits{Total: 64 << 10, Small: 1, StallAfter: time.Minute, MinVictim: 1}
	ledger, address := startLimited(t, limits, func(http.ResponseWriter, *http.Request) { handled = true })
	c, reader := dial(t, address)
	send(t, c, "GET / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("b:\r\n", 200)+"\r\n")
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, string(body), "no memory")
	assert.Assert(t, !handled)
	assert.NilError(t, c.Close())
	awaitZero(t, ledger)
}

// TestPipelinedMemory guards against reading pipelined requests without a limit of the bytes that
// they hold.
func TestPipelinedMemory(t *testing.T) {
	release := make(chan struct{})
	ledger, address := startLimited(t, memlimit.Limits{}, func(http.ResponseWriter, *http.Request) { <-release })
	c, _ := dial(t, address)
	request := "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("b:\r\n", 1000) + "\r\n"
	go func() { _, _ = io.WriteString(c, strings.Repeat(request, 32)) }()
	time.Sleep(300 * time.Millisecond)
	assert.Assert(t, ledger.Counts().Held > maxPipelinedBytes)
	assert.Assert(t, ledger.Counts().Held < 2*maxPipelinedBytes)
	close(release)
	time.Sleep(100 * time.Millisecond)
	assert.NilError(t, c.Close())
	awaitZero(t, ledger)
}
