package callerhttp

import (
	"io"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/memlimit"
)

// errBodyNotRead reports that the handler did not read the request body and that the rest is
// not discarded: it is too long, or the caller still expects 100 Continue before it sends it.
var errBodyNotRead = errors.New("callerhttp: handler did not read the request body")

// requestBody passes a request body from the goroutine that reads the connection to the
// handler. It buffers at most about maxBufferedBodyBytes.
type requestBody struct {
	source io.Reader
	// readStarted is closed at the first read by the handler. A caller that expects
	// 100-continue sends no body before then.
	readStarted     chan struct{}
	readStartedOnce sync.Once
	expectsContinue bool
	// sendContinue sends the 100 Continue response, which asks the caller for the body.
	sendContinue func()
	// account counts the bytes of buffered; nil counts nothing.
	account *memlimit.Account
	// array is the memory of buffered, and counted the number of bytes counted for it.
	array   []byte
	counted int64

	mu       sync.Mutex
	cond     *sync.Cond
	buffered []byte
	err      error // io.EOF at the end of the body
	closed   bool  // set by Close
	deadline time.Time
	timer    *time.Timer // wakes waiting reads at the deadline
}

func newRequestBody(source io.Reader, expectsContinue bool, sendContinue func()) *requestBody {
	b := &requestBody{source: source, readStarted: make(chan struct{}), expectsContinue: expectsContinue, sendContinue: sendContinue}
	b.cond = sync.NewCond(&b.mu)
	return b
}

// readFromConn reads the body from the connection until the body ends or reading must
// stop. It returns nil when the connection can be used for the next request.
func (b *requestBody) readFromConn(exchangeDone <-chan struct{}) error {
	if b.expectsContinue {
		select {
		case <-b.readStarted:
		case <-exchangeDone:
			return errBodyNotRead
		}
	}
	b.count(bodyBufferBytes)
	defer b.release(bodyBufferBytes)
	buffer := make([]byte, bodyBufferBytes)
	discarded := 0
	for {
		n, err := b.source.Read(buffer)
		if !b.appendData(buffer[:n], err) {
			discarded += n
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if discarded > maxDiscardedBodyBytes {
			return errBodyNotRead
		}
	}
}

// appendData adds data and the error of the connection for the handler to read; it waits
// while the buffer is full. It returns false when the handler has closed the body.
func (b *requestBody) appendData(data []byte, err error) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.closed && !b.mayBufferLocked(len(data)) {
		b.cond.Wait()
	}
	if !b.closed {
		b.buffered = append(b.buffered, data...)
	}
	if err != nil {
		b.err = err
	}
	b.cond.Broadcast()
	return !b.closed
}

// Read implements io.Reader for the handler.
func (b *requestBody) Read(p []byte) (int, error) {
	b.readStartedOnce.Do(func() {
		if b.expectsContinue {
			b.sendContinue()
		}
		close(b.readStarted)
	})
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		if len(b.buffered) > 0 {
			n := copy(p, b.buffered)
			b.buffered = b.buffered[n:]
			if len(b.buffered) == 0 {
				b.emptyLocked()
			}
			b.cond.Broadcast()
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
		b.cond.Wait()
	}
}

// Close implements io.Closer. The rest of the body is discarded.
func (b *requestBody) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.dropLocked()
	if b.timer != nil {
		b.timer.Stop()
	}
	b.cond.Broadcast()
	return nil
}

// setDeadline makes reads fail with os.ErrDeadlineExceeded after the deadline. A zero
// deadline means none.
func (b *requestBody) setDeadline(deadline time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.deadline = deadline
	if b.timer != nil {
		b.timer.Stop()
	}
	if !deadline.IsZero() {
		b.timer = time.AfterFunc(time.Until(deadline), b.wakeReaders)
	}
	b.cond.Broadcast()
}

// wakeReaders makes waiting reads check the deadline again.
func (b *requestBody) wakeReaders() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cond.Broadcast()
}

// isFullyRead reports whether the whole body was read from the connection.
func (b *requestBody) isFullyRead() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return errors.Is(b.err, io.EOF)
}

// mayBufferLocked makes room for size bytes and counts it. It returns false when the buffer may
// not grow. An empty buffer always may, so that the body advances when memory is short.
func (b *requestBody) mayBufferLocked(size int) bool {
	needed := len(b.buffered) + size
	switch {
	case len(b.buffered) >= maxBufferedBodyBytes:
		return false
	case needed <= cap(b.buffered):
		return true
	}
	bytes := bufferGrowth * int64(needed)
	if len(b.buffered) == 0 {
		b.count(bytes)
	} else if b.account != nil && !b.account.TryAcquire(bytes) {
		return false
	}
	b.array = make([]byte, 0, bytes)
	b.buffered = append(b.array, b.buffered...)
	b.release(b.counted)
	b.counted = bytes
	return true
}

// emptyLocked keeps a small buffer for the next bytes and releases a larger one.
func (b *requestBody) emptyLocked() {
	if b.counted > maxKeptBufferBytes {
		b.dropLocked()
		return
	}
	b.buffered = b.array[:0]
}

// dropLocked releases the buffer.
func (b *requestBody) dropLocked() {
	b.buffered, b.array = nil, nil
	b.release(b.counted)
	b.counted = 0
}

func (b *requestBody) count(bytes int64) {
	if b.account != nil {
		b.account.Force(bytes)
	}
}

func (b *requestBody) release(bytes int64) {
	if b.account != nil && bytes > 0 {
		b.account.Release(bytes)
	}
}
