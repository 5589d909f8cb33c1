package mesh

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// echoExchanges echoes single bytes, one an exchange, until the stream or the server ends.
// An exchange with a 0 lasts until the connection ends.
func echoExchanges(ctx context.Context, stream net.Conn) {
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
	serverConfig.SlowPingAfter, serverConfig.SlowSilenceTimeout = config.PingAfter, config.SilenceTimeout
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := NewServer(serverConfig, echoExchanges)
	go func() { _ = server.Serve(context.Background(), listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		server.Close()
	})
	r := newBlackholeProxy(t, listener.Addr().String())
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
	assert.Equal(t, int(session.idleCount.Load()), maxIdleStreams)
	again := takeAndEcho(t, client, address, 1)
	assert.Equal(t, again.Stream, streams[maxIdleStreams-1].Stream, "the stream used last")
	assert.Assert(t, again.Reused())
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	again.Keep()
	stopExpiryTimer(session)
	// The streams above the bound are closed by both sides.
	waitUntil(t, func() bool { return server.activeHandlerCount() == 0 && session.NumStreams() == maxIdleStreams })
	r.blackholeAll()
	time.Sleep(2 * config.SilenceTimeout)
	assert.Equal(t, client.Replaced(), uint64(0))
	assert.Equal(t, len(server.sessionList()), 1, "the accepted connection")

	other := newTestClient(t, DefaultConfig())
	idle := takeAndEcho(t, other, listener.Addr().String(), 1)
	waitUntil(t, func() bool { return server.activeHandlerCount() == 0 })
	idle.Keep()
	takeAndEcho(t, other, listener.Addr().String(), 0)
	assert.ErrorIs(t, server.Drain(cancelled), context.Canceled)
	other.Close()
	other = newTestClient(t, DefaultConfig())
	idle = takeAndEcho(t, other, listener.Addr().String(), 1)
	waitUntil(t, func() bool { return server.activeHandlerCount() == 0 })
	idle.Keep()
	stopExpiryTimer(idle.session)
	assert.NilError(t, server.Drain(context.Background()))
	waitUntil(t, func() bool { return !idle.isReusable() })
	fresh, err := other.Take(context.Background(), listener.Addr().String(), Small)
	assert.NilError(t, err)
	assert.Assert(t, !fresh.Reused(), "the server closed the idle stream")
}

// stopExpiryTimer stops the timer that closes idle streams.
func stopExpiryTimer(s *session) {
	s.idlePool.mu.Lock()
	defer s.idlePool.mu.Unlock()
	s.idlePool.expiryTimer.Stop()
}

// activeHandlerCount returns the number of activeHandlerCount handlers.
func (s *Server) activeHandlerCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.activeHandlers
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
