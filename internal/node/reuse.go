package node

import (
	"bytes"
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/transport/mesh"
)

// attemptWatch reads the stream of an attempt after its body. What arrives before the
// end of the attempt cancels it; what arrives afterwards is the head of the next one.
type attemptWatch struct {
	stream *meshStream
	cancel context.CancelFunc
	next   chan arrival // exactly one

	mu        sync.Mutex
	arrived   bool
	ended     bool
	abandoned bool
}

// arrival is what ended a read of a stream.
type arrival struct {
	message *wire.Envelope
	err     error
}

// watchAttempt starts to read from a stream whose attempt is received whole.
func watchAttempt(stream *meshStream, cancel context.CancelFunc) *attemptWatch {
	w := &attemptWatch{stream: stream, cancel: cancel, next: make(chan arrival, 1)}
	go w.run()
	return w
}

func (w *attemptWatch) run() {
	message, err := w.stream.ReceiveAny()
	w.mu.Lock()
	w.arrived = true
	ended, abandoned := w.ended, w.abandoned
	w.mu.Unlock()
	if !ended {
		w.cancel()
	}
	if abandoned {
		w.stream.ReleaseReader()
	}
	w.next <- arrival{message, err}
}

// end is called just before the last message of the attempt is sent. It returns false
// when something has arrived already, which is an error or the end of the stream.
func (w *attemptWatch) end() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = !w.arrived
	return w.ended
}

// abandon gives the reader's buffer back as soon as it is no longer used. The stream
// carries no other attempt.
func (w *attemptWatch) abandon() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.abandoned = true
	if w.arrived {
		w.stream.ReleaseReader()
	}
}

// serveAttempts serves the attempts of a stream one after the other. Before the stream
// is closed under an entry that may keep it, the entry is told that no further attempt
// is taken from it, because it may have written the next head.
func (n *Node) serveAttempts(ctx context.Context, raw *mesh.Accepted, stream *meshStream, first *wire.Envelope) {
	defer stream.Close()
	defer stream.ReleaseWriter()
	for {
		id := first.GetAttemptId()
		stream.BindAttempt(id)
		r := n.newReceived(stream, id, first.GetRequestHead())
		isClean := r.serve(ctx)
		if r.watch == nil {
			return
		}
		if !isClean {
			r.watch.abandon()
			if r.isEnded {
				closeToAttempts(stream)
			}
			return
		}
		first = n.nextHead(raw, r)
		if first == nil {
			r.watch.abandon()
			return
		}
	}
}

// nextHead waits for the next attempt of a stream. It returns nil when there is none.
func (n *Node) nextHead(raw *mesh.Accepted, previous *received) *wire.Envelope {
	stream := previous.watch.stream
	raw.Shrink()
	if !raw.Idle() {
		closeToAttempts(stream)
		return nil
	}
	next := <-previous.watch.next
	if !raw.Busy() {
		closeToAttempts(stream)
		return nil
	}
	if next.err != nil || !isHead(next.message) || bytes.Equal(next.message.GetAttemptId(), previous.id) {
		return nil
	}
	return next.message
}

func isHead(message *wire.Envelope) bool {
	return message.GetRequestHead() != nil && len(message.GetAttemptId()) == attemptIDBytes
}

// closeToAttempts promises that no attempt is taken from the stream any more. The
// message belongs to no attempt, since the ID of the next one is not known.
func closeToAttempts(stream *meshStream) {
	stream.BindAttempt(nil)
	_ = sendNow(stream, refused(&wire.Refused{NotRun: true}))
}

// isClosedToAttempts reports whether what was received first on a stream is the message
// of closeToAttempts.
func isClosedToAttempts(message *wire.Envelope, err error) bool {
	return errors.Is(err, frame.ErrAttemptMismatch) && len(message.GetAttemptId()) == 0 && message.GetRefused().GetNotRun()
}
