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

// protocolName is the ALPN name of the protocol between nodes.
const protocolName = "cassiapin-peer/1"

// KeyFiles are the paths of the fleet's authority and of the node's key pair.
type KeyFiles struct {
	CA, Cert, Key string
}

// Ephemeral makes a transport use a key pair of its own that lives as long as
// the process, on hosts that hold no key files.
type Ephemeral struct {
	// IsTrusted reports whether a node with the fingerprint of its certificate
	// belongs to the fleet. It must not block for longer than a handshake may
	// take.
	IsTrusted func(fingerprint string) bool
	// Certificate is the pair to use.
	Certificate tls.Certificate
}

// Fingerprint identifies a certificate.
func Fingerprint(der []byte) string {
	sum := sha256.Sum256(der)
	return hex.EncodeToString(sum[:])
}

// verify checks the certificate of the other node.
func (e *Ephemeral) verify(raw [][]byte, _ [][]*x509.Certificate) error {
	if len(raw) == 0 || !e.IsTrusted(Fingerprint(raw[0])) {
		return errors.New("the node's certificate is not one of this fleet")
	}
	return nil
}

// config returns the TLS configuration of both sides. The certificate is
// checked by its fingerprint, because no authority signs it.
func (e *Ephemeral) config() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{e.Certificate},
		NextProtos:             []string{protocolName},
		ServerName:             keys.ServerName,
		InsecureSkipVerify:     true, // verify replaces the check against an authority.
		ClientAuth:             tls.RequireAnyClientCert,
		VerifyPeerCertificate:  e.verify,
		SessionTicketsDisabled: true,
	}
}

// fileStamp detects that a file has changed.
type fileStamp struct {
	modified time.Time
	size     int64
}

// keyPair is one consistent reading of the key files.
type keyPair struct {
	cert   tls.Certificate
	roots  *x509.CertPool
	stamps [3]fileStamp
}

// keyStore gives TLS configurations from the latest valid key files.
type keyStore struct {
	files     KeyFiles
	ephemeral *Ephemeral
	current   atomic.Pointer[keyPair]
}

func (f KeyFiles) stamps() (s [3]fileStamp, err error) {
	for i, path := range []string{f.CA, f.Cert, f.Key} {
		info, err := os.Stat(path)
		if err != nil {
			return s, errors.Wrap(err, "look at a key file")
		}
		s[i] = fileStamp{info.ModTime(), info.Size()}
	}
	return s, nil
}

// reload reads the files if they have changed. After an error the previous
// pair stays in use and the next call tries again.
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
		return false, errors.Wrap(err, "load the node's key pair")
	}
	raw, err := os.ReadFile(k.files.CA)
	if err != nil {
		return false, errors.Wrap(err, "read the authority")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(raw) {
		return false, errors.Newf("%s holds no certificate", k.files.CA)
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
// off, so that every connection proves its certificate against the present
// authority.
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
