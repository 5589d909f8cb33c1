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

// protocolVersion changes with every incompatible change of the protocol between the
// project's processes.
const protocolVersion = 1

// maxIdentityBytes is the longest identity in a handshake.
const maxIdentityBytes = 255

// magic begins each hello; the version, the identity length and the identity follow.
var magic = []byte("CHLV")

// handshake sends this side's hello, checks the peer's hello and returns the peer's
// identity. The client sends first, so that a server discloses nothing to a peer that it
// does not accept.
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
		return errors.WithMessage(ErrHandshake, "own identity is longer than 255 bytes")
	}
	hello := append([]byte{}, magic...)
	hello = append(hello, protocolVersion, byte(len(identity)))
	hello = append(hello, identity...)
	_, err := conn.Write(hello)
	return err
}

func receiveHello(conn net.Conn) (identity string, err error) {
	header := make([]byte, len(magic)+2)
	if _, err := io.ReadFull(conn, header); err != nil {
		return "", err
	}
	if !bytes.HasPrefix(header, magic) {
		return "", errors.WithMessage(ErrHandshake, "peer uses another protocol")
	}
	if version := header[len(magic)]; version != protocolVersion {
		return "", errors.WithMessagef(ErrHandshake, "peer uses protocol version %d, this process version %d", version, protocolVersion)
	}
	name := make([]byte, header[len(magic)+1])
	_, err = io.ReadFull(conn, name)
	return string(name), err
}

// checkCertificate checks that the peer's certificate is for the name. Without TLS the
// name is the peer's own claim and is not verified.
func checkCertificate(conn net.Conn, name string) (Identity, error) {
	tlsConn, ok := conn.(*tls.Conn)
	if !ok {
		return Identity{Name: name}, nil
	}
	certificates := tlsConn.ConnectionState().PeerCertificates
	if len(certificates) == 0 {
		return Identity{}, errors.WithMessage(ErrHandshake, "peer sent no certificate")
	}
	leaf := certificates[0]
	// An empty name would match the empty common name of a certificate that has only DNS
	// names.
	if name == "" {
		return Identity{}, errors.WithMessage(ErrHandshake, "peer sent an empty identity")
	}
	if leaf.Subject.CommonName != name && !slices.Contains(leaf.DNSNames, name) {
		return Identity{}, errors.WithMessagef(ErrHandshake, "peer certificate is not for the identity %q", name)
	}
	return Identity{Name: name, Verified: true, Control: hasControlUnit(leaf)}, nil
}

// Configure returns the default configuration for a process with the identity. With
// the names of PEM files its connections use mutual TLS. Without them connections are
// neither encrypted nor authenticated, and any process that can reach a mesh port is
// trusted, even as a control member.
func Configure(identity, certFile, keyFile, caFile string) (Config, error) {
	config := DefaultConfig()
	config.Identity = identity
	if certFile == "" {
		return config, nil
	}
	tlsConfig, err := LoadTLS(certFile, keyFile, caFile)
	config.TLS = tlsConfig
	return config, err
}

// LoadTLS returns a configuration for mutual TLS. Each process has a certificate
// whose common name or DNS name is its identity, signed by the CA in caFile. The
// certificate of a control member has the organizational unit ControlUnit. Certificates
// are not checked against addresses, because the addresses of VMs change.
func LoadTLS(certFile, keyFile, caFile string) (*tls.Config, error) {
	certificate, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, errors.Wrap(err, "tls_cert, tls_key")
	}
	caPEM, err := os.ReadFile(caFile) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, errors.Wrap(err, "tls_ca")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(caPEM) {
		return nil, errors.New("tls_ca: file contains no certificate in PEM form")
	}
	return MutualTLS(certificate, pool), nil
}

// MutualTLS returns a configuration in which both sides must present a certificate that
// is signed by one of the certificate authorities.
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
		return errors.WithMessage(ErrHandshake, "peer sent no certificate")
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
