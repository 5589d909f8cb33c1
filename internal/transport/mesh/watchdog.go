package mesh

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

// activityConn records when bytes last arrived.
type activityConn struct {
	net.Conn
	lastRead atomic.Int64
}

func newActivityConn(conn net.Conn) *activityConn {
	c := &activityConn{Conn: conn}
	c.lastRead.Store(time.Now().UnixNano())
	return c
}

func (c *activityConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

func (c *activityConn) silence() time.Duration {
	return time.Duration(time.Now().UnixNano() - c.lastRead.Load())
}

// watch closes the session when it holds open streams and no byte has arrived
// for DeadAfter. It pings after PingAfter, so that a peer that only works on a
// long request is not taken for a dead one. It returns when the session ends.
func watch(session *yamux.Session, conn *activityConn, config Config) {
	ticker := time.NewTicker(config.PingAfter / 3)
	defer ticker.Stop()
	var pinging atomic.Bool
	idle := true
	for {
		select {
		case <-session.CloseChan():
			return
		case <-ticker.C:
		}
		if session.NumStreams() == 0 {
			idle = true
			continue
		}
		if idle {
			// Silence while the connection was idle says nothing about the peer.
			idle = false
			conn.lastRead.Store(time.Now().UnixNano())
			continue
		}
		silence := conn.silence()
		if silence > config.DeadAfter {
			_ = conn.Close()
			_ = session.Close()
			return
		}
		if silence > config.PingAfter && pinging.CompareAndSwap(false, true) {
			go func() {
				defer pinging.Store(false)
				_, _ = session.Ping()
			}()
		}
	}
}
