package node

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/memlimit"
)

// bufferBody reads the body into memory when it has at most maxBufferedBodyBytes, and
// otherwise prepares to stream it.
func (c *call) bufferBody(w http.ResponseWriter) error {
	if c.request.Body == nil || c.request.Body == http.NoBody || c.bodyLength == 0 {
		c.bodyLength = 0
		return nil
	}
	if err := c.hold.Acquire(time.Now(), c.bodyMemory()); err != nil {
		return err
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(c.deadline)
	body := http.MaxBytesReader(w, c.request.Body, c.limits.MaxBodyBytes)
	if c.bodyLength > maxBufferedBodyBytes {
		c.startStreaming(controller, body)
		return nil
	}
	if c.bodyLength > 0 {
		c.body = make([]byte, c.bodyLength)
		_, err := io.ReadFull(body, c.body)
		return finishBufferedRead(controller, err)
	}
	var buffered bytes.Buffer
	_, err := io.CopyN(&buffered, body, maxBufferedBodyBytes+1)
	c.body = buffered.Bytes()
	if errors.Is(err, io.EOF) {
		c.bodyLength = int64(len(c.body))
		return finishBufferedRead(controller, nil)
	}
	c.startStreaming(controller, body)
	return err
}

// bodyMemory returns the bytes that are held for the body.
func (c *call) bodyMemory() int64 {
	if c.bodyLength < 0 || c.bodyLength > maxBufferedBodyBytes {
		return memlimit.BodyCopies * maxBufferedBodyBytes
	}
	return memlimit.BodyCopies * c.bodyLength
}

// finishBufferedRead removes the read deadline after a buffered body was read. Otherwise
// the deadline would end the read by which the HTTP server detects that the caller has
// closed its connection. After a failed read the deadline stays; the HTTP server removes
// it before it reuses the connection.
func finishBufferedRead(controller *http.ResponseController, err error) error {
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
	}
	return err
}

// startStreaming lets the body be read while the response is written. HTTP/1.1 servers
// otherwise read the rest of a body before they write.
func (c *call) startStreaming(controller *http.ResponseController, bodyRest io.Reader) {
	_ = controller.EnableFullDuplex()
	c.streamed, c.bodyRest = true, bodyRest
	c.abortBodyRead = func() {
		if c.request.Context().Err() == nil {
			c.bodyReadAborted.Store(true)
		}
		_ = controller.SetReadDeadline(time.Unix(1, 0))
	}
}

// hasCallerLeft reports whether the caller has closed its connection, as far as the context of
// the call tells: after abortBodyRead, and once the read deadline of the body has passed, it does
// not.
func (c *call) hasCallerLeft(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled) && !c.bodyReadAborted.Load() && !c.isDeadlinePassed()
}

func (c *call) isDeadlinePassed() bool { return !time.Now().Before(c.deadline) }

// streamedBodyReader returns a reader of the whole body.
func (c *call) streamedBodyReader() io.Reader {
	return io.MultiReader(bytes.NewReader(c.body), c.bodyRest)
}
