package api

import (
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestServe guards against a server that ignores its TLS configuration or its limit
// on headers, and against a graceful stop that is reported as a failure.
func TestServe(t *testing.T) {
	certified := httptest.NewTLSServer(http.NotFoundHandler())
	defer certified.Close()
	server := NewServer(newFixture(t).handler, &tls.Config{Certificates: certified.TLS.Certificates})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	stopped := make(chan error, 1)
	go func() { stopped <- Serve(server, listener) }()

	get := func(url string, size int) (int, error) {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
		assert.NilError(t, err)
		r.Header.Set("Authorization", "Bearer red-token")
		r.Header.Set("Padding", strings.Repeat("x", size))
		resp, err := certified.Client().Do(r)
		if err != nil {
			return 0, err
		}
		return resp.StatusCode, resp.Body.Close()
	}
	address := listener.Addr().String()
	status, err := get("https://"+address+"/v1/status", 0)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	status, err = get("https://"+address+"/v1/status", 2*maxHeaderBytes)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusRequestHeaderFieldsTooLarge)
	status, err = get("http://"+address+"/v1/status", 0)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusBadRequest)
	old := &tls.Config{MinVersion: tls.VersionTLS10, MaxVersion: tls.VersionTLS11, InsecureSkipVerify: true} //nolint:gosec // the server must refuse it
	_, err = tls.Dial("tcp", address, old)
	assert.ErrorContains(t, err, "protocol version")

	certified.Client().CloseIdleConnections()
	assert.NilError(t, server.Shutdown(t.Context()))
	assert.NilError(t, <-stopped)
}
