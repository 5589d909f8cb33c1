package mesh

import (
	"context"
	"crypto/x509"
	"fmt"
	"slices"
)

// ControlUnit is the organizational unit in the certificate of a control member. A
// certificate without it is that of a node.
const ControlUnit = "chicorylever-control"

// Identity is what the handshake found out about a peer.
type Identity struct {
	// Name is the peer's identity.
	Name string
	// Verified is set when a certificate proved Name. Without TLS nothing does.
	Verified bool
	// Control is set when the certificate is that of a control member.
	Control bool
}

// PermissionError reports a peer whose certificate does not permit what it does.
type PermissionError struct {
	// Peer is the identity that the handshake found.
	Peer Identity
	// Problem says what is not permitted.
	Problem string
}

// Error returns the name of the peer and the problem.
func (e *PermissionError) Error() string {
	return fmt.Sprintf("mesh: peer %q (verified: %t, control: %t): %s", e.Peer.Name, e.Peer.Verified, e.Peer.Control, e.Problem)
}

func hasControlUnit(leaf *x509.Certificate) bool {
	return slices.Contains(leaf.Subject.OrganizationalUnit, ControlUnit)
}

// PermitsControl returns whether a process with the configuration may be a control
// member: its own certificate says so, or there is no TLS.
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

// IdentityFrom returns the identity of the peer whose stream is served with ctx, and
// an unverified one without a name when ctx is not that of a Handler.
func IdentityFrom(ctx context.Context) Identity {
	identity, _ := ctx.Value(identityKey{}).(Identity)
	return identity
}

// checkServerRole returns a *PermissionError when a dialled server has to be a control
// member and its certificate does not say so. Without TLS each server is accepted.
func checkServerRole(config Config, class Class, server Identity) error {
	required := config.DialsControl || class == Control || class == ControlCall
	if config.TLS == nil || !required || server.Control {
		return nil
	}
	return &PermissionError{Peer: server, Problem: "dialled as a control member, but its certificate lacks the organizational unit " + ControlUnit}
}
