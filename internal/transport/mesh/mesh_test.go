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

// startServer runs an echo server, one message a stream, and returns its address.
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

func exchange(client *Client, address string, class Class, message []byte) error {
	stream, err := client.Open(context.Background(), address, class)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	if _, err := stream.Write(message); err != nil {
		return err
	}
	answer := make([]byte, len(message))
	if _, err := io.ReadFull(stream, answer); err != nil {
		return err
	}
	if !bytes.Equal(answer, message) {
		return io.ErrNoProgress
	}
	return nil
}

// blackholeProxy forwards connections. A muted connection still accepts bytes but forwards
// none, in either direction, like one whose connection-tracking entry was lost.
type blackholeProxy struct {
	listener   net.Listener
	target     string
	blackholes sync.Map // of *atomic.Bool
}

func newBlackholeProxy(t *testing.T, target string) *blackholeProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &blackholeProxy{listener: listener, target: target}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			mute := &atomic.Bool{}
			r.blackholes.Store(mute, nil)
			go forward(far, near, mute)
			go forward(near, far, mute)
		}
	}()
	return r
}

func forward(to, from net.Conn, mute *atomic.Bool) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			if !mute.Load() {
				_ = to.Close()
			}
			return
		}
		if !mute.Load() {
			_, _ = to.Write(buffer[:n])
		}
	}
}

// blackholeAll silences the connections that exist now; later ones work.
func (r *blackholeProxy) blackholeAll() {
	r.blackholes.Range(func(mute, _ any) bool {
		mute.(*atomic.Bool).Store(true)
		return true
	})
}

// TestSilentConnection guards against requests that hang on a connection whose
// packets vanish, and against using it again.
func TestSilentConnection(t *testing.T) {
	t.Parallel()
	r := newBlackholeProxy(t, startServer(t, DefaultConfig(), echoHandler))
	client := newTestClient(t, DefaultConfig())
	address := r.listener.Addr().String()
	assert.NilError(t, exchange(client, address, Small, []byte("before")))
	r.blackholeAll()
	assert.Assert(t, exchange(client, address, Small, []byte("silent")) != nil)
	assert.NilError(t, exchange(client, address, Small, []byte("after")))
	assert.Equal(t, client.Replaced(), uint64(1))
}

// TestLongRequestKeepsConnection guards against taking a peer that works on a long request for a
// silent connection.
func TestLongRequestKeepsConnection(t *testing.T) {
	t.Parallel()
	config := DefaultConfig()
	address := startServer(t, config, func(ctx context.Context, stream net.Conn) {
		time.Sleep(2 * config.SilenceTimeout)
		echoHandler(ctx, stream)
	})
	client := newTestClient(t, config)
	assert.NilError(t, exchange(client, address, Small, []byte("long request")))
	assert.Equal(t, client.Replaced(), uint64(0))
}

// TestHungDial guards against a dial that makes other streams wait, ignores the
// end of its request, or outlives the client.
func TestHungDial(t *testing.T) {
	t.Parallel()
	hung, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = hung.Close() })
	config := DefaultConfig()
	config.DialTimeout = time.Hour
	client := newTestClient(t, config)
	ctx, cancel := context.WithCancel(context.Background())
	failed := make(chan error)
	go func() {
		_, err := client.Open(ctx, hung.Addr().String(), Small)
		failed <- err
	}()
	assert.NilError(t, exchange(client, startServer(t, DefaultConfig(), echoHandler), Small, []byte("other peer")))
	cancel()
	assert.ErrorIs(t, <-failed, ErrDial)
}

// TestIdleTimeoutRace guards against closing an idle connection under a stream that was
// just opened on it. With this timeout a connection may close before it has a stream;
// then nothing was sent.
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

// TestFrameCoalescing guards against frames that are joined or held in the wrong order. A
// message of 12 bytes that looks like a frame header must not be held.
func TestFrameCoalescing(t *testing.T) {
	t.Parallel()
	client := newTestClient(t, DefaultConfig())
	address := startServer(t, DefaultConfig(), echoHandler)
	lookalike := []byte{0, yamuxTypeWindow, 0, yamuxFlagSYN, 0, 0, 0, 9, 0, 0, 0, 0}
	var group sync.WaitGroup
	for i := range 200 {
		message := bytes.Repeat([]byte{byte(i)}, 1<<(i%20))
		if i%3 == 0 {
			message = lookalike
		}
		group.Go(func() {
			assert.Check(t, exchange(client, address, Class(i%2), message))
		})
	}
	group.Wait()
	assert.NilError(t, exchange(client, address, Small, lookalike), "without other frames that would push it out")
}

// newCertificate returns a certificate for the identity, signed by a new authority when
// none is given.
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

// TestHandshake guards against peers that speak something else, use another
// certificate authority, or claim an identity that is not theirs.
func TestHandshake(t *testing.T) {
	t.Parallel()
	authority := newCertificate(t, "authority", nil)
	pool := x509.NewCertPool()
	pool.AddCert(authority.Leaf)
	stranger := newCertificate(t, "stranger", nil)
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
		{"false identity", secured("node-2", "node-3", &authority), server, false},
		{"other authority", secured("node-2", "node-2", &stranger), server, false},
		{"no identity", secured("", "", &authority), server, false},
		{"no TLS", DefaultConfig(), server, false},
		{"server without TLS", secured("node-2", "node-2", &authority), startServer(t, DefaultConfig(), echoHandler), false},
		{"server with a false identity", secured("node-2", "node-2", &authority), startServer(t, secured("node-1", "node-9", &authority), echoHandler), false},
	}
	for _, c := range cases {
		err := exchange(newTestClient(t, c.config), c.address, Small, []byte("message"))
		assert.Equal(t, err == nil, c.ok, "%s: %v", c.name, err)
	}
	near, far := net.Pipe()
	go func() { _, _ = far.Write([]byte("CHLV\x09\x00")) }()
	_, err := receiveHello(near)
	assert.ErrorIs(t, err, ErrHandshake)
	go func() { _, _ = far.Write([]byte("GET / HTTP/1.1\r\n")) }()
	_, err = receiveHello(near)
	assert.ErrorIs(t, err, ErrHandshake)
}
