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

// refusalLogInterval limits the rate of log messages about refused peers, because a peer
// may retry without end.
const refusalLogInterval = 10 * time.Second

// authorizer decides by the certificate of a peer which messages the peer may send.
// Without TLS there is no certificate, and any process that can connect to the mesh port
// may send any message.
type authorizer struct {
	tlsEnabled bool
	// logger receives the refusals and limits their rate.
	logger log.Logger
}

func newAuthorizer(tlsEnabled bool, logger log.Logger) *authorizer {
	return &authorizer{tlsEnabled: tlsEnabled, logger: obs.RateLimit(level.Warn(logger), refusalLogInterval)}
}

// messageCheck returns a function that returns and logs a *mesh.PermissionError for each
// message that the peer may not send.
func (a *authorizer) messageCheck(peer mesh.Identity) func(*wire.Envelope) error {
	return func(message *wire.Envelope) error {
		reason := a.refusalReason(peer, message)
		if reason == "" {
			return nil
		}
		refusal := &mesh.PermissionError{Peer: peer, Problem: reason}
		a.logRefusal(refusal)
		return refusal
	}
}

func (a *authorizer) logRefusal(err *mesh.PermissionError) {
	_ = a.logger.Log("msg", "peer refused", "peer", err.Peer.Name, "err", err)
}

// requireMember returns a *mesh.PermissionError unless the peer is a control member. Without
// TLS every peer is trusted.
func (a *authorizer) requireMember(peer mesh.Identity, what string) error {
	if !a.tlsEnabled || peer.Verified && peer.Control {
		return nil
	}
	refusal := &mesh.PermissionError{Peer: peer, Problem: what + " requires the organizational unit " + mesh.ControlUnit}
	a.logRefusal(refusal)
	return refusal
}

// refusalReason returns why the peer may not send the message, or "" if it may. Only
// control members may send messages of the replicated log and the leases of their nodes.
// All other messages come from nodes, which may send them only under their own ID.
func (a *authorizer) refusalReason(peer mesh.Identity, message *wire.Envelope) string {
	if !a.tlsEnabled {
		return ""
	}
	if !peer.Verified {
		return "presented no certificate"
	}
	switch body := message.GetBody().(type) {
	case *wire.Envelope_Raft, *wire.Envelope_ForwardProposal, *wire.Envelope_RegistryUpdate:
		if !peer.Control {
			return fmt.Sprintf("%T requires a certificate with the organizational unit %s", body, mesh.ControlUnit)
		}
	case *wire.Envelope_Subscribe:
		return nodeIDMismatch(peer, body.Subscribe)
	case *wire.Envelope_Heartbeat:
		if instance := body.Heartbeat.GetInstance(); instance != nil && instance.GetNodeId() != peer.Name {
			return nodeIDMismatch(peer, instance)
		}
		return nodeIDMismatch(peer, body.Heartbeat)
	case *wire.Envelope_QuotaReport:
		if body.QuotaReport.GetSender() != peer.Name {
			return fmt.Sprintf("quota report of %q", body.QuotaReport.GetSender())
		}
	case *wire.Envelope_Claim:
		return nodeIDMismatch(peer, body.Claim)
	case *wire.Envelope_RecordOutcome:
		return nodeIDMismatch(peer, body.RecordOutcome)
	case *wire.Envelope_ReleaseClaim:
		return nodeIDMismatch(peer, body.ReleaseClaim)
	}
	return ""
}

// nodeIDMismatch returns the reason to refuse a message that names another node than the
// peer, or "".
func nodeIDMismatch(peer mesh.Identity, message interface{ GetNodeId() string }) string {
	if message.GetNodeId() == peer.Name {
		return ""
	}
	return fmt.Sprintf("%T names another node, %q", message, message.GetNodeId())
}
