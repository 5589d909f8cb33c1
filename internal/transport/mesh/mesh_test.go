package mesh

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"io"
	"math/big"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// startServer runs a server with the handler until the test ends and returns its address.
func startServer(t *testing.T, config Config, handler Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := NewServer(config, handler)
	go func() { _ = server.Serve(context.Background(), listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		server.Close()
	})
	return listener.Addr().String()
}

func echoHandler(_ context.Context, stream net.Conn) {
	_, _ = io.Copy(stream, stream)
}

func newTestClient(t *testing.T, config Config) *Client {
	client := NewClient(config)
	t.Cleanup(client.Close)
	return client
}

// exchange sends the message on a new stream and expects the same bytes back.
func exchange(client *Client, address string, class Class, message []byte) error {
	stream, err := client.Open(context.Background(), address, class)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	if _, err := stream.Write(message); err != nil {
		return err
	}
	reply := make([]byte, len(message))
	if _, err := io.ReadFull(stream, reply); err != nil {
		return err
	}
	if !bytes.Equal(reply, message) {
		return io.ErrNoProgress
	}
	return nil
}

// blackholeProxy forwards connections. A blackholed connection still accepts bytes but
// forwards none in either direction, like one whose connection-tracking entry was lost.
type blackholeProxy struct {
	listener   net.Listener
	target     string
	blackholes sync.Map // one *atomic.Bool as key for each connection
}

func newBlackholeProxy(t *testing.T, target string) *blackholeProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &blackholeProxy{listener: listener, target: target}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			clientConn, err := listener.Accept()
			if err != nil {
				return
			}
			serverConn, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			blackholed := &atomic.Bool{}
			r.blackholes.Store(blackholed, nil)
			go forward(serverConn, clientConn, blackholed)
			go forward(clientConn, serverConn, blackholed)
		}
	}()
	return r
}

// forward copies bytes until a read fails. While the connection is blackholed it drops the
// bytes and does not pass on the close.
func forward(to, from net.Conn, blackholed *atomic.Bool) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			if !blackholed.Load() {
				_ = to.Close()
			}
			return
		}
		if !blackholed.Load() {
			_, _ = to.Write(buffer[:n])
		}
	}
}

// blackholeAll blackholes the existing connections; later connections work.
func (r *blackholeProxy) blackholeAll() {
	r.blackholes.Range(func(blackholed, _ any) bool {
		blackholed.(*atomic.Bool).Store(true)
		return true
	})
}

// TestSilentConnection guards against requests that hang on a connection whose packets
// are dropped without an error, and against reuse of that connection.
func TestSilentConnection(t *testing.T) {
	t.Parallel()
	proxy := newBlackholeProxy(t, startServer(t, DefaultConfig(), echoHandler))
	client := newTestClient(t, DefaultConfig())
	address := proxy.listener.Addr().String()
	assert.NilError(t, exchange(client, address, Small, []byte("before")))
	proxy.blackholeAll()
	assert.Assert(t, exchange(client, address, Small, []byte("silent")) != nil)
	assert.NilError(t, exchange(client, address, Small, []byte("after")))
	assert.Equal(t, client.ClosedSilent(), uint64(1))
}

// TestFailedConnectionEndsTolerantStreams guards against exchanges that tolerate silence and wait
// until the connection counts as dead, although the peer responds on new connections.
func TestFailedConnectionEndsTolerantStreams(t *testing.T) {
	t.Parallel()
	config := DefaultConfig()
	proxy := newBlackholeProxy(t, startServer(t, config, echoHandler))
	client := newTestClient(t, config)
	start := time.Now() // a silence may begin as soon as the stream is open
	stream, err := client.OpenNew(context.Background(), proxy.listener.Addr().String(), Small)
	assert.NilError(t, err)
	stream.TolerateSilence()
	proxy.blackholeAll()
	_, err = stream.Write([]byte("lost"))
	assert.NilError(t, err)
	_, err = stream.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	assert.Assert(t, time.Since(start) >= config.SilenceTimeout)
	assert.Assert(t, time.Since(start) < config.DeadTimeout, "%s", time.Since(start))
	assert.Equal(t, client.ClosedSilent(), uint64(1))
}

// TestSilenceFailsOtherStreams guards against exchanges that can be repeated and wait for a silent
// peer because another exchange on their connection tolerates the silence.
func TestSilenceFailsOtherStreams(t *testing.T) {
	t.Parallel()
	config := DefaultConfig()
	proxy := newBlackholeProxy(t, startServer(t, config, echoHandler))
	client := newTestClient(t, config)
	proxyAddress := proxy.listener.Addr().String()
	start := time.Now() // a silence may begin as soon as a stream is open
	tolerant, err := client.OpenNew(context.Background(), proxyAddress, Small)
	assert.NilError(t, err)
	tolerant.TolerateSilence()
	other, err := client.OpenNew(context.Background(), proxyAddress, Small)
	assert.NilError(t, err)
	proxy.blackholeAll()
	assert.NilError(t, proxy.listener.Close(), "no new connections, as to a stalled peer")
	ended := make(chan time.Duration, 2)
	for _, stream := range []*Stream{other, tolerant} {
		_, err = stream.Write([]byte("silent"))
		assert.NilError(t, err)
		go func() {
			_, _ = stream.Read(make([]byte, 1))
			ended <- time.Since(start)
			_ = stream.Close()
		}()
	}
	first, second := <-ended, <-ended
	assert.Assert(t, first >= config.SilenceTimeout && first < config.DeadTimeout, "%s", first)
	assert.Assert(t, second >= config.DeadTimeout, "%s", second)
}

