package mesh

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// serveExchanges echoes single bytes, one an exchange, until the stream or the server ends.
// An exchange with a 0 lasts until the connection ends.
func serveExchanges(ctx context.Context, stream net.Conn) {
	accepted := stream.(*Accepted)
	message := make([]byte, 1)
	for isFirst := true; ; isFirst = false {
		if !isFirst && !accepted.Idle() {
			return
		}
		if _, err := io.ReadFull(stream, message); err != nil || !isFirst && !accepted.Busy() {
			return
		}
		_, _ = stream.Write(message)
		if message[0] == 0 {
			<-ctx.Done()
		}
	}
}

func takeAndEcho(t *testing.T, client *Client, address string, value byte) *Stream {
	stream, err := client.Take(context.Background(), address, Small)
	assert.NilError(t, err)
	message := []byte{value}
	_, err = stream.Write(message)
	assert.NilError(t, err)
	_, err = io.ReadFull(stream, message)
	assert.NilError(t, err)
	return stream
}

// TestIdleStreams guards against idle streams that cause pings, without which a muted
// connection with no work is left alone by both sides, against an unbounded pool, and
// against a drain that waits for idle streams or does not wait for running work.
func TestIdleStreams(t *testing.T) {
	t.Parallel()
	config := DefaultConfig()
	serverConfig := DefaultConfig()
	serverConfig.SlowPingAfter, serverConfig.SlowDeadAfter = config.PingAfter, config.DeadAfter
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := NewServer(serverConfig, serveExchanges)
	go func() { _ = server.Serve(context.Background(), listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		server.Close()
	})
	r := newRelay(t, listener.Addr().String())
	client := newTestClient(t, config)
	address := r.listener.Addr().String()
	var streams []*Stream
	for range maxIdleStreams + 2 {
		streams = append(streams, takeAndEcho(t, client, address, 1))
	}
	session := streams[0].session
	for _, stream := range streams {
		stream.Keep()
	}
	assert.Equal(t, int(session.idle.Load()), maxIdleStreams)
	again := takeAndEcho(t, client, address, 1)
	assert.Equal(t, again.Stream, streams[maxIdleStreams-1].Stream, "the stream used last")
	assert.Assert(t, again.Reused())
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	again.Keep()
	keepIdle(session)
	// The streams above the bound are closed by both sides.
	waitUntil(t, func() bool { return server.running() == 0 && session.NumStreams() == maxIdleStreams })
	r.muteAll()
	time.Sleep(2 * config.DeadAfter)
	assert.Equal(t, client.Replaced(), uint64(0))
	assert.Equal(t, len(server.list()), 1, "the accepted connection")

	other := newTestClient(t, DefaultConfig())
	idle := takeAndEcho(t, other, listener.Addr().String(), 1)
	waitUntil(t, func() bool { return server.running() == 0 })
	idle.Keep()
	takeAndEcho(t, other, listener.Addr().String(), 0)
	assert.ErrorIs(t, server.Drain(cancelled), context.Canceled)
	other.Close()
	other = newTestClient(t, DefaultConfig())
	idle = takeAndEcho(t, other, listener.Addr().String(), 1)
	waitUntil(t, func() bool { return server.running() == 0 })
	idle.Keep()
	keepIdle(idle.session)
	assert.NilError(t, server.Drain(context.Background()))
	waitUntil(t, func() bool { return !idle.isOpen() })
	fresh, err := other.Take(context.Background(), listener.Addr().String(), Small)
	assert.NilError(t, err)
	assert.Assert(t, !fresh.Reused(), "the server closed the idle stream")
}

// keepIdle stops the timer that closes idle streams.
func keepIdle(s *session) {
	s.idleStreams.mu.Lock()
	defer s.idleStreams.mu.Unlock()
	s.idleStreams.timer.Stop()
}

// running returns the number of running handlers.
func (s *Server) running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for range 4000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("condition does not become true")
}
