package httplisten

import "net/http"

// StrictResponses returns a handler whose responses say nothing that the given handler has not
// chosen. A request for which it has set no status gets a closed connection, where net/http would
// send 200 with an empty body.
func StrictResponses(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tracked := &statusWriter{ResponseWriter: w}
		handler.ServeHTTP(tracked, r)
		if !tracked.hasStatus {
			panic(http.ErrAbortHandler)
		}
	})
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
