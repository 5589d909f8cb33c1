// Package mesh carries streams between the project's processes: yamux sessions
// over TCP or TLS, pooled by peer and traffic class, with detection of silent
// connections. A connection is silent when no byte arrives from the peer, not even the
// response to a ping.
package mesh

import (
	"crypto/tls"
	"io"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/memlimit"
)

// Class is a traffic class. Each class of a peer has its own TCP connection.
type Class int

const (
	// Small carries requests whose body is buffered completely.
	Small Class = iota
	// Bulk carries streamed bodies, so that they do not delay small requests.
	Bulk
	// Control carries long-lived streams that are mostly idle. Silent connections are
	// detected later, which keeps the ping traffic of idle streams low.
	Control
	// ControlCall carries short requests to a control member.
	ControlCall
)

var (
	// ErrClosed reports use of a client that was closed.
	ErrClosed = errors.New("mesh: client closed")
	// ErrDial reports that no connection to the peer could be opened.
	ErrDial = errors.New("mesh: dial failed")
	// ErrOpen reports that no stream could be opened on a connection.
	ErrOpen = errors.New("mesh: open stream failed")
	// ErrHandshake reports a peer that uses another protocol or version, or whose
	// certificate is for another identity.
	ErrHandshake = errors.New("mesh: handshake failed")
)

// IsRejected reports whether err, returned by the first read of a stream, means that the
// peer never accepted the stream, because the peer is stopping or has too many streams.
// A peer that has accepted a stream always ends it with EOF first.
func IsRejected(err error) bool { return errors.Is(err, yamux.ErrConnectionReset) }

// Config holds the settings of a mesh endpoint.
type Config struct {
	// TLS secures connections when it is not nil; see LoadTLS.
	TLS *tls.Config
	// Identity is sent to the peer in the handshake; it has at most 255 bytes. With TLS
	// it must be a name in the certificate.
	Identity string
	// RequireControlServer makes the client require every server to be a control member,
	// for all classes. It is set by a process that dials control members only.
	RequireControlServer bool
	// OnServerRefused, unless nil, is called for each dialled server that is required to be
	// a control member and whose certificate lacks that role. It must not block.
	OnServerRefused func(err *PermissionError)
	// DialTimeout bounds opening a connection, the handshake included.
	DialTimeout time.Duration
	// PingAfter is the time without received bytes after which a connection with active
	// streams is pinged.
	PingAfter time.Duration
	// SilenceTimeout is the time without received bytes after which the active streams of a
	// connection fail, except those that tolerate silence.
	SilenceTimeout time.Duration
	// DeadTimeout is the time without received bytes after which a dialled connection is
	// closed, with the streams that tolerate silence.
	DeadTimeout time.Duration
	// SlowPingAfter and SlowSilenceTimeout replace PingAfter and SilenceTimeout on accepted
	// connections and for the Control class.
	SlowPingAfter      time.Duration
	SlowSilenceTimeout time.Duration
	// IdleTimeout is the time without streams after which a dialled connection is closed.
	IdleTimeout time.Duration
	// MaxStreams bounds the open streams of one accepted connection.
	MaxStreams int
	// MaxSessions bounds the accepted connections of a server.
	MaxSessions int
	// Ledger counts what a server holds for its accepted connections, and decides which of
	// them are closed; nil counts nothing.
	Ledger *memlimit.Ledger
}

// DefaultConfig returns the default settings, which detect a silent connection in about
// one second.
func DefaultConfig() Config {
	return Config{
		DialTimeout:        500 * time.Millisecond,
		PingAfter:          300 * time.Millisecond,
		SilenceTimeout:     900 * time.Millisecond,
		DeadTimeout:        3 * time.Second,
		SlowPingAfter:      time.Second,
		SlowSilenceTimeout: 3 * time.Second,
		IdleTimeout:        5 * time.Minute,
		MaxStreams:         4096,
		MaxSessions:        16384,
	}
}

// silenceLimits are the times without received bytes after which the watchdog acts.
type silenceLimits struct {
	pingAfter, silent, dead time.Duration
}

// dialledLimits returns the limits of a dialled connection.
func (c Config) dialledLimits(class Class) silenceLimits {
	if class == Control {
		return c.acceptedLimits()
	}
	return silenceLimits{pingAfter: c.PingAfter, silent: c.SilenceTimeout, dead: max(c.SilenceTimeout, c.DeadTimeout)}
}

// acceptedLimits returns the limits of an accepted connection.
func (c Config) acceptedLimits() silenceLimits {
	return silenceLimits{pingAfter: c.SlowPingAfter, silent: c.SlowSilenceTimeout, dead: c.SlowSilenceTimeout}
}

func (c Config) yamuxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	// The watchdog pings only connections with active streams, which keeps idle
	// connections free of traffic.
	config.EnableKeepAlive = false
	// The watchdog closes a connection that makes no progress. A write that waits
	// behind other queued writes does not mean that the connection has failed.
	config.ConnectionWriteTimeout = 10 * time.Second
	config.StreamOpenTimeout = 0
	config.StreamCloseTimeout = time.Minute
	config.AcceptBacklog = 1024
	config.LogOutput = io.Discard
	return config
}
