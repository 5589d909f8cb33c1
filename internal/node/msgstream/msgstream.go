package node

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// pipeCapacity is the maximum number of messages in flight in one direction of a pipe; a
// full pipe blocks the sender.
const pipeCapacity = 8

var errAborted = errors.New("attempt was aborted")

// messageStream carries the messages of one attempt. One goroutine may send while
// another receives. Abort and Close may be called by any goroutine.
type messageStream interface {
	// Send buffers a message. The message is not used after Send returns.
	Send(message *wire.Envelope) error
	// Flush makes sent messages visible to the peer.
	Flush() error
	// Receive returns the next message, or io.EOF once the peer has closed.
	Receive() (*wire.Envelope, error)
	// HasBuffered reports whether a message has arrived that Receive has not returned yet.
	HasBuffered() bool
	// Abort makes pending and later operations on this side fail.
	Abort()
	// Close ends the attempt; the peer receives io.EOF.
	Close()
	// ReleaseReader and ReleaseWriter return buffers to their pools; nothing may be
	// received, or sent, afterwards.
	ReleaseReader()
	ReleaseWriter()
}

// meshStream carries an attempt between two nodes.
type meshStream struct {
	*frame.Conn
	stream net.Conn
}

func newMeshStream(stream net.Conn) *meshStream {
	return &meshStream{Conn: frame.NewConn(stream), stream: stream}
}

func (s *meshStream) Abort() { _ = s.stream.SetDeadline(time.Unix(1, 0)) }

func (s *meshStream) Close() { _ = s.stream.Close() }

// pipeEnd is one end of an in-memory stream for an attempt whose entry node is also the
// node beside the upstream.
type pipeEnd struct {
	in        <-chan *wire.Envelope
	out       chan<- *wire.Envelope
	peer      *pipeEnd
	closed    chan struct{}
	aborted   chan struct{}
	closeOnce sync.Once
	abortOnce sync.Once
}

func newPipe() (entry, receiver *pipeEnd) {
	toReceiver := make(chan *wire.Envelope, pipeCapacity)
	toEntry := make(chan *wire.Envelope, pipeCapacity)
	entry = &pipeEnd{in: toEntry, out: toReceiver, closed: make(chan struct{}), aborted: make(chan struct{})}
	receiver = &pipeEnd{in: toReceiver, out: toEntry, closed: make(chan struct{}), aborted: make(chan struct{})}
	entry.peer, receiver.peer = receiver, entry
	return entry, receiver
}

func (p *pipeEnd) Send(message *wire.Envelope) error {
	if chunk := message.GetBodyChunk(); chunk != nil {
		// The sender reuses its buffer.
		chunk.Data = append([]byte(nil), chunk.GetData()...)
	}
	select {
	case <-p.aborted:
		return errAborted
	case <-p.closed:
		return io.ErrClosedPipe
	default:
	}
	select {
	case p.out <- message:
		return nil
	case <-p.peer.closed:
		return io.ErrClosedPipe
	case <-p.aborted:
		return errAborted
	}
}

func (p *pipeEnd) Flush() error { return nil }

func (p *pipeEnd) Receive() (*wire.Envelope, error) {
	select {
	case message := <-p.in:
		return message, nil
	case <-p.aborted:
		return nil, errAborted
	case <-p.peer.closed:
	}
	select {
	case message := <-p.in:
		return message, nil
	default:
		return nil, io.EOF
	}
}

func (p *pipeEnd) ReleaseReader() {}

func (p *pipeEnd) ReleaseWriter() {}

func (p *pipeEnd) HasBuffered() bool { return len(p.in) > 0 }

func (p *pipeEnd) Abort() { p.abortOnce.Do(func() { close(p.aborted) }) }

func (p *pipeEnd) Close() { p.closeOnce.Do(func() { close(p.closed) }) }
