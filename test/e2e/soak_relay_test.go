package e2e

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// relayMode is what a relay does with the bytes of its connections.
type relayMode int32

const (
	relayPass relayMode = iota
	// relayDelay holds each piece for relayHold.
	relayDelay
	// relaySilent drops all bytes and keeps connections open.
	relaySilent
	// relayOneWay drops only what the target answers.
	relayOneWay
	// relayRefuse resets new connections.
	relayRefuse
)

const (
	relayHold      = 40 * time.Millisecond
	relayPoll      = 5 * time.Millisecond
	relayBufferLen = 16 << 10
)

// relay stands between the processes and one of them, for TCP and UDP. A connection that
// lost bytes while the relay was silent stays silent, as one whose state a router forgot.
type relay struct {
	address, target string
	mode            atomic.Int32
	listener        net.Listener
	packets         *net.UDPConn

	mu    sync.Mutex
	conns map[net.Conn]bool
	flows map[string]*net.UDPConn
}

// newRelay listens on the address for TCP and UDP.
func newRelay(t testing.TB, address, target string) *relay {
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	at, err := net.ResolveUDPAddr("udp4", address)
	assert.NilError(t, err)
	packets, err := net.ListenUDP("udp4", at)
	assert.NilError(t, err)
	r := &relay{address: address, target: target, listener: listener, packets: packets, conns: map[net.Conn]bool{}, flows: map[string]*net.UDPConn{}}
	go r.accept()
	go r.receive()
	t.Cleanup(r.close)
	return r
}

func (r *relay) set(mode relayMode) { r.mode.Store(int32(mode)) }

func (r *relay) is(mode relayMode) bool { return relayMode(r.mode.Load()) == mode }

func (r *relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.connect(conn)
	}
}

func (r *relay) connect(near net.Conn) {
	if r.is(relayRefuse) {
		reset(near)
		return
	}
	for r.is(relaySilent) {
		time.Sleep(relayPoll)
	}
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		reset(near)
		return
	}
	r.mu.Lock()
	r.conns[near], r.conns[far] = true, true
	r.mu.Unlock()
	go r.pump(near, far, true)
	go r.pump(far, near, false)
}

// pump copies one direction. The end of one direction ends the connection.
func (r *relay) pump(from, to net.Conn, isRequest bool) {
	defer r.forget(from, to)
	buffer := make([]byte, relayBufferLen)
	isLost := false
	for {
		n, err := from.Read(buffer)
		if r.is(relayDelay) {
			time.Sleep(relayHold)
		}
		isLost = isLost || r.is(relaySilent) || (r.is(relayOneWay) && !isRequest)
		if !isLost && n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (r *relay) forget(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
		delete(r.conns, conn)
	}
}

// resetAll resets every connection.
func (r *relay) resetAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		reset(conn)
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (r *relay) receive() {
	buffer := make([]byte, relayBufferLen)
	for {
		n, from, err := r.packets.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		key := from.String()
		r.mu.Lock()
		flow := r.flows[key]
		r.mu.Unlock()
		if flow == nil {
			target, err := net.ResolveUDPAddr("udp4", r.target)
			if err != nil {
				continue
			}
			if flow, err = net.DialUDP("udp4", nil, target); err != nil {
				continue
			}
			r.mu.Lock()
			r.flows[key] = flow
			r.mu.Unlock()
			go func() {
				answer := make([]byte, relayBufferLen)
				for {
					n, err := flow.Read(answer)
					if errorIsClosed(err) {
						return
					}
					if err == nil && r.is(relayPass) {
						_, _ = r.packets.WriteToUDPAddrPort(answer[:n], from)
					}
				}
			}()
		}
		if !r.is(relaySilent) && !r.is(relayRefuse) {
			_, _ = flow.Write(buffer[:n])
		}
	}
}

func errorIsClosed(err error) bool {
	return isClosedConn(err) || errors.Is(err, io.EOF)
}

func (r *relay) close() {
	_ = r.listener.Close()
	_ = r.packets.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		_ = conn.Close()
	}
	for _, flow := range r.flows {
		_ = flow.Close()
	}
}
