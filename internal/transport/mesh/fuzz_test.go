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
	in  *bytes.Reader
	out bytes.Buffer
}

func (c *scriptedConn) Read(p []byte) (int, error) { return c.in.Read(p) }

func (c *scriptedConn) Write(p []byte) (int, error) { return c.out.Write(p) }

// FuzzHandshake guards against a panic on a stranger's bytes, against an answer to
// one, and against reading into the session that follows the hello.
func FuzzHandshake(f *testing.F) {
	f.Add([]byte("CHLV\x01\x04nodeyamux"))
	f.Add([]byte("CHLV\x01\x00"))
	f.Add([]byte("CHLV\x02\x04node"))
	f.Add([]byte("CHLV\x01\xffshort"))
	f.Add([]byte("GET / HTTP/1.1\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		conn := &scriptedConn{in: bytes.NewReader(data)}
		if _, err := handshake(conn, Config{Identity: "server"}, serverSide); err != nil {
			assert.Equal(t, conn.out.Len(), 0)
			return
		}
		assert.Equal(t, conn.out.String(), "CHLV\x01\x06server")
		read := data[:len(data)-conn.in.Len()]
		identity, err := receiveHello(&scriptedConn{in: bytes.NewReader(read)})
		assert.NilError(t, err)
		again := &scriptedConn{}
		assert.NilError(t, sendHello(again, identity))
		assert.Assert(t, bytes.Equal(again.out.Bytes(), read))
	})
}
