package control

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/chicorylever/chicorylever/internal/coordination/replica"
	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/settings"
	"github.com/chicorylever/chicorylever/internal/transport/mesh"
)

// TestAuthorizer guards against accepting a message that the certificate of its sender
// does not permit, and against refusing one that it does.
func TestAuthorizer(t *testing.T) {
	raft := &wire.Envelope{Body: &wire.Envelope_Raft{Raft: &wire.RaftMessage{}}}
	forward := &wire.Envelope{Body: &wire.Envelope_ForwardProposal{ForwardProposal: &wire.ForwardProposal{}}}
	update := &wire.Envelope{Body: &wire.Envelope_RegistryUpdate{RegistryUpdate: &wire.RegistryUpdate{}}}
	subscribe := &wire.Envelope{Body: &wire.Envelope_Subscribe{Subscribe: &wire.Subscribe{NodeId: "n1"}}}
	heartbeat := &wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: &wire.Heartbeat{NodeId: "n1"}}}
	otherNodesInstance := &wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: &wire.Heartbeat{NodeId: "n1", Instance: &wire.Instance{NodeId: "n2"}}}}
	claim := &wire.Envelope{Body: &wire.Envelope_Claim{Claim: &wire.Claim{NodeId: "n1"}}}
	record := &wire.Envelope{Body: &wire.Envelope_RecordOutcome{RecordOutcome: &wire.RecordOutcome{NodeId: "n1"}}}
	release := &wire.Envelope{Body: &wire.Envelope_ReleaseClaim{ReleaseClaim: &wire.ReleaseClaim{NodeId: "n1"}}}
	all := []*wire.Envelope{raft, forward, update, subscribe, heartbeat, otherNodesInstance, claim, record, release}
	fromMember := map[*wire.Envelope]bool{raft: true, forward: true, update: true}
	fromNode := map[*wire.Envelope]bool{subscribe: true, heartbeat: true, claim: true, record: true, release: true}
	cases := []struct {
		name      string
		peer      mesh.Identity
		permitted map[*wire.Envelope]bool
	}{
		{"node", mesh.Identity{Name: "n1", Verified: true}, fromNode},
		{"other node", mesh.Identity{Name: "n2", Verified: true}, nil},
		{"member", mesh.Identity{Name: "c1", Verified: true, Control: true}, fromMember},
		{"no certificate", mesh.Identity{Name: "n1", Control: true}, nil},
	}
	for _, c := range cases {
		for _, message := range all {
			err := newAuthorizer(true, log.NewNopLogger()).messageCheck(c.peer)(message)
			var refusal *mesh.PermissionError
			assert.Equal(t, !errors.As(err, &refusal), c.permitted[message], "%s: %v: %v", c.name, message, err)
			assert.NilError(t, newAuthorizer(false, log.NewNopLogger()).messageCheck(c.peer)(message), "without TLS")
		}
	}
}

// authority is a certificate authority. It writes the certificates that it issues to dir.
type authority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t, dir: t.TempDir()}
	cert, _, ca := a.issue("authority")
	assert.NilError(t, os.Rename(cert, ca))
	return a
}

// issue writes a certificate with the organizational units and its private key, and
// returns the paths of both files and of the CA certificate. The first certificate is
// that of the CA itself.
func (a *authority) issue(name string, units ...string) (cert, key, ca string) {
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(a.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name, OrganizationalUnit: units},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: a.cert == nil, BasicConstraintsValid: true,
	}
	if a.cert == nil {
		a.cert, a.key = template, privateKey
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &privateKey.PublicKey, a.key)
	assert.NilError(a.t, err)
	encodedKey, err := x509.MarshalPKCS8PrivateKey(privateKey)
	assert.NilError(a.t, err)
	write := func(file, blockType string, data []byte) string {
		path := filepath.Join(a.dir, file)
		assert.NilError(a.t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: data}), 0o600))
		return path
	}
	return write(name+".pem", "CERTIFICATE", der), write(name+".key", "PRIVATE KEY", encodedKey), filepath.Join(a.dir, "ca.pem")
}

func (a *authority) meshConfig(name string, units ...string) mesh.Config {
	cert, key, ca := a.issue(name, units...)
	config, err := mesh.Configure(name, cert, key, ca)
	assert.NilError(a.t, err)
	return config
}

// startNodeServer starts a mesh server with the certificate of a node and returns its
// address.
func (a *authority) startNodeServer(name string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(a.t, err)
	server := mesh.NewServer(a.meshConfig(name), func(context.Context, net.Conn) {})
	go func() { _ = server.Serve(context.Background(), listener) }()
	a.t.Cleanup(func() { _ = listener.Close(); server.Close() })
	return listener.Addr().String()
}

