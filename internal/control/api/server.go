package api

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 15 * time.Second
	// writeTimeout covers the longest long poll even if reading the request took all of
	// readTimeout.
	writeTimeout   = MaxWait + readTimeout
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
)

// NewServer returns a server for the handler with timeouts and a limit on the size of
// headers. With a TLS configuration it accepts TLS 1.2 and later.
func NewServer(h http.Handler, tlsConfig *tls.Config) *http.Server {
	if tlsConfig != nil {
		tlsConfig = tlsConfig.Clone()
		tlsConfig.MinVersion = max(tlsConfig.MinVersion, tls.VersionTLS12)
	}
	return &http.Server{
		Handler:           h,
		TLSConfig:         tlsConfig,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Serve accepts connections until the server is shut down, over TLS when the
// server has a TLS configuration. It returns nil after a shutdown.
func Serve(server *http.Server, listener net.Listener) error {
	var err error
	if server.TLSConfig != nil {
		err = server.ServeTLS(listener, "", "")
	} else {
		err = server.Serve(listener)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve the operators' API")
}
