// Package msgstream has the message streams that carry attempts: one over the mesh, and one in
// memory for attempts within a node.
package msgstream

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

// Stream carries the messages of one attempt. One goroutine may send while
// another receives. Abort and Close may be called by any goroutine.
type Stream interface {
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

// MeshStream carries an attempt between two nodes.
type MeshStream struct {
	*frame.Conn
	stream net.Conn
}

// NewMeshStream returns a stream of messages over a stream of the mesh.
func NewMeshStream(stream net.Conn) *MeshStream {
	return &MeshStream{Conn: frame.NewConn(stream), stream: stream}
}

// Abort implements Stream.
func (s *MeshStream) Abort() { _ = s.stream.SetDeadline(time.Unix(1, 0)) }

// Close implements Stream.
func (s *MeshStream) Close() { _ = s.stream.Close() }

// PipeEnd is one end of an in-memory stream for an attempt whose entry node is also the
// node beside the upstream.
type PipeEnd struct {
	in        <-chan *wire.Envelope
	out       chan<- *wire.Envelope
	peer      *PipeEnd
	closed    chan struct{}
	aborted   chan struct{}
	closeOnce sync.Once
	abortOnce sync.Once
}

// NewPipe returns the two ends of an in-memory stream.
func NewPipe() (entry, receiver *PipeEnd) {
	toReceiver := make(chan *wire.Envelope, pipeCapacity)
	toEntry := make(chan *wire.Envelope, pipeCapacity)
	entry = &PipeEnd{in: toEntry, out: toReceiver, closed: make(chan struct{}), aborted: make(chan struct{})}
	receiver = &PipeEnd{in: toReceiver, out: toEntry, closed: make(chan struct{}), aborted: make(chan struct{})}
	entry.peer, receiver.peer = receiver, entry
	return entry, receiver
}

// Send implements Stream.
func (p *PipeEnd) Send(message *wire.Envelope) error {
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

// Flush implements Stream.
func (p *PipeEnd) Flush() error { return nil }

// Receive implements Stream.
func (p *PipeEnd) Receive() (*wire.Envelope, error) {
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

// ReleaseReader implements Stream.
func (p *PipeEnd) ReleaseReader() {}

// ReleaseWriter implements Stream.
func (p *PipeEnd) ReleaseWriter() {}

// HasBuffered implements Stream.
func (p *PipeEnd) HasBuffered() bool { return len(p.in) > 0 }

// Abort implements Stream.
func (p *PipeEnd) Abort() { p.abortOnce.Do(func() { close(p.aborted) }) }

// Close implements Stream.
func (p *PipeEnd) Close() { p.closeOnce.Do(func() { close(p.closed) }) }
