package emulator

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// HeaderInstance names the instance in the responses of Echo.
const HeaderInstance = "Upstream-Instance"

// Echo answers with the request's method, path and body, after the delay in
// milliseconds that the query parameter delay_ms asks for. It first writes the path
// as one line to log.
func Echo(instance string, log io.Writer) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(log, r.URL.Path+"\n")
		body, _ := io.ReadAll(r.Body)
		if !wait(r) {
			return
		}
		w.Header().Set(HeaderInstance, instance)
		_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.Path, body)
	})
}

// wait returns false when the request was cancelled.
func wait(r *http.Request) bool {
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
