package mesh

import (
	"context"
	"crypto/x509"
	"fmt"
	"slices"
)

// ControlUnit is the organizational unit in the certificate of a control member. A
// certificate without it belongs to a node.
const ControlUnit = "chicorylever-control"

// Identity identifies a peer, as established by the handshake.
type Identity struct {
	// Name is the identity that the peer sent.
	Name string
	// Verified is set when the peer's certificate is for Name. It is never set without TLS.
	Verified bool
	// Control is set when the peer's certificate is that of a control member.
	Control bool
}

// PermissionError reports a peer whose certificate does not permit its role or request.
type PermissionError struct {
	// Peer is the identity established by the handshake.
	Peer Identity
	// Problem describes what is not permitted.
	Problem string
}

// Error returns the name of the peer and the problem.
func (e *PermissionError) Error() string {
	return fmt.Sprintf("mesh: peer %q (verified: %t, control: %t): %s", e.Peer.Name, e.Peer.Verified, e.Peer.Control, e.Problem)
}

func hasControlUnit(leaf *x509.Certificate) bool {
	return slices.Contains(leaf.Subject.OrganizationalUnit, ControlUnit)
}

// PermitsControl reports whether a process with the configuration may be a control
// member: its own certificate has the organizational unit ControlUnit, or TLS is not used.
func (c Config) PermitsControl() bool {
	if c.TLS == nil {
		return true
	}
	return len(c.TLS.Certificates) > 0 && c.TLS.Certificates[0].Leaf != nil && hasControlUnit(c.TLS.Certificates[0].Leaf)
}

type identityKey struct{}

func withIdentity(ctx context.Context, identity Identity) context.Context {
	return context.WithValue(ctx, identityKey{}, identity)
}

// IdentityFrom returns the identity of the peer whose stream is served with ctx. It is
// the zero Identity when ctx does not come from a Handler call.
func IdentityFrom(ctx context.Context) Identity {
	identity, _ := ctx.Value(identityKey{}).(Identity)
	return identity
}

// checkServerRole returns a *PermissionError when a dialled server must be a control
// member and its certificate lacks that role. Without TLS every server is accepted.
func checkServerRole(config Config, class Class, server Identity) error {
	required := config.RequireControlServer || class == Control || class == ControlCall
	if config.TLS == nil || !required || server.Control {
		return nil
	}
	return &PermissionError{Peer: server, Problem: "dialled as a control member, but its certificate lacks the organizational unit " + ControlUnit}
}
