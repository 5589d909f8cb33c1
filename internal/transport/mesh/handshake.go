package mesh

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"os"
	"slices"

	"github.com/pkg/errors"
)

// protocolVersion changes with every incompatible change of what the project's
// processes say to each other.
const protocolVersion = 1

// maxIdentityBytes is the longest identity in a handshake.
const maxIdentityBytes = 255

// magic begins each handshake, followed by version, identity length and identity.
var magic = []byte("CHLV")

// handshake sends this side's hello, checks the peer's and returns who the peer is.
// The client speaks first, so that a server tells nothing to a stranger.
func handshake(conn net.Conn, config Config, s side) (Identity, error) {
	if s == clientSide {
		if err := sendHello(conn, config.Identity); err != nil {
			return Identity{}, err
		}
	}
	name, err := receiveHello(conn)
	if err != nil {
		return Identity{}, err
	}
	identity, err := checkCertificate(conn, name)
	if err != nil {
		return Identity{}, err
	}
	if s == serverSide {
		err = sendHello(conn, config.Identity)
	}
	return identity, err
}

func sendHello(conn net.Conn, identity string) error {
	if len(identity) > maxIdentityBytes {
		return errors.WithMessage(ErrHandshake, "identity is too long")
	}
	hello := append([]byte{}, magic...)
	hello = append(hello, protocolVersion, byte(len(identity)))
	hello = append(hello, identity...)
	_, err := conn.Write(hello)
	return err
}

func receiveHello(conn net.Conn) (identity string, err error) {
	head := make([]byte, len(magic)+2)
	if _, err := io.ReadFull(conn, head); err != nil {
		return "", err
	}
	if !bytes.HasPrefix(head, magic) {
		return "", errors.WithMessage(ErrHandshake, "peer speaks another protocol")
	}
	if version := head[len(magic)]; version != protocolVersion {
		return "", errors.WithMessagef(ErrHandshake, "peer has protocol version %d, not %d", version, protocolVersion)
	}
	name := make([]byte, head[len(magic)+1])
	_, err = io.ReadFull(conn, name)
	return string(name), err
}

// checkCertificate compares the name with the peer's certificate. Without TLS the
// identity is what the peer says and is not verified.
func checkCertificate(conn net.Conn, name string) (Identity, error) {
	secured, ok := conn.(*tls.Conn)
	if !ok {
		return Identity{Name: name}, nil
	}
	certificates := secured.ConnectionState().PeerCertificates
	if len(certificates) == 0 {
		return Identity{}, errors.WithMessage(ErrHandshake, "peer has no certificate")
	}
	leaf := certificates[0]
	// A certificate with DNS names only has an empty common name, which names nobody.
	if name == "" {
		return Identity{}, errors.WithMessage(ErrHandshake, "peer has no identity")
	}
	if leaf.Subject.CommonName != name && !slices.Contains(leaf.DNSNames, name) {
		return Identity{}, errors.WithMessagef(ErrHandshake, "certificate is not for %q", name)
	}
	return Identity{Name: name, Verified: true, Control: hasControlUnit(leaf)}, nil
}

// Configure returns the configuration of a process with the identity. With the names
// of PEM files its connections use mutual TLS. Without them they are open, and any
// process that reaches a mesh port is trusted, as a control member too.
func Configure(identity, certFile, keyFile, caFile string) (Config, error) {
	config := DefaultConfig()
	config.Identity = identity
	if certFile == "" {
		return config, nil
	}
	secured, err := LoadTLS(certFile, keyFile, caFile)
	config.TLS = secured
	return config, err
}

// LoadTLS returns a configuration for mutual TLS. Each process has a certificate
// whose common name or DNS name is its identity, signed by the CA in caFile. That of
// a control member has the organizational unit ControlUnit.
// Addresses are not compared with certificates, since VMs change theirs.
func LoadTLS(certFile, keyFile, caFile string) (*tls.Config, error) {
	certificate, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, errors.Wrap(err, "tls_cert, tls_key")
	}
	bundle, err := os.ReadFile(caFile) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, errors.Wrap(err, "tls_ca")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(bundle) {
		return nil, errors.New("tls_ca: no certificate in PEM form")
	}
	return MutualTLS(certificate, pool), nil
}

// MutualTLS returns a configuration in which both sides present a certificate that
// the pool's authorities have signed.
func MutualTLS(certificate tls.Certificate, authorities *x509.CertPool) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    authorities,
		// The chain is verified below, without comparing the address.
		InsecureSkipVerify: true, //nolint:gosec // see VerifyConnection
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyChain(state, authorities)
		},
	}
}

func verifyChain(state tls.ConnectionState, authorities *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errors.WithMessage(ErrHandshake, "peer has no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         authorities,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}
