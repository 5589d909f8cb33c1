package emulator

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// HeaderInstance is the response header in which Echo names its instance.
const HeaderInstance = "Upstream-Instance"

// Echo returns a handler that responds with the request's method, path and body after a
// delay of delay_ms milliseconds, a query parameter. Before the delay it writes the path as
// one line to requestLog.
func Echo(instance string, requestLog io.Writer) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(requestLog, r.URL.Path+"\n")
		body, _ := io.ReadAll(r.Body)
		if !waitRequestedDelay(r) {
			return
		}
		w.Header().Set(HeaderInstance, instance)
		_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.Path, body)
	})
}

// waitRequestedDelay waits for the delay that the query parameter delay_ms requests. It
// returns false if the request was cancelled meanwhile.
func waitRequestedDelay(r *http.Request) bool {
	ms, err := strconv.Atoi(r.URL.Query().Get("delay_ms"))
	if err != nil {
		return true
	}
	select {
	case <-time.After(time.Duration(ms) * time.Millisecond):
		return true
	case <-r.Context().Done():
		return false
	}
}
