package httplisten

import (
	"io"
	"net/http"
	"time"

	"github.com/chicorylever/chicorylever/internal/coordination/memlimit"
)

// bodyCopies is how often a handler that reads a whole body holds it: the growing buffer and the
// decoded form.
const bodyCopies = 4

// CountBodies counts the bodies that next reads as held until it returns. It is for handlers that
// read whole bodies, on a server that Guard protects.
func CountBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer CountBody(r)()
		next.ServeHTTP(w, r)
	})
}

// CountBody counts what is read of the body of a request as held, until the returned function is
// called. Reads fail with a *memlimit.RefusedError when there is no memory.
func CountBody(r *http.Request) (release func()) {
	hold := memlimit.NewHold(memlimit.FromContext(r.Context()))
	if r.Body != nil {
		r.Body = &countedBody{ReadCloser: r.Body, hold: hold}
	}
	return hold.Release
}

type countedBody struct {
	io.ReadCloser
	hold *memlimit.Hold
}

func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if refused := b.hold.Acquire(time.Now(), bodyCopies*int64(n)); refused != nil {
		return 0, refused
	}
	return n, err
}
