package mesh

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// echoExchanges echoes one byte in each exchange until the stream or the server ends. An
// exchange with the byte 0 lasts until the connection ends.
func echoExchanges(ctx context.Context, stream net.Conn) {
	accepted := stream.(*Accepted)
	message := make([]byte, 1)
	for isFirst := true; ; isFirst = false {
		if !isFirst && !accepted.EndExchange() {
			return
		}
		if _, err := io.ReadFull(stream, message); err != nil || !isFirst && !accepted.BeginExchange() {
			return
		}
		_, _ = stream.Write(message)
		if message[0] == 0 {
			<-ctx.Done()
		}
	}
}

// openAndEcho opens or reuses a stream, completes one exchange with the byte on it and
// returns the stream.
func openAndEcho(t *testing.T, client *Client, address string, value byte) *Stream {
	stream, err := client.OpenOrReuse(context.Background(), address, Small)
	assert.NilError(t, err)
	message := []byte{value}
	_, err = stream.Write(message)
	assert.NilError(t, err)
	_, err = io.ReadFull(stream, message)
	assert.NilError(t, err)
	return stream
}

// TestIdleStreams guards against pings for idle streams: without pings neither side
// closes a blackholed connection that has only idle streams. It also guards against an
// unbounded pool, and against a drain that waits for idle streams or does not wait for
// running handlers.
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
	proxy := newBlackholeProxy(t, listener.Addr().String())
	client := newTestClient(t, config)
	address := proxy.listener.Addr().String()
	var streams []*Stream
	for range maxIdleStreams + 2 {
		streams = append(streams, openAndEcho(t, client, address, 1))
	}
	sess := streams[0].session
	for _, stream := range streams {
		stream.Release()
	}
	assert.Equal(t, int(sess.idleCount.Load()), maxIdleStreams)
	reused := openAndEcho(t, client, address, 1)
	assert.Equal(t, reused.Stream, streams[maxIdleStreams-1].Stream, "not the most recently used stream")
	assert.Assert(t, reused.Reused())
	cancelledCtx, cancel := context.WithCancel(context.Background())
	cancel()
	reused.Release()
	stopExpiryTimer(sess)
	// Both sides close the streams that exceed maxIdleStreams.
	waitUntil(t, func() bool { return server.activeHandlerCount() == 0 && sess.NumStreams() == maxIdleStreams })
	proxy.blackholeAll()
	time.Sleep(2 * config.SilenceTimeout)
	assert.Equal(t, client.ClosedSilent(), uint64(0))
	assert.Equal(t, len(server.sessionList()), 1, "the server closed the accepted connection")

	otherClient := newTestClient(t, DefaultConfig())
	idle := openAndEcho(t, otherClient, listener.Addr().String(), 1)
	waitUntil(t, func() bool { return server.activeHandlerCount() == 0 })
	idle.Release()
	openAndEcho(t, otherClient, listener.Addr().String(), 0)
	assert.ErrorIs(t, server.Drain(cancelledCtx), context.Canceled)
	otherClient.Close()
	otherClient = newTestClient(t, DefaultConfig())
	idle = openAndEcho(t, otherClient, listener.Addr().String(), 1)
	waitUntil(t, func() bool { return server.activeHandlerCount() == 0 })
	idle.Release()
	stopExpiryTimer(idle.session)
	assert.NilError(t, server.Drain(context.Background()))
	waitUntil(t, func() bool { return !idle.isReusable() })
	fresh, err := otherClient.OpenOrReuse(context.Background(), listener.Addr().String(), Small)
	assert.NilError(t, err)
	assert.Assert(t, !fresh.Reused(), "stream that the server closed was reused")
}

// stopExpiryTimer stops the timer that closes the idle streams of the session.
func stopExpiryTimer(s *session) {
	s.idlePool.mu.Lock()
	defer s.idlePool.mu.Unlock()
	s.idlePool.expiryTimer.Stop()
}

// activeHandlerCount returns the number of active handlers.
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
	t.Fatal("condition did not become true in time")
}
