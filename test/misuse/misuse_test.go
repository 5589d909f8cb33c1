package misuse

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/transport/mesh"
)

// settleTime is the time for which a crowd stays after it has sent, for the server to read it.
const settleTime = 500 * time.Millisecond

// TestClients guards against clients that make a process hold more memory than its VM has, or
// that leave it unable to answer. Each kind meets a fresh system.
func TestClients(t *testing.T) {
	for _, k := range kinds {
		t.Run(k.name, func(t *testing.T) {
			s := startSystem(t, 0)
			s.send(k, target{s.node.AdminListen, "/readyz"}, target{s.control.APIListen, "/v1/document"}, target{s.node.LocalListen, "/svc/drafts/x"})
			s.send(k, target{s.node.EntryListen, "/nowhere"})
			s.send(k, target{s.node.EntryListen, "/svc/drafts/x"})
			s.check(t)
		})
	}
}

type target struct{ address, path string }

// send sends a crowd to each of the targets at the same time and lets it leave.
func (s *system) send(k kind, targets ...target) {
	var senders sync.WaitGroup
	for _, to := range targets {
		senders.Go(func() {
			c := startCrowd(to.address, k.count, func(conn net.Conn) { k.send(conn, to.path) })
			time.Sleep(max(k.stay, settleTime))
			c.leave()
		})
	}
	senders.Wait()
}

// TestHeldConnections guards against clients that take all connections of the admin and local
// addresses with bodies that never end, so that readiness is never reported again.
func TestHeldConnections(t *testing.T) {
	s := startSystem(t, 0)
	for _, path := range []string{"/readyz", "/v1/announce"} {
		address := s.node.AdminListen
		if path == "/v1/announce" {
			address = s.node.LocalListen
		}
		c := startCrowd(address, 80, func(conn net.Conn) {
			write(conn, head(path, "Content-Length: 1000\r\n"), make([]byte, 999))
		})
		defer c.leave()
	}
	time.Sleep(settleTime)
	s.check(t)
}

// TestDescriptors guards against callers whose connections take the descriptors that the
// node needs for its upstream, for control and for readiness. The callers send nothing and
// connect again when they are closed.
func TestDescriptors(t *testing.T) {
	s := startSystem(t, 200)
	stop := make(chan struct{})
	defer close(stop)
	c := startCrowd(s.node.EntryListen, 600, func(conn net.Conn) {
		go func() { reconnect(conn, s.node.EntryListen, stop) }()
	})
	defer c.leave()
	time.Sleep(settleTime)
	s.check(t)
}

// reconnect waits until the server closes the connection and opens another one, until stop is
// closed. It opens at most 100.
func reconnect(conn net.Conn, address string, stop <-chan struct{}) {
	for range 100 {
		_, _ = conn.Read(make([]byte, 1))
		_ = conn.Close()
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		next, err := net.DialTimeout("tcp", address, writeBound)
		if err != nil {
			return
		}
		conn = next
	}
}

// TestMeshFrames guards against peers that send frames of legal size which never end.
func TestMeshFrames(t *testing.T) {
	s := startSystem(t, 0)
	client := mesh.NewClient(withIdentity("misuse"))
	defer client.Close()
	var senders sync.WaitGroup
	for _, address := range []string{s.node.MeshListen, s.control.MeshListen} {
		message := binary.AppendUvarint(nil, frame.MaxMessageBytes)
		message = append(message, make([]byte, frame.MaxMessageBytes-1)...)
		for range 60 {
			senders.Go(func() {
				stream, err := client.OpenNew(context.Background(), address, mesh.Small)
				if err != nil {
					return // the server sheds streams
				}
				defer func() { _ = stream.Close() }()
				write(stream, message)
				time.Sleep(settleTime)
			})
		}
	}
	senders.Wait()
	s.check(t)
}

// TestGarbage guards against peers that send bytes which are not of the protocol to the mesh
// port, before and after the handshake, and to the datagram port.
func TestGarbage(t *testing.T) {
	s := startSystem(t, 0)
	garbage := make([]byte, 64<<10)
	_, _ = rand.Read(garbage)
	hello := append([]byte("CHLV"), 1, 6, 'm', 'i', 's', 'u', 's', 'e')
	for _, address := range []string{s.node.MeshListen, s.control.MeshListen} {
		for _, prefix := range [][]byte{nil, hello} {
			c := startCrowd(address, 40, func(conn net.Conn) { write(conn, prefix, garbage) })
			defer c.leave()
		}
	}
	datagrams, err := net.Dial("udp", s.node.MeshListen)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = datagrams.Close() }()
	for i := range 4000 {
		_, _ = datagrams.Write(append([]byte{byte(i % 3)}, garbage[i:i+1200]...))
	}
	time.Sleep(settleTime)
	s.check(t)
}

func withIdentity(identity string) mesh.Config {
	config := mesh.DefaultConfig()
	config.Identity = identity
	return config
}
