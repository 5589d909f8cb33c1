package e2e

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/transport/mesh"
)

// useTLS creates a certificate authority. Processes started afterwards use mutual TLS.
func (c *cluster) useTLS() {
	authority := c.createCertificate("authority", nil)
	c.authority = &authority
	c.writePEM("ca.pem", "CERTIFICATE", authority.Certificate[0])
}

// issueCertificate writes the certificate and key of a process and returns the paths of
// these and of the authority's certificate, or empty paths without TLS.
func (c *cluster) issueCertificate(identity string) (cert, key, ca string) {
	if c.authority == nil {
		return "", "", ""
	}
	var organizationalUnits []string
	if c.controlSettings != nil && identity == c.controlSettings.ID {
		organizationalUnits = []string{mesh.ControlUnit}
	}
	signed := c.createCertificate(identity, c.authority, organizationalUnits...)
	der, err := x509.MarshalPKCS8PrivateKey(signed.PrivateKey)
	assert.NilError(c.t, err)
	cert = c.writePEM(identity+".pem", "CERTIFICATE", signed.Certificate[0])
	key = c.writePEM(identity+".key", "PRIVATE KEY", der)
	return cert, key, filepath.Join(c.dir, "ca.pem")
}

// createCertificate creates a certificate signed by the authority, or the certificate of
// an authority if authority is nil.
func (c *cluster) createCertificate(identity string, authority *tls.Certificate, organizationalUnits ...string) tls.Certificate {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(c.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: identity, OrganizationalUnit: organizationalUnits},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: authority == nil, BasicConstraintsValid: true,
	}
	parent, signer := template, any(key)
	if authority != nil {
		parent, signer = authority.Leaf, authority.PrivateKey
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	assert.NilError(c.t, err)
	leaf, err := x509.ParseCertificate(der)
	assert.NilError(c.t, err)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key, Leaf: leaf}
}

func (c *cluster) writePEM(name, blockType string, der []byte) string {
	path := filepath.Join(c.dir, name)
	assert.NilError(c.t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), 0o600))
	return path
}
