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

// TestServe guards against a server that ignores its TLS configuration, its minimum TLS
// version or its limit on the size of headers, and against a graceful shutdown that is
// reported as an error.
func TestServe(t *testing.T) {
	certificateSource := httptest.NewTLSServer(http.NotFoundHandler())
	defer certificateSource.Close()
	server := NewServer(newFixture(t).handler, &tls.Config{Certificates: certificateSource.TLS.Certificates})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	serveErr := make(chan error, 1)
	go func() { serveErr <- Serve(server, listener) }()

	get := func(url string, headerBytes int) (int, error) {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
		assert.NilError(t, err)
		r.Header.Set("Authorization", "Bearer red-token")
		r.Header.Set("Padding", strings.Repeat("x", headerBytes))
		resp, err := certificateSource.Client().Do(r)
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
	oldTLS := &tls.Config{MinVersion: tls.VersionTLS10, MaxVersion: tls.VersionTLS11, InsecureSkipVerify: true} //nolint:gosec // the server must reject it
	_, err = tls.Dial("tcp", address, oldTLS)
	assert.ErrorContains(t, err, "protocol version")

	certificateSource.Client().CloseIdleConnections()
	assert.NilError(t, server.Shutdown(t.Context()))
	assert.NilError(t, <-serveErr)
}
