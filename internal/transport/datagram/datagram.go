// Package datagram carries short questions and answers between the project's processes
// over UDP. Neither is repeated: a question that gets no answer in time is given up.
package datagram

import (
	"encoding/binary"
	"net"
	"net/netip"
	"sync"

	"github.com/pkg/errors"
)

// MaxPayloadBytes bounds a question or an answer, so that it is never fragmented.
const MaxPayloadBytes = 1200

const (
	kindQuestion = 1
	kindAnswer   = 2
	// headerBytes are the kind and the number of the question.
	headerBytes = 9
	// maxPending bounds the questions that wait for an answer.
	maxPending = 4096
)

// ErrBusy reports too many questions without answers.
var ErrBusy = errors.New("datagram: too many questions are pending")

// Handler answers a question. It runs in the goroutine of Serve and must not block; it
// may call reply later, once and from any goroutine.
type Handler func(question []byte, reply func(answer []byte))

// Answer is the answer to a question.
type Answer struct {
	Question uint64
	Payload  []byte
}

// Peer asks and answers. Its methods may be called by any goroutine.
type Peer struct {
	conn    *net.UDPConn
	handler Handler

	mu      sync.Mutex
	next    uint64
	pending map[uint64]pending
}

type pending struct {
	to     netip.AddrPort
	answer chan<- Answer
}

// Listen opens the socket at IP:port. The handler must be set by Serve.
func Listen(address string) (*Peer, error) {
	at, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "datagram: address")
	}
	conn, err := net.ListenUDP("udp4", at)
	if err != nil {
		return nil, errors.Wrap(err, "datagram: listen")
	}
	return &Peer{conn: conn, pending: map[uint64]pending{}}, nil
}

// Address returns the address of the socket.
func (p *Peer) Address() string { return p.conn.LocalAddr().String() }

// Close ends Serve.
func (p *Peer) Close() { _ = p.conn.Close() }

// Serve answers questions and hands answers over until Close.
func (p *Peer) Serve(handler Handler) {
	p.handler = handler
	buffer := make([]byte, headerBytes+MaxPayloadBytes)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n < headerBytes {
			continue // an unreachable peer is reported here, too
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		payload := append([]byte(nil), buffer[headerBytes:n]...)
		p.take(buffer[0], binary.BigEndian.Uint64(buffer[1:]), from, payload)
	}
}

func (p *Peer) take(kind byte, number uint64, from netip.AddrPort, payload []byte) {
	switch kind {
	case kindQuestion:
		p.handler(payload, func(answer []byte) { _ = p.send(kindAnswer, number, from, answer) })
	case kindAnswer:
		p.mu.Lock()
		waiting, ok := p.pending[number]
		if ok && waiting.to == from {
			delete(p.pending, number)
		}
		p.mu.Unlock()
		if ok && waiting.to == from {
			waiting.answer <- Answer{Question: number, Payload: payload}
		}
	}
}

// Ask sends a question. Its answer is sent to the channel, which must have room for it,
// unless Forget is called before.
func (p *Peer) Ask(to netip.AddrPort, question []byte, answer chan<- Answer) (uint64, error) {
	p.mu.Lock()
	if len(p.pending) >= maxPending {
		p.mu.Unlock()
		return 0, ErrBusy
	}
	p.next++
	number := p.next
	p.pending[number] = pending{to: to, answer: answer}
	p.mu.Unlock()
	if err := p.send(kindQuestion, number, to, question); err != nil {
		p.Forget(number)
		return 0, err
	}
	return number, nil
}

// Forget gives a question up.
func (p *Peer) Forget(number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, number)
}

func (p *Peer) send(kind byte, number uint64, to netip.AddrPort, payload []byte) error {
	if len(payload) > MaxPayloadBytes {
		return errors.New("datagram: payload is too long")
	}
	message := make([]byte, headerBytes, headerBytes+len(payload))
	message[0] = kind
	binary.BigEndian.PutUint64(message[1:], number)
	_, err := p.conn.WriteToUDPAddrPort(append(message, payload...), to)
	return errors.Wrap(err, "datagram: send")
}
