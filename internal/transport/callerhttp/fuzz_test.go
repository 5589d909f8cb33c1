package callerhttp

import (
	"bufio"
	"bytes"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzRequest guards against a panic on arbitrary bytes from a caller, a head longer than the
// limit, and accepting a request whose body length is ambiguous.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("GET /a HTTP/1.1\r\nHost: a\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n0\r\nT: u\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	f.Add([]byte("\r\n\r\nGET / HTTP/1.0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		const limit = 1 << 10
		reader := bufio.NewReaderSize(bytes.NewReader(data), 16)
		head, err := readHead(reader, limit)
		if err != nil {
			return
		}
		assert.Assert(t, len(head) <= limit)
		request, err := parseHead(head)
		if err != nil {
			return
		}
		isChunked := len(request.TransferEncoding) > 0
		assert.Assert(t, !isChunked || !strings.Contains(strings.ToLower(string(head)), "\ncontent-length:"))
		if body := newBodyReader(request, reader); body != nil {
			n, _ := io.Copy(io.Discard, body)
			assert.Assert(t, isChunked || n <= request.ContentLength)
		}
	})
}
