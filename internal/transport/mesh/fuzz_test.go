package mesh

import (
	"bytes"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// scriptedConn is a connection whose reads return input and whose writes go to output.
type scriptedConn struct {
	net.Conn
	input  *bytes.Reader
	output bytes.Buffer
}

func (c *scriptedConn) Read(p []byte) (int, error) { return c.input.Read(p) }

func (c *scriptedConn) Write(p []byte) (int, error) { return c.output.Write(p) }

// FuzzHandshake guards against a panic on arbitrary bytes, against a response to an
// invalid hello, and against reading bytes of the yamux session that follows the hello.
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
		consumed := data[:len(data)-conn.input.Len()]
		identity, err := receiveHello(&scriptedConn{input: bytes.NewReader(consumed)})
		assert.NilError(t, err)
		reencoded := &scriptedConn{}
		assert.NilError(t, sendHello(reencoded, identity))
		assert.Assert(t, bytes.Equal(reencoded.output.Bytes(), consumed))
	})
}
