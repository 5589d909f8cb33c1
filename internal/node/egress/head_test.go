package egress

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestMalformedHead guards against a response whose head is no HTTP/1.x but counts as one: a
// status that does not exist, a field name with white space or a control byte, which may hide the
// length of the body, and framing that HTTP/1.0 does not have.
func TestMalformedHead(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	const length = "Content-Length: 2\r\n\r\nok"
	for _, c := range []struct {
		name, rawResponse string
		err               error
	}{
		{"plain", ok + length, nil},
		{"no reason phrase", "HTTP/1.1 200\r\n" + length, nil},
		{"line feeds only", "HTTP/1.1 200 OK\nX-A: b\n" + strings.ReplaceAll(length, "\r", ""), nil},
		{"tab in a value", ok + "X-A: a\tb\r\n" + length, nil},
		{"Latin-1 in a value", ok + "X-A: \xe9\r\n" + length, nil},
		{"long head", ok + "X-A: " + strings.Repeat("b", 2*ioBufferBytes) + "\r\n" + length, nil},
		{"after an informational response", "HTTP/1.1 100 Continue\r\n\r\n" + ok + length, nil},
		{"status 000", "HTTP/1.1 000 OK\r\n" + length, ErrNoResponse},
		{"status 099", "HTTP/1.1 099 OK\r\n" + length, ErrNoResponse},
		{"status 600", "HTTP/1.1 600 OK\r\n" + length, ErrNoResponse},
		{"status with a sign", "HTTP/1.1 +20 OK\r\n" + length, ErrNoResponse},
		{"status of four digits", "HTTP/1.1 2000 OK\r\n" + length, ErrNoResponse},
		{"status 000 before a response", "HTTP/1.1 000 OK\r\n\r\n" + ok + length, ErrNoResponse},
		{"status 000 after an informational response", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n" + length, ErrNoResponse},
		{"control byte in the reason phrase", "HTTP/1.1 200 O\x01K\r\n" + length, ErrNoResponse},
		{"blank within a name", ok + "X A: b\r\n" + length, ErrNoResponse},
		{"blank behind the name of the length", ok + "Content-Length : 2\r\n\r\nok", ErrNoResponse},
		{"blank within the name of the length", ok + "Content Length: 2\r\n\r\nok", ErrNoResponse},
		{"blank before a name", ok + "X-A: b\r\n " + length, ErrNoResponse},
		{"blank before the first name", ok + " " + length, ErrNoResponse},
		{"tab within a name", ok + "X\tA: b\r\n" + length, ErrNoResponse},
		{"control byte within a name", ok + "X\x01A: b\r\n" + length, ErrNoResponse},
		{"NUL within the name of the length", ok + "Content\x00Length: 2\r\n\r\nok", ErrNoResponse},
		{"no name", ok + ": b\r\n" + length, ErrNoResponse},
		{"no colon", ok + "X-A\r\n" + length, ErrNoResponse},
		{"NUL in a value", ok + "X-A: a\x00b\r\n" + length, ErrNoResponse},
		{"carriage return in a value", ok + "X-A: a\rb\r\n" + length, ErrNoResponse},
		{"blank in a long name", ok + strings.Repeat("X", 2*ioBufferBytes) + " A: b\r\n" + length, ErrNoResponse},
		{"blank in a name after an informational response", "HTTP/1.1 100 Continue\r\n\r\n" + ok + "X A: b\r\n" + length, ErrNoResponse},
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", ErrNoResponse},
		{"blank in the name of a trailer", ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX A: b\r\n\r\n", ErrIncomplete},
		{"control byte in a trailer", ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-A: a\x01b\r\n\r\n", ErrIncomplete},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newScriptedUpstream(t, c.rawResponse+"cut").pool()
			p.config.AllowCloseDelimited = true
			response, body, err := roundTrip(t, p, http.MethodGet)
			assert.ErrorIs(t, err, c.err)
			if c.err == nil {
				assert.Equal(t, body, "ok")
				assert.Equal(t, response.StatusCode, http.StatusOK)
			}
		})
	}
}
