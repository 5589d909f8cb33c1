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

// relayMode is how a relay treats the traffic that it forwards.
type relayMode int32

const (
	relayPass relayMode = iota
	// relayDelay delays the data of each TCP read by relayDelayTime.
	relayDelay
	// relayDropAll drops all data and keeps connections open.
	relayDropAll
	// relayDropResponses drops only the data that the target sends.
	relayDropResponses
	// relayResetNew resets new connections.
	relayResetNew
)

const (
	relayDelayTime    = 40 * time.Millisecond
	relayPollInterval = 5 * time.Millisecond
	relayBufferBytes  = 16 << 10
)

// relay forwards TCP connections and UDP datagrams to one process and injects network
// faults. A connection direction in which data was dropped forwards nothing more, like a
// connection whose state a router has lost.
type relay struct {
	address, target string
	mode            atomic.Int32
	listener        net.Listener
	udpConn         *net.UDPConn

	mu       sync.Mutex
	tcpConns map[net.Conn]bool
	// udpFlows are the sockets connected to the target, by client address.
	udpFlows map[string]*net.UDPConn
}

// newRelay starts a relay that listens on the address for TCP and UDP until the test ends.
func newRelay(t testing.TB, address, target string) *relay {
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	udpAddress, err := net.ResolveUDPAddr("udp4", address)
	assert.NilError(t, err)
	udpConn, err := net.ListenUDP("udp4", udpAddress)
	assert.NilError(t, err)
	r := &relay{address: address, target: target, listener: listener, udpConn: udpConn, tcpConns: map[net.Conn]bool{}, udpFlows: map[string]*net.UDPConn{}}
	go r.acceptConns()
	go r.forwardDatagrams()
	t.Cleanup(r.close)
	return r
}

func (r *relay) setMode(mode relayMode) { r.mode.Store(int32(mode)) }

func (r *relay) hasMode(mode relayMode) bool { return relayMode(r.mode.Load()) == mode }

func (r *relay) acceptConns() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forwardConn(conn)
	}
}

func (r *relay) forwardConn(client net.Conn) {
	if r.hasMode(relayResetNew) {
		resetConn(client)
		return
	}
	for r.hasMode(relayDropAll) {
		time.Sleep(relayPollInterval)
	}
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		resetConn(client)
		return
	}
	r.mu.Lock()
	r.tcpConns[client], r.tcpConns[server] = true, true
	r.mu.Unlock()
	go r.copyDirection(client, server, true)
	go r.copyDirection(server, client, false)
}

// copyDirection copies one direction of a connection and closes both ends when it ends.
func (r *relay) copyDirection(source, destination net.Conn, isTowardsTarget bool) {
	defer r.closeConns(source, destination)
	buffer := make([]byte, relayBufferBytes)
	isDropping := false
	for {
		n, err := source.Read(buffer)
		if r.hasMode(relayDelay) {
			time.Sleep(relayDelayTime)
		}
		isDropping = isDropping || r.hasMode(relayDropAll) || (r.hasMode(relayDropResponses) && !isTowardsTarget)
		if !isDropping && n > 0 {
			if _, err := destination.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (r *relay) closeConns(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
		delete(r.tcpConns, conn)
	}
}

// resetConns resets every TCP connection.
func (r *relay) resetConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.tcpConns {
		resetConn(conn)
	}
}

// resetConn closes a TCP connection with RST instead of FIN.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// forwardDatagrams forwards datagrams to the target, with one socket for each client
// address. It forwards the target's responses only in the mode relayPass.
func (r *relay) forwardDatagrams() {
	buffer := make([]byte, relayBufferBytes)
	for {
		n, clientAddress, err := r.udpConn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		flowKey := clientAddress.String()
		r.mu.Lock()
		flow := r.udpFlows[flowKey]
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
			r.udpFlows[flowKey] = flow
			r.mu.Unlock()
			go func() {
				response := make([]byte, relayBufferBytes)
				for {
					n, err := flow.Read(response)
					if isClosedOrEOF(err) {
						return
					}
					if err == nil && r.hasMode(relayPass) {
						_, _ = r.udpConn.WriteToUDPAddrPort(response[:n], clientAddress)
					}
				}
			}()
		}
		if !r.hasMode(relayDropAll) && !r.hasMode(relayResetNew) {
			_, _ = flow.Write(buffer[:n])
		}
	}
}

func isClosedOrEOF(err error) bool {
	return isClosedConn(err) || errors.Is(err, io.EOF)
}

func (r *relay) close() {
	_ = r.listener.Close()
	_ = r.udpConn.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.tcpConns {
		_ = conn.Close()
	}
	for _, flow := range r.udpFlows {
		_ = flow.Close()
	}
}
