package httplisten

import (
	"net"
	"net/http"
)

// StrictResponses returns a handler whose responses say nothing that the given handler has not
// chosen. A request for which it has set no status gets a closed connection, where net/http would
// send 200 with an empty body. A response to HTTP/1.0 that it breaks off by a panic with
// http.ErrAbortHandler is reset: if it states no length, a closed connection would be its regular
// end.
func StrictResponses(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tracked := &statusWriter{ResponseWriter: w}
		defer func() {
			value := recover()
			if value == http.ErrAbortHandler && !r.ProtoAtLeast(1, 1) { //nolint:errorlint // the value that net/http defines
				resetConnection(w)
			}
			if value != nil {
				panic(value)
			}
		}()
		handler.ServeHTTP(tracked, r)
		if !tracked.hasStatus {
			panic(http.ErrAbortHandler)
		}
	})
}

// resetConnection closes the connection of a response so that its peer notices an error.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_ = setLinger(conn, 0)
	_ = conn.Close()
}

// setLinger sets what Close does with unsent data of a TCP connection.
func setLinger(conn net.Conn, seconds int) error {
	lingerer, ok := conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return nil
	}
	return lingerer.SetLinger(seconds)
}

// statusWriter records whether the response has a status.
type statusWriter struct {
	http.ResponseWriter
	hasStatus bool
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.hasStatus = w.hasStatus || status >= http.StatusOK
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *statusWriter) Write(p []byte) (int, error) {
	w.hasStatus = true
	return w.ResponseWriter.Write(p)
}

// FlushError sends what has been written so far, and the head if nothing has. It implements the
// method that http.ResponseController uses.
func (w *statusWriter) FlushError() error {
	w.hasStatus = true
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap returns the response writer of the server for http.ResponseController.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
