package peer

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"cassiapin/pkg/peer/keys"
)

// protocolName is the ALPN protocol name.
const protocolName = "cassiapin-peer/1"

// KeyFiles are the paths of the CA certificate, the node certificate and the
// node's private key.
type KeyFiles struct {
	CA, Cert, Key string
}

// Ephemeral configures a transport to use an in-memory key pair that is
// discarded when the process exits, for hosts without key files.
type Ephemeral struct {
	// IsTrusted reports whether the node whose certificate has the fingerprint
	// belongs to the fleet. host is the host that the certificate names, which
	// proves nothing. It is called during the handshake and must not block for
	// longer than the handshake timeout.
	IsTrusted func(host, fingerprint string) bool
	// Certificate is the key pair to use.
	Certificate tls.Certificate
}

// Fingerprint returns the hex-encoded SHA-256 digest of a DER certificate.
func Fingerprint(der []byte) string {
	sum := sha256.Sum256(der)
	return hex.EncodeToString(sum[:])
}

// verify checks the certificate of the peer.
func (e *Ephemeral) verify(raw [][]byte, _ [][]*x509.Certificate) error {
	if len(raw) == 0 {
		return errors.New("peer certificate is missing")
	}
	certificate, err := x509.ParseCertificate(raw[0])
	if err != nil {
		return errors.Wrap(err, "parse peer certificate")
	}
	if !e.IsTrusted(certificate.Subject.CommonName, Fingerprint(raw[0])) {
		return errors.New("peer certificate does not belong to this fleet")
	}
	return nil
}

// config returns the TLS configuration for clients and servers. Certificates
// are self-signed, so they are verified by fingerprint.
func (e *Ephemeral) config() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{e.Certificate},
		NextProtos:             []string{protocolName},
		ServerName:             keys.ServerName,
		InsecureSkipVerify:     true, // verify replaces the check against a CA.
		ClientAuth:             tls.RequireAnyClientCert,
		VerifyPeerCertificate:  e.verify,
		SessionTicketsDisabled: true,
	}
}

// fileStamp is compared to detect that a file has changed.
type fileStamp struct {
	modified time.Time
	size     int64
}

// keyPair is a consistent snapshot of the key files.
type keyPair struct {
	cert   tls.Certificate
	roots  *x509.CertPool
	stamps [3]fileStamp
}

// keyStore provides TLS configurations from the latest valid key files.
type keyStore struct {
	files     KeyFiles
	ephemeral *Ephemeral
	current   atomic.Pointer[keyPair]
}

func (f KeyFiles) stamps() (s [3]fileStamp, err error) {
	for i, path := range []string{f.CA, f.Cert, f.Key} {
		info, err := os.Stat(path)
		if err != nil {
			return s, errors.Wrap(err, "stat key file")
		}
		s[i] = fileStamp{info.ModTime(), info.Size()}
	}
	return s, nil
}

// reload reads the files if they have changed. After an error the previous
// key pair stays in use and the next call retries.
func (k *keyStore) reload() (changed bool, err error) {
	if k.ephemeral != nil {
		return false, nil
	}
	stamps, err := k.files.stamps()
	if err != nil {
		return false, err
	}
	if old := k.current.Load(); old != nil && old.stamps == stamps {
		return false, nil
	}
	cert, err := tls.LoadX509KeyPair(k.files.Cert, k.files.Key)
	if err != nil {
		return false, errors.Wrap(err, "load node key pair")
	}
	raw, err := os.ReadFile(k.files.CA)
	if err != nil {
		return false, errors.Wrap(err, "read CA certificate")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(raw) {
		return false, errors.Newf("no certificate found in %s", k.files.CA)
	}
	k.current.Store(&keyPair{cert: cert, roots: roots, stamps: stamps})
	return true, nil
}

// client returns the TLS configuration of an outgoing connection.
func (k *keyStore) client() *tls.Config {
	if k.ephemeral != nil {
		return k.ephemeral.config()
	}
	p := k.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{p.cert},
		RootCAs:      p.roots,
		ServerName:   keys.ServerName,
		NextProtos:   []string{protocolName},
	}
}

// server returns the TLS configuration of the listener. Session tickets are
// disabled, so that every connection is verified against the current CA.
func (k *keyStore) server() *tls.Config {
	if k.ephemeral != nil {
		return k.ephemeral.config()
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocolName},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			p := k.current.Load()
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				Certificates:           []tls.Certificate{p.cert},
				ClientCAs:              p.roots,
				ClientAuth:             tls.RequireAndVerifyClientCert,
				NextProtos:             []string{protocolName},
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}
