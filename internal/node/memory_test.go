package node

import (
	"bufio"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/coordination/memlimit"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// TestHeadMemory guards against a cost of a head that is below what a node holds for it: the parsed
// request, the message to the node beside the upstream and the header of the request to it.
func TestHeadMemory(t *testing.T) {
	for _, count := range []int{10, 100, 3200} {
		var fields strings.Builder
		for i := range count {
			fmt.Fprintf(&fields, "%03x:\n", i)
		}
		head := "GET / HTTP/1.1\nHost: a\n" + fields.String() + "\n"
		type held struct {
			request  *http.Request
			headers  []*wire.Header
			upstream http.Header
		}
		all := make([]held, 50)
		before := liveHeap()
		for i := range all {
			request, err := http.ReadRequest(bufio.NewReaderSize(strings.NewReader(head), 16))
			assert.NilError(t, err)
			all[i] = held{request: request, headers: encodeHeaders(request.Header, nil), upstream: http.Header{}}
			decodeHeaders(all[i].upstream, all[i].headers)
		}
		each := (liveHeap() - before) / int64(len(all))
		runtime.KeepAlive(all)
		t.Logf("%d fields: %d bytes", count, each)
		counted := memlimit.HeadBytes(len(head), count+3)
		assert.Assert(t, each <= counted, "%d fields: %d bytes held, %d counted", count, each, counted)
	}
}

func liveHeap() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
