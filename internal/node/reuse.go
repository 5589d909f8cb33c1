package node

import (
	"bytes"
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/node/msgstream"
	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/transport/mesh"
)

// attemptWatch reads the stream of an attempt after its body. A message or an error before
// the end of the attempt cancels it; a message after its end is the head of the next
// attempt.
type attemptWatch struct {
	stream      *msgstream.MeshStream
	cancel      context.CancelFunc
	nextMessage chan readResult // receives exactly one value

	mu          sync.Mutex
	hasReceived bool
	ended       bool
	abandoned   bool
}

// readResult is the result of a read of a stream.
type readResult struct {
	message *wire.Envelope
	err     error
}

// watchAttempt starts to read from a stream whose attempt has been received completely.
func watchAttempt(stream *msgstream.MeshStream, cancel context.CancelFunc) *attemptWatch {
	w := &attemptWatch{stream: stream, cancel: cancel, nextMessage: make(chan readResult, 1)}
	go w.run()
	return w
}

func (w *attemptWatch) run() {
	message, err := w.stream.ReceiveAny()
	w.mu.Lock()
	w.hasReceived = true
	ended, abandoned := w.ended, w.abandoned
	w.mu.Unlock()
	if !ended {
		w.cancel()
	}
	if abandoned {
		w.stream.ReleaseReader()
	}
	w.nextMessage <- readResult{message, err}
}

// end is called just before the last message of the attempt is sent. It returns false
// when the read has already ended, by a protocol violation or the end of the stream.
func (w *attemptWatch) end() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = !w.hasReceived
	return w.ended
}

// abandon releases the reader's buffer as soon as it is no longer used. The stream carries
// no other attempt.
func (w *attemptWatch) abandon() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.abandoned = true
	if w.hasReceived {
		w.stream.ReleaseReader()
	}
}

// serveAttempts serves the attempts of a stream one after the other. Before it closes a
// stream that the entry node may reuse, it tells the entry node that no further attempt is
// accepted on it, because the entry node may already have written the next head.
func (n *Node) serveAttempts(ctx context.Context, raw *mesh.Accepted, stream *msgstream.MeshStream, first *wire.Envelope) {
	defer stream.Close()
	defer stream.ReleaseWriter()
	for {
		id := first.GetAttemptId()
		stream.BindAttempt(id)
		r := n.newReceivedAttempt(stream, id, first.GetRequestHead())
		isReusable := r.serve(ctx)
		if r.watch == nil {
			return
		}
		if !isReusable {
			r.watch.abandon()
			if r.endedCleanly {
				rejectFurtherAttempts(stream)
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

// nextHead waits for the head of the next attempt of a stream. It returns nil when no
// further attempt may be served.
func (n *Node) nextHead(raw *mesh.Accepted, previous *receivedAttempt) *wire.Envelope {
	stream := previous.watch.stream
	raw.Shrink()
	if !raw.EndExchange() {
		rejectFurtherAttempts(stream)
		return nil
	}
	next := <-previous.watch.nextMessage
	if !raw.BeginExchange() {
		rejectFurtherAttempts(stream)
		return nil
	}
	if next.err != nil || !isRequestHead(next.message) || bytes.Equal(next.message.GetAttemptId(), previous.id) {
		return nil
	}
	return next.message
}

func isRequestHead(message *wire.Envelope) bool {
	return message.GetRequestHead() != nil && len(message.GetAttemptId()) == attemptIDBytes
}

// rejectFurtherAttempts tells the entry node that no further attempt is run from the
// stream. The message has no attempt ID, since the ID of the next attempt is not known.
func rejectFurtherAttempts(stream *msgstream.MeshStream) {
	stream.BindAttempt(nil)
	_ = sendAndFlush(stream, refused(&wire.Refused{NotRun: true}))
}

// rejectsFurtherAttempts reports whether the first message received for an attempt is the
// one that rejectFurtherAttempts sends.
func rejectsFurtherAttempts(message *wire.Envelope, err error) bool {
	return errors.Is(err, frame.ErrAttemptMismatch) && len(message.GetAttemptId()) == 0 && message.GetRefused().GetNotRun()
}