// startMember starts a member with TLS that creates a cluster. It sends the key-value
// pairs of each "peer refused" log message to refused.
func startMember(t *testing.T, a *authority, refused chan<- []any) *Control {
	s := &settings.Control{
		ID: "control-1", Zone: "seq-a", DataDir: t.TempDir(), APIListen: "127.0.0.1:0", MeshListen: "127.0.0.1:0",
		// The address in the log's configuration is never dialled.
		MeshAddress: "127.0.0.1:2", Bootstrap: []string{"127.0.0.1:2"},
	}
	s.TLSCert, s.TLSKey, s.TLSCA = a.issue(s.ID)
	logger := log.LoggerFunc(func(keyvals ...any) error {
		for _, value := range keyvals {
			if value == "peer refused" {
				refused <- keyvals
			}
		}
		return nil
	})
	// A certificate without the organizational unit is that of a node.
	_, err := New(s, logger, Options{})
	assert.ErrorContains(t, err, "tls_cert")
	s.TLSCert, s.TLSKey, s.TLSCA = a.issue(s.ID, mesh.ControlUnit)
	member, err := New(s, logger, Options{})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- member.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return member
}

// startJoiningReplica opens a replica that asks the member to add it to the log.
func startJoiningReplica(t *testing.T, config mesh.Config, member *Control) {
	client := mesh.NewClient(config)
	joining, err := replica.Open(replica.Options{
		DataDir: t.TempDir(), Address: "127.0.0.1:1", JoinAddresses: []string{member.MeshAddress()},
		StateMachine: newCompositeMachine(nil), Mesh: client, Logger: log.NewNopLogger(),
	})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = joining.Close(); client.Close() })
}

// TestCertificateRoles guards against a node that, with its own certificate, joins the
// replicated log, sends messages of another node, or is accepted as a control member.
func TestCertificateRoles(t *testing.T) {
	a := newAuthority(t)
	refused := make(chan []any, 16)
	member := startMember(t, a, refused)
	waitForMembers := func(want int) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			status := member.replicatedLog.Status()
			if status.Leader == status.ID && len(status.Members) == want {
				return poll.Success()
			}
			return poll.Continue("%d members", len(status.Members))
		}, poll.WithTimeout(time.Minute))
	}
	waitForMembers(1)
	nodeConfig := a.meshConfig("node-1")
	startJoiningReplica(t, nodeConfig, member)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(member.replicatedLog.Status().Members) > 1 {
			return poll.Error(errors.New("the node joined the replicated log"))
		}
		if len(refused) > 0 {
			return poll.Success()
		}
		return poll.Continue("no refused peer logged yet")
	}, poll.WithTimeout(time.Minute))
	// The same request with a member's certificate succeeds, so the node was refused for
	// its role.
	startJoiningReplica(t, a.meshConfig("control-2", mesh.ControlUnit), member)
	waitForMembers(2)
	_, err := member.meshClient.Open(context.Background(), a.startNodeServer("node-3"), mesh.Small)
	var refusal *mesh.PermissionError
	assert.Assert(t, errors.As(err, &refusal), "the member accepted a node as another member: %v", err)

	client := mesh.NewClient(nodeConfig)
	defer client.Close()
	for name, permitted := range map[string]bool{"node-1": true, "node-2": false} {
		stream, err := client.Open(context.Background(), member.MeshAddress(), mesh.ControlCall)
		assert.NilError(t, err)
		conn := frame.NewConn(stream)
		claim := &wire.Claim{Service: "s", Key: "k", AttemptId: []byte(name), NodeId: name}
		assert.NilError(t, conn.SendAndFlush(&wire.Envelope{Body: &wire.Envelope_Claim{Claim: claim}}))
		response, err := conn.Receive()
		assert.Equal(t, response.GetClaimResult() != nil, permitted, "%s: %v", name, err)
	}
}

// TestDialledServerRole guards against a mesh client that accepts a node where the stream
// class or RequireControlServer requires a control member, and against a refusal that is
// not reported exactly once.
func TestDialledServerRole(t *testing.T) {
	a := newAuthority(t)
	address := a.startNodeServer("node-1")
	for _, requireControlServer := range []bool{false, true} {
		reports := 0
		config := a.meshConfig("node-2")
		config.RequireControlServer = requireControlServer
		config.OnServerRefused = func(*mesh.PermissionError) { reports++ }
		client := mesh.NewClient(config)
		for class, refused := range map[mesh.Class]bool{
			mesh.Small: requireControlServer, mesh.Bulk: requireControlServer, mesh.Control: true, mesh.ControlCall: true,
		} {
			reports = 0
			_, err := client.Open(context.Background(), address, class)
			var refusal *mesh.PermissionError
			assert.Equal(t, errors.As(err, &refusal) && errors.Is(err, mesh.ErrDial) && reports == 1, refused, "%v: %v", class, err)
			assert.Assert(t, refused || err == nil, "%v", err)
		}
		client.Close()
	}
}
