// Package keys creates the certificate authority (CA) of a fleet and the node
// certificates for mutual TLS between nodes.
package keys

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

	"github.com/cockroachdb/errors"
)

// Names of the files that this package reads and writes.
const (
	CAFile      = "ca.pem"
	CAKeyFile   = "ca-key.pem"
	NodeFile    = "node.pem"
	NodeKeyFile = "node-key.pem"
)

// ServerName is the DNS name in every node certificate. Nodes are dialled by
// address, so the certificate proves that a node belongs to the fleet, but not
// which node it is.
const ServerName = "node.cassiapin.internal"

// Validity periods of certificates and the tolerated clock skew between hosts.
const (
	caValidity   = 10 * 365 * 24 * time.Hour
	nodeValidity = 365 * 24 * time.Hour
	clockSkew    = 10 * time.Minute
)

const (
	publicMode  = 0o644
	privateMode = 0o600
)

// MakeCA writes a new CA to ca.pem and ca-key.pem in dir. It does not overwrite
// an existing one.
func MakeCA(dir string, now time.Time) error {
	if _, err := os.Stat(filepath.Join(dir, CAKeyFile)); err == nil {
		return errors.Newf("%s already exists", filepath.Join(dir, CAKeyFile))
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "generate CA key")
	}
	tmpl, err := template("cassiapin fleet authority", now, caValidity)
	if err != nil {
		return err
	}
	tmpl.IsCA = true
	tmpl.BasicConstraintsValid = true
	tmpl.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		return errors.Wrap(err, "sign CA certificate")
	}
	return writePair(dir, CAFile, CAKeyFile, der, key)
}

// MakeNodeCert writes a new certificate for the named host to node.pem and
// node-key.pem in dir, signed by the CA in caDir. It replaces an existing
// certificate; running nodes reload it.
func MakeNodeCert(caDir, dir, name string, now time.Time) error {
	ca, caKey, err := loadCA(caDir)
	if err != nil {
		return err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "generate node key")
	}
	tmpl, err := template(name, now, nodeValidity)
	if err != nil {
		return err
	}
	tmpl.DNSNames = []string{ServerName}
	tmpl.KeyUsage = x509.KeyUsageDigitalSignature
	tmpl.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, ca, &key.PublicKey, caKey)
	if err != nil {
		return errors.Wrap(err, "sign node certificate")
	}
	return writePair(dir, NodeFile, NodeKeyFile, der, key)
}

func template(name string, now time.Time, validity time.Duration) (*x509.Certificate, error) {
	const serialBits = 120
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "generate serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validity),
	}, nil
}

func loadCA(dir string) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	certBlock, err := readPEM(filepath.Join(dir, CAFile))
	if err != nil {
		return nil, nil, err
	}
	cert, err := x509.ParseCertificate(certBlock)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "parse %s", CAFile)
	}
	keyBlock, err := readPEM(filepath.Join(dir, CAKeyFile))
	if err != nil {
		return nil, nil, err
	}
	parsed, err := x509.ParsePKCS8PrivateKey(keyBlock)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "parse %s", CAKeyFile)
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok {
		return nil, nil, errors.Newf("unsupported key type in %s: got %T, want an ECDSA key", CAKeyFile, parsed)
	}
	return cert, key, nil
}

func readPEM(path string) ([]byte, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read key file")
	}
	block, _ := pem.Decode(raw)
	if block == nil {
		return nil, errors.Newf("no PEM block found in %s", path)
	}
	return block.Bytes, nil
}

// writePair writes the key before the certificate. A process that reloads in
// between sees a mismatched pair, keeps its previous one and retries.
func writePair(dir, certFile, keyFile string, der []byte, key *ecdsa.PrivateKey) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "create key directory")
	}
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "encode private key")
	}
	if err := writePEM(filepath.Join(dir, keyFile), "PRIVATE KEY", raw, privateMode); err != nil {
		return err
	}
	return writePEM(filepath.Join(dir, certFile), "CERTIFICATE", der, publicMode)
}

// writePEM replaces path atomically.
func writePEM(path, kind string, der []byte, mode os.FileMode) error {
	tmp := path + ".tmp"
	if err := os.WriteFile(tmp, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), mode); err != nil {
		return errors.Wrap(err, "write key file")
	}
	return errors.Wrap(os.Rename(tmp, path), "replace key file")
}

// MakeEphemeralCert returns a self-signed key pair of a host that is kept in memory
// only. The certificate names the host.
func MakeEphemeralCert(host string, now time.Time) (tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "generate node key")
	}
	tmpl, err := template(host, now, nodeValidity)
	if err != nil {
		return tls.Certificate{}, err
	}
	tmpl.DNSNames = []string{ServerName}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "sign node certificate")
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}