// TestLongRequestKeepsConnection guards against closing a connection as silent while the
// peer is processing a long request.
func TestLongRequestKeepsConnection(t *testing.T) {
	t.Parallel()
	config := DefaultConfig()
	address := startServer(t, config, func(ctx context.Context, stream net.Conn) {
		time.Sleep(2 * config.SilenceTimeout)
		echoHandler(ctx, stream)
	})
	client := newTestClient(t, config)
	assert.NilError(t, exchange(client, address, Small, []byte("long request")))
	assert.Equal(t, client.ClosedSilent(), uint64(0))
}

// TestHungDial guards against a hung dial that delays streams to other peers, does not
// return when its request is cancelled, or outlives the client.
func TestHungDial(t *testing.T) {
	t.Parallel()
	hungListener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = hungListener.Close() })
	config := DefaultConfig()
	config.DialTimeout = time.Hour
	client := newTestClient(t, config)
	ctx, cancel := context.WithCancel(context.Background())
	openErr := make(chan error)
	go func() {
		_, err := client.Open(ctx, hungListener.Addr().String(), Small)
		openErr <- err
	}()
	assert.NilError(t, exchange(client, startServer(t, DefaultConfig(), echoHandler), Small, []byte("other peer")))
	cancel()
	assert.ErrorIs(t, <-openErr, ErrDial)
}

// TestIdleTimeoutRace guards against closing an idle connection while a stream is opened
// on it. With a timeout of 1 ns a connection may close before it has a stream; the
// exchange then fails with ErrOpen and nothing was sent.
func TestIdleTimeoutRace(t *testing.T) {
	t.Parallel()
	config := DefaultConfig()
	config.IdleTimeout = time.Nanosecond
	client := newTestClient(t, config)
	address := startServer(t, DefaultConfig(), echoHandler)
	for range 300 {
		err := exchange(client, address, Small, []byte("message"))
		assert.Assert(t, err == nil || errors.Is(err, ErrOpen), "%v", err)
	}
}

// TestFrameCoalescing guards against frames that are coalesced or buffered in the wrong
// order. A message of 12 bytes that looks like a frame header must not be buffered.
func TestFrameCoalescing(t *testing.T) {
	t.Parallel()
	client := newTestClient(t, DefaultConfig())
	address := startServer(t, DefaultConfig(), echoHandler)
	fakeHeader := []byte{0, yamuxTypeWindow, 0, yamuxFlagSYN, 0, 0, 0, 9, 0, 0, 0, 0}
	var group sync.WaitGroup
	for i := range 200 {
		message := bytes.Repeat([]byte{byte(i)}, 1<<(i%20))
		if i%3 == 0 {
			message = fakeHeader
		}
		group.Go(func() {
			assert.Check(t, exchange(client, address, Class(i%2), message))
		})
	}
	group.Wait()
	assert.NilError(t, exchange(client, address, Small, fakeHeader), "single message that looks like a frame header, with no later frame to flush it")
}

// newCertificate returns a certificate for the identity. Without an authority the
// certificate is self-signed and is itself a certificate authority.
func newCertificate(t *testing.T, identity string, authority *tls.Certificate) tls.Certificate {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: identity},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: authority == nil, BasicConstraintsValid: true,
	}
	parent, signer := template, any(key)
	if authority != nil {
		parent, signer = authority.Leaf, authority.PrivateKey
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	assert.NilError(t, err)
	leaf, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key, Leaf: leaf}
}

// TestHandshake guards against accepting peers that use another protocol or version,
// another certificate authority, or an identity that their certificate is not for.
func TestHandshake(t *testing.T) {
	t.Parallel()
	authority := newCertificate(t, "authority", nil)
	pool := x509.NewCertPool()
	pool.AddCert(authority.Leaf)
	otherAuthority := newCertificate(t, "stranger", nil)
	secured := func(identity, claimed string, signer *tls.Certificate) Config {
		config := DefaultConfig()
		config.Identity = claimed
		config.TLS = MutualTLS(newCertificate(t, identity, signer), pool)
		return config
	}
	server := startServer(t, secured("node-1", "node-1", &authority), echoHandler)
	cases := []struct {
		name    string
		config  Config
		address string
		ok      bool
	}{
		{"mutual TLS", secured("node-2", "node-2", &authority), server, true},
		{"identity of another node", secured("node-2", "node-3", &authority), server, false},
		{"other authority", secured("node-2", "node-2", &otherAuthority), server, false},
		{"empty identity", secured("", "", &authority), server, false},
		{"no TLS", DefaultConfig(), server, false},
		{"server without TLS", secured("node-2", "node-2", &authority), startServer(t, DefaultConfig(), echoHandler), false},
		{"server with the identity of another node", secured("node-2", "node-2", &authority), startServer(t, secured("node-1", "node-9", &authority), echoHandler), false},
	}
	for _, c := range cases {
		err := exchange(newTestClient(t, c.config), c.address, Small, []byte("message"))
		assert.Equal(t, err == nil, c.ok, "%s: %v", c.name, err)
	}
	localConn, remoteConn := net.Pipe()
	go func() { _, _ = remoteConn.Write([]byte("CHLV\x09\x00")) }()
	_, err := receiveHello(localConn)
	assert.ErrorIs(t, err, ErrHandshake)
	go func() { _, _ = remoteConn.Write([]byte("GET / HTTP/1.1\r\n")) }()
	_, err = receiveHello(localConn)
	assert.ErrorIs(t, err, ErrHandshake)
}
