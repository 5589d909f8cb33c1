package control

import (
	"fmt"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/chicorylever/chicorylever/internal/obs"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/transport/mesh"
)

// refusalLogInterval keeps a peer that tries again and again from filling the log.
const refusalLogInterval = 10 * time.Second

// authorizer permits messages by the certificate of their sender. Without TLS there is
// no certificate, and any process that reaches the mesh port is trusted.
type authorizer struct {
	tlsEnabled bool
	// logger takes the refusals; it is limited.
	logger log.Logger
}

func newAuthorizer(secured bool, logger log.Logger) *authorizer {
	return &authorizer{tlsEnabled: secured, logger: obs.Limit(level.Warn(logger), refusalLogInterval)}
}

// messageCheck returns the check of the messages that the peer sends.
func (g *authorizer) messageCheck(peer mesh.Identity) func(*wire.Envelope) error {
	return func(message *wire.Envelope) error {
		problem := g.refusalReason(peer, message)
		if problem == "" {
			return nil
		}
		refused := &mesh.PermissionError{Peer: peer, Problem: problem}
		g.logRefusal(refused)
		return refused
	}
}

func (g *authorizer) logRefusal(err *mesh.PermissionError) {
	_ = g.logger.Log("msg", "peer refused", "peer", err.Peer.Name, "err", err)
}

// refusalReason returns why the peer may not send the message, "" when it may. The replicated
// log and leases of other members are for control members only; everything else
// is sent by nodes, each for itself.
func (g *authorizer) refusalReason(peer mesh.Identity, message *wire.Envelope) string {
	if !g.tlsEnabled {
		return ""
	}
	if !peer.Verified {
		return "has no certificate"
	}
	switch body := message.GetBody().(type) {
	case *wire.Envelope_Raft, *wire.Envelope_ForwardProposal, *wire.Envelope_RegistryUpdate:
		if !peer.Control {
			return fmt.Sprintf("%T needs a certificate with the organizational unit %s", body, mesh.ControlUnit)
		}
	case *wire.Envelope_Subscribe:
		return nodeIDMismatch(peer, body.Subscribe)
	case *wire.Envelope_Heartbeat:
		if instance := body.Heartbeat.GetInstance(); instance != nil && instance.GetNodeId() != peer.Name {
			return nodeIDMismatch(peer, instance)
		}
		return nodeIDMismatch(peer, body.Heartbeat)
	case *wire.Envelope_Claim:
		return nodeIDMismatch(peer, body.Claim)
	case *wire.Envelope_RecordOutcome:
		return nodeIDMismatch(peer, body.RecordOutcome)
	case *wire.Envelope_ReleaseClaim:
		return nodeIDMismatch(peer, body.ReleaseClaim)
	}
	return ""
}

// nodeIDMismatch returns a problem when the message speaks for another node.
func nodeIDMismatch(peer mesh.Identity, message interface{ GetNodeId() string }) string {
	if message.GetNodeId() == peer.Name {
		return ""
	}
	return fmt.Sprintf("%T for node %q", message, message.GetNodeId())
}
