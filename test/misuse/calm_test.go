package misuse

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLargestRequests guards against limits that refuse the largest legal request in calm: a head
// of almost 16 KiB of short fields (7 bytes each as net/http writes them), and a body of 64 MiB.
func TestLargestRequests(t *testing.T) {
	s := startSystem(t, 0)
	url := "http://" + s.node.EntryListen + "/svc/drafts/x"
	client := &http.Client{Timeout: 10 * time.Second}
	for _, size := range []int{0, 64 << 20} {
		request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(make([]byte, size)))
		assert.NilError(t, err)
		if size == 0 {
			for _, line := range strings.Fields(shortFields())[:2200] {
				request.Header[strings.ToUpper(strings.TrimSuffix(line, ":"))] = []string{""}
			}
		}
		response, err := client.Do(request)
		assert.NilError(t, err)
		read, err := io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Assert(t, read >= int64(size))
	}
	s.check(t)
}
