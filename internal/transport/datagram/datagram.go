// Package datagram exchanges short requests and responses between the project's processes
// over UDP. Neither is retransmitted: the requester gives up a request that gets no response
// in time by calling Cancel.
package datagram

import (
	"encoding/binary"
	"net"
	"net/netip"
	"sync"

	"github.com/pkg/errors"
)

// MaxPayloadBytes limits the payload of a request or response, so that its datagram is
// never fragmented.
const MaxPayloadBytes = 1200

const (
	kindRequest  = 1
	kindResponse = 2
	// headerBytes is the size of the header: one byte for the kind, then the request ID as
	// a big-endian uint64.
	headerBytes = 9
	// maxPending limits the requests that wait for a response.
	maxPending = 4096
)

// ErrBusy is returned by Send when too many requests are waiting for a response.
var ErrBusy = errors.New("datagram: too many requests are waiting for a response")

// Handler handles a request. It runs in the goroutine of Serve and must not block; it
// may call reply later, once and from any goroutine.
type Handler func(request []byte, reply func(response []byte))

// Response is the response to the request for which Send returned RequestID.
type Response struct {
	RequestID uint64
	Payload   []byte
}

// Peer sends requests and responds to those of other peers. Its methods may be called
// from any goroutine.
type Peer struct {
	conn    *net.UDPConn
	handler Handler

	mu            sync.Mutex
	lastRequestID uint64
	pending       map[uint64]pendingRequest
}

type pendingRequest struct {
	to        netip.AddrPort
	responses chan<- Response
}

// Listen opens a UDP socket on the address IP:port. Serve must be called to receive
// requests and responses.
func Listen(address string) (*Peer, error) {
	udpAddress, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "datagram: resolve listen address")
	}
	conn, err := net.ListenUDP("udp4", udpAddress)
	if err != nil {
		return nil, errors.Wrap(err, "datagram: open socket")
	}
	return &Peer{conn: conn, pending: map[uint64]pendingRequest{}}, nil
}

// Address returns the local address of the socket.
func (p *Peer) Address() string { return p.conn.LocalAddr().String() }

// Close closes the socket, which makes Serve return.
func (p *Peer) Close() { _ = p.conn.Close() }

// Serve passes requests to the handler and delivers responses to the channels given to
// Send, until Close.
func (p *Peer) Serve(handler Handler) {
	p.handler = handler
	buffer := make([]byte, headerBytes+MaxPayloadBytes)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n < headerBytes {
			continue // an unreachable peer also causes an error here
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		payload := append([]byte(nil), buffer[headerBytes:n]...)
		p.dispatch(buffer[0], binary.BigEndian.Uint64(buffer[1:]), from, payload)
	}
}

// dispatch passes a request to the handler, or a response to the channel of its pending
// request. It drops a response to an unknown request or from an unexpected address.
func (p *Peer) dispatch(kind byte, requestID uint64, from netip.AddrPort, payload []byte) {
	switch kind {
	case kindRequest:
		p.handler(payload, func(response []byte) { _ = p.writeDatagram(kindResponse, requestID, from, response) })
	case kindResponse:
		p.mu.Lock()
		request, ok := p.pending[requestID]
		if ok && request.to == from {
			delete(p.pending, requestID)
		}
		p.mu.Unlock()
		if ok && request.to == from {
			request.responses <- Response{RequestID: requestID, Payload: payload}
		}
	}
}

// Send sends a request and returns its ID. The response is sent to the channel, which must
// have free buffer space for it, unless Cancel is called before it arrives.
func (p *Peer) Send(to netip.AddrPort, request []byte, responses chan<- Response) (uint64, error) {
	p.mu.Lock()
	if len(p.pending) >= maxPending {
		p.mu.Unlock()
		return 0, ErrBusy
	}
	p.lastRequestID++
	requestID := p.lastRequestID
	p.pending[requestID] = pendingRequest{to: to, responses: responses}
	p.mu.Unlock()
	if err := p.writeDatagram(kindRequest, requestID, to, request); err != nil {
		p.Cancel(requestID)
		return 0, err
	}
	return requestID, nil
}

// Cancel gives up a request: a response that arrives later is dropped.
func (p *Peer) Cancel(requestID uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, requestID)
}

func (p *Peer) writeDatagram(kind byte, requestID uint64, to netip.AddrPort, payload []byte) error {
	if len(payload) > MaxPayloadBytes {
		return errors.New("datagram: payload is longer than MaxPayloadBytes")
	}
	message := make([]byte, headerBytes, headerBytes+len(payload))
	message[0] = kind
	binary.BigEndian.PutUint64(message[1:], requestID)
	_, err := p.conn.WriteToUDPAddrPort(append(message, payload...), to)
	return errors.Wrap(err, "datagram: send")
}
