package callerhttp

import (
	"io"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// errUnread ends the reading of a body that the handler did not want and that is too
// long to be dropped.
var errUnread = errors.New("callerhttp: body was not read")

// body is a request body between the goroutine that reads the connection and the
// handler. At most bodyBytes wait in it.
type body struct {
	source io.Reader
	// wanted is closed at the handler's first read. A caller that expects
	// 100-continue sends nothing before.
	wanted     chan struct{}
	wantedOnce sync.Once
	expects    bool
	// proceed asks the caller for the body.
	proceed func()

	mu       sync.Mutex
	changed  *sync.Cond
	data     []byte
	err      error // io.EOF at the end
	closed   bool
	deadline time.Time
	timer    *time.Timer
}

func newBody(source io.Reader, expects bool, proceed func()) *body {
	b := &body{source: source, wanted: make(chan struct{}), expects: expects, proceed: proceed}
	b.changed = sync.NewCond(&b.mu)
	return b
}

// pump reads the body from the connection until its end or that of the exchange. It
// returns nil when the next request may follow.
func (b *body) pump(done <-chan struct{}) error {
	if b.expects {
		select {
		case <-b.wanted:
		case <-done:
			return errUnread
		}
	}
	buffer := make([]byte, 16<<10)
	dropped := 0
	for {
		n, err := b.source.Read(buffer)
		if !b.put(buffer[:n], err) {
			dropped += n
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if dropped > maxDrainBytes {
			return errUnread
		}
	}
}

// put passes data on, waiting while the buffer is full. It returns false when the
// handler takes no more.
func (b *body) put(data []byte, err error) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.data) >= bodyBytes && !b.closed {
		b.changed.Wait()
	}
	if !b.closed {
		b.data = append(b.data, data...)
	}
	if err != nil {
		b.err = err
	}
	b.changed.Broadcast()
	return !b.closed
}

// Read implements io.Reader for the handler.
func (b *body) Read(p []byte) (int, error) {
	b.wantedOnce.Do(func() {
		if b.expects {
			b.proceed()
		}
		close(b.wanted)
	})
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		if len(b.data) > 0 {
			n := copy(p, b.data)
			b.data = b.data[n:]
			b.changed.Broadcast()
			return n, nil
		}
		switch {
		case b.err != nil:
			return 0, b.err
		case b.closed:
			return 0, io.ErrClosedPipe
		case !b.deadline.IsZero() && !time.Now().Before(b.deadline):
			return 0, os.ErrDeadlineExceeded
		}
		b.changed.Wait()
	}
}

// Close implements io.Closer. The rest of the body is dropped.
func (b *body) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.data = nil
	if b.timer != nil {
		b.timer.Stop()
	}
	b.changed.Broadcast()
	return nil
}

// setDeadline makes reads fail with os.ErrDeadlineExceeded from the time on; zero is
// no deadline.
func (b *body) setDeadline(deadline time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.deadline = deadline
	if b.timer != nil {
		b.timer.Stop()
	}
	if !deadline.IsZero() {
		b.timer = time.AfterFunc(time.Until(deadline), b.wake)
	}
	b.changed.Broadcast()
}

func (b *body) wake() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.changed.Broadcast()
}

// isWhole reports whether the whole body was read from the connection.
func (b *body) isWhole() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return errors.Is(b.err, io.EOF)
}
