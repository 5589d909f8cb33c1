package httplisten

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/coordination/memlimit"
)

// TestGuard guards against connections that take all places with heads that never end, and
// against heads that stay counted after their requests have ended.
func TestGuard(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ledger := memlimit.NewLedger(memlimit.Limits{Connections: 2, StallAfter: 50 * time.Millisecond, MinVictim: 1})
	server := NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		assert.Check(t, memlimit.FromContext(r.Context()).Held() > memlimit.ConnectionBytes)
	}))
	guarded := Guard(server, listener, ledger)
	go func() { _ = server.Serve(guarded) }()
	for range 2 {
		c, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = c.Close() }()
		_, _ = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a")
	}
	time.Sleep(100 * time.Millisecond)
	response, err := http.Get("http://" + listener.Addr().String())
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, ledger.Counts().Closed, uint64(1))
	assert.NilError(t, server.Close())
	http.DefaultClient.CloseIdleConnections()
	for range 200 {
		if ledger.Counts().Held == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%d bytes are still counted", ledger.Counts().Held)
}

// TestCountBody guards against bodies that are read without memory for them, and that stay
// counted after their requests.
func TestCountBody(t *testing.T) {
	ledger := memlimit.NewLedger(memlimit.Limits{Total: 100 << 10, StallAfter: time.Minute})
	account, err := ledger.Open(time.Now(), "a", 0, func() {})
	assert.NilError(t, err)
	for _, size := range []int{10 << 10, 50 << 10} {
		r, err := http.NewRequestWithContext(memlimit.WithAccount(t.Context(), account), http.MethodPost, "/", strings.NewReader(strings.Repeat("x", size)))
		assert.NilError(t, err)
		release := CountBody(r)
		_, err = io.ReadAll(r.Body)
		assert.Equal(t, err != nil, size > 20<<10)
		assert.Assert(t, account.Held() > 0)
		release()
		assert.Equal(t, account.Held(), int64(0))
	}
}
