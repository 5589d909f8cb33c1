// Package mesh carries streams between the project's processes: yamux sessions
// over TCP or TLS, pooled by peer and traffic class, with detection of
// connections that have gone silent.
package mesh

import (
	"crypto/tls"
	"io"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
)

// Class separates traffic so that bulk transfers do not delay small requests on
// the same TCP connection.
type Class int

const (
	// Small carries requests whose body is held whole, and control traffic.
	Small Class = iota
	// Bulk carries streamed bodies.
	Bulk
)

var (
	// ErrClosed reports use of a client that was closed.
	ErrClosed = errors.New("mesh: closed")
	// ErrDial reports that no connection to the peer could be opened.
	ErrDial = errors.New("mesh: dial failed")
	// ErrOpen reports that no stream could be opened on a connection.
	ErrOpen = errors.New("mesh: open stream failed")
)

// Config holds the settings of a mesh endpoint.
type Config struct {
	// TLS secures connections when it is not nil.
	TLS *tls.Config
	// DialTimeout bounds opening a connection.
	DialTimeout time.Duration
	// PingAfter is the silence on a connection with open streams that causes a ping.
	PingAfter time.Duration
	// DeadAfter is the silence on a connection with open streams after which it is closed.
	DeadAfter time.Duration
	// MaxStreams bounds the streams that one accepted connection may hold open.
	MaxStreams int
}

// DefaultConfig detects a silent connection in about one second.
func DefaultConfig() Config {
	return Config{
		DialTimeout: time.Second,
		PingAfter:   300 * time.Millisecond,
		DeadAfter:   900 * time.Millisecond,
		MaxStreams:  4096,
	}
}

func (c Config) yamux() *yamux.Config {
	config := yamux.DefaultConfig()
	// The watchdog pings only connections with open streams, which keeps idle
	// connections free of traffic.
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = c.DeadAfter
	config.StreamOpenTimeout = 0
	config.StreamCloseTimeout = time.Minute
	config.AcceptBacklog = 1024
	config.LogOutput = io.Discard
	return config
}
