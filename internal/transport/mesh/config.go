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

// Class separates traffic with different needs; each class of a peer has its own
// TCP connection.
type Class int

const (
	// Small carries requests whose body is held whole.
	Small Class = iota
	// Bulk carries streamed bodies, so that they do not delay small requests.
	Bulk
	// Control carries long-lived streams that are mostly idle. A silent connection
	// is found later, which keeps the traffic of idle streams low.
	Control
	// ControlCall carries short requests to a control member.
	ControlCall
)

var (
	// ErrClosed reports use of a client that was closed.
	ErrClosed = errors.New("mesh: closed")
	// ErrDial reports that no connection to the peer could be opened.
	ErrDial = errors.New("mesh: dial failed")
	// ErrOpen reports that no stream could be opened on a connection.
	ErrOpen = errors.New("mesh: open stream failed")
	// ErrHandshake reports a peer that speaks another protocol or version, or
	// whose certificate is for another identity.
	ErrHandshake = errors.New("mesh: handshake failed")
)

// IsRejected reports whether an error of the first read of a stream says that the peer
// never accepted the stream, because it is stopping or has too many. After a peer has
// accepted a stream it always ends it with an end of file first.
func IsRejected(err error) bool { return errors.Is(err, yamux.ErrConnectionReset) }

// Config holds the settings of a mesh endpoint.
type Config struct {
	// TLS secures connections when it is not nil; see LoadTLS.
	TLS *tls.Config
	// Identity is sent to the peer when a connection opens, at most 255 bytes. With
	// TLS it must be a name in the certificate.
	Identity string
	// DialsControl is set by a process that dials control members only: its client
	// requires the role of each server, whatever the class.
	DialsControl bool
	// PeerRefused is called for each dialled server that lacks the role of a control
	// member, when it is not nil. It must not block.
	PeerRefused func(err *PermissionError)
	// DialTimeout bounds opening a connection, the handshake included.
	DialTimeout time.Duration
	// PingAfter is the silence on a connection with open streams that causes a ping.
	PingAfter time.Duration
	// SilenceTimeout is the silence on a connection with open streams after which it is closed.
	SilenceTimeout time.Duration
	// SlowPingAfter and SlowDeadAfter replace PingAfter and DeadAfter on accepted
	// connections and for the Control class.
	SlowPingAfter      time.Duration
	SlowSilenceTimeout time.Duration
	// IdleTimeout closes a dialled connection that had no stream for that long.
	IdleTimeout time.Duration
	// MaxStreams bounds the streams that one accepted connection may hold open.
	MaxStreams int
	// MaxSessions bounds the accepted connections of a server.
	MaxSessions int
}

// DefaultConfig detects a silent connection in about one second.
func DefaultConfig() Config {
	return Config{
		DialTimeout:        500 * time.Millisecond,
		PingAfter:          300 * time.Millisecond,
		SilenceTimeout:     900 * time.Millisecond,
		SlowPingAfter:      time.Second,
		SlowSilenceTimeout: 3 * time.Second,
		IdleTimeout:        5 * time.Minute,
		MaxStreams:         4096,
		MaxSessions:        16384,
	}
}

// silenceLimits returns the ping and dead times of a dialled connection.
func (c Config) silenceLimits(class Class) (ping, dead time.Duration) {
	if class == Control {
		return c.SlowPingAfter, c.SlowSilenceTimeout
	}
	return c.PingAfter, c.SilenceTimeout
}

func (c Config) yamuxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	// The watchdog pings only connections with open streams, which keeps idle
	// connections free of traffic.
	config.EnableKeepAlive = false
	// The watchdog closes a connection that makes no progress. A write that only
	// waits for its turn behind others is no fault of the connection.
	config.ConnectionWriteTimeout = 10 * time.Second
	config.StreamOpenTimeout = 0
	config.StreamCloseTimeout = time.Minute
	config.AcceptBacklog = 1024
	config.LogOutput = io.Discard
	return config
}
