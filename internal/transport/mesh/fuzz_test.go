package mesh

import (
	"bytes"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// scriptedConn reads what a peer has sent and collects what is written to it.
type scriptedConn struct {
	net.Conn
	input  *bytes.Reader
	output bytes.Buffer
}

func (c *scriptedConn) Read(p []byte) (int, error) { return c.input.Read(p) }

func (c *scriptedConn) Write(p []byte) (int, error) { return c.output.Write(p) }

// FuzzHandshake guards against a panic on a stranger's bytes, against an answer to
// one, and against reading into the session that follows the hello.
func FuzzHandshake(f *testing.F) {
	f.Add([]byte("CHLV\x01\x04nodeyamux"))
	f.Add([]byte("CHLV\x01\x00"))
	f.Add([]byte("CHLV\x02\x04node"))
	f.Add([]byte("CHLV\x01\xffshort"))
	f.Add([]byte("GET / HTTP/1.1\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		conn := &scriptedConn{input: bytes.NewReader(data)}
		if _, err := handshake(conn, Config{Identity: "server"}, serverSide); err != nil {
			assert.Equal(t, conn.output.Len(), 0)
			return
		}
		assert.Equal(t, conn.output.String(), "CHLV\x01\x06server")
		read := data[:len(data)-conn.input.Len()]
		identity, err := receiveHello(&scriptedConn{input: bytes.NewReader(read)})
		assert.NilError(t, err)
		again := &scriptedConn{}
		assert.NilError(t, sendHello(again, identity))
		assert.Assert(t, bytes.Equal(again.output.Bytes(), read))
	})
}
