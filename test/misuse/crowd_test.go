package misuse

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// writeBound limits the time for which a client writes to a server that does not read.
	writeBound = time.Second
	// crowdBound limits the time for which a crowd sends.
	crowdBound = 2 * time.Second
	bodyBytes  = 1 << 20
	// pipelineDepth is the number of requests that a client sends without reading.
	pipelineDepth = 64
)

// kind is one kind of misbehaving client: what it sends on a connection, and how many of them
// a test uses.
type kind struct {
	name  string
	count int
	send  func(conn net.Conn, path string)
	// stay is the time for which the crowd stays after it has sent, for the server to read it;
	// 0 selects settleTime.
	stay time.Duration
}

// zeros is the content of the bodies.
var zeros = make([]byte, 2*bodyBytes)

var kinds = []kind{
	{"body_one_piece", 250, func(conn net.Conn, path string) {
		write(conn, head(path, fmt.Sprintf("Content-Length: %d\r\n", bodyBytes)), zeros[:bodyBytes-1])
	}, 0},
	{"body_pieces", 250, func(conn net.Conn, path string) {
		write(conn, head(path, fmt.Sprintf("Content-Length: %d\r\n", bodyBytes)))
		for unsent := bodyBytes - 1; unsent > 0; unsent -= 4 << 10 {
			if !write(conn, zeros[:min(unsent, 4<<10)]) {
				return
			}
		}
	}, 0},
	{"body_chunks", 250, func(conn net.Conn, path string) {
		write(conn, head(path, "Transfer-Encoding: chunked\r\n"))
		for range bodyBytes / (8 << 10) {
			if !write(conn, []byte("2000\r\n"), zeros[:8<<10], []byte("\r\n")) {
				return
			}
		}
		write(conn, []byte("0\r\n"))
	}, 0},
	{"body_over_limit", 40, func(conn net.Conn, path string) {
		write(conn, head(path, fmt.Sprintf("Content-Length: %d\r\n", 1<<40)), zeros)
	}, 0},
	{"many_fields", 80, func(conn net.Conn, path string) {
		write(conn, head(path, shortFields()))
	}, 0},
	{"pipelined_fields", 200, func(conn net.Conn, path string) {
		writeRepeatedly(conn, pipelineDepth, head(path+"?delay_ms=2000", shortFields()))
	}, 3 * time.Second},
	{"pipelined_bodies", 40, func(conn net.Conn, path string) {
		writeRepeatedly(conn, pipelineDepth, head(path, fmt.Sprintf("Content-Length: %d\r\n", 60<<10)), zeros[:60<<10])
	}, 0},
	{"slow_senders", 80, func(conn net.Conn, path string) {
		for _, b := range head(path, "") {
			if !write(conn, []byte{b}) {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}, 0},
	{"slow_readers", 80, func(conn net.Conn, path string) {
		writeRepeatedly(conn, 8, head(path, fmt.Sprintf("Content-Length: %d\r\n", 60<<10)), zeros[:60<<10])
		for range 50 {
			_ = conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
			_, _ = conn.Read(make([]byte, 1))
			time.Sleep(20 * time.Millisecond)
		}
	}, 0},
	{"half_head", 80, func(conn net.Conn, path string) {
		text := head(path, shortFields())
		write(conn, text[:len(text)/2])
	}, 0},
}

// shortFields returns 3,200 header fields of 5 bytes, each with another name, for a head of
// almost 16 KiB.
func shortFields() string {
	const characters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var fields strings.Builder
	for i := range 3200 {
		fields.Write([]byte{characters[i%36], characters[i/36%36], characters[i/36/36], ':', '\n'})
	}
	return fields.String()
}

func head(path, fields string) []byte {
	return []byte("POST " + path + " HTTP/1.1\r\nHost: drafts.example\r\n" + fields + "\r\n")
}

// write writes the parts and returns false once the server has closed the connection or does
// not read.
func write(conn net.Conn, parts ...[]byte) bool {
	for _, part := range parts {
		_ = conn.SetWriteDeadline(time.Now().Add(writeBound))
		if _, err := conn.Write(part); err != nil {
			return false
		}
	}
	return true
}

func writeRepeatedly(conn net.Conn, count int, parts ...[]byte) {
	for range count {
		if !write(conn, parts...) {
			return
		}
	}
}

// crowd is a number of open connections that read nothing.
type crowd struct{ conns []net.Conn }

// startCrowd opens count connections to the address and sends on each; it returns when all
// have sent, or after crowdBound.
func startCrowd(address string, count int, send func(conn net.Conn)) *crowd {
	c := &crowd{}
	var senders sync.WaitGroup
	for range count {
		conn, err := net.DialTimeout("tcp", address, writeBound)
		if err != nil {
			continue // the server sheds connections
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(4 << 10)
		}
		c.conns = append(c.conns, conn)
		senders.Go(func() { send(conn) })
	}
	sent := make(chan struct{})
	go func() { senders.Wait(); close(sent) }()
	select {
	case <-sent:
	case <-time.After(crowdBound):
	}
	return c
}

func (c *crowd) leave() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}
