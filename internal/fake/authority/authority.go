package authority

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/currantturn/currantturn/internal/transport/identity"
	"github.com/rotisserie/eris"
)

// Lifetime is how long the certificates are valid.
const Lifetime = 48 * time.Hour

const serialBits = 120

// Authority is a certificate authority that lives in memory.
type Authority struct {
	certificate *x509.Certificate
	key         crypto.Signer
}

// New makes an authority that is valid from an hour before now.
func New(now time.Time) (*Authority, error) {
	t, err := template("currantturn throw-away authority", now)
	if err != nil {
		return nil, err
	}
	t.IsCA, t.BasicConstraintsValid = true, true
	t.KeyUsage = x509.KeyUsageCertSign
	key, der, err := sign(t, t, nil)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	return &Authority{certificate: certificate, key: key}, eris.Wrap(err, "parse the authority")
}

// PEM is the authority's own certificate.
func (a *Authority) PEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.certificate.Raw})
}

// Issue returns the PEM forms of a certificate for a process, which is also
// valid for the given DNS names and loopback, and of its key.
func (a *Authority) Issue(now time.Time, peer identity.Peer, names ...string) (certificate, key []byte, err error) {
	t, err := template(peer.Name, now)
	if err != nil {
		return nil, nil, err
	}
	t.URIs = append(t.URIs, peer.URI())
	t.DNSNames = names
	t.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	signer, der, err := sign(t, a.certificate, a.key)
	if err != nil {
		return nil, nil, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(signer)
	if err != nil {
		return nil, nil, eris.Wrap(err, "encode the key")
	}
	certificate = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return certificate, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}), nil
}

// Write issues a certificate into a directory that holds one process's files.
func (a *Authority) Write(now time.Time, dir string, peer identity.Peer, names ...string) (identity.Files, error) {
	files := identity.Files{
		Authorities: filepath.Join(dir, "authorities.pem"),
		Certificate: filepath.Join(dir, "certificate.pem"),
		Key:         filepath.Join(dir, "key.pem"),
	}
	certificate, key, err := a.Issue(now, peer, names...)
	if err != nil {
		return files, err
	}
	for path, p := range map[string][]byte{files.Authorities: a.PEM(), files.Certificate: certificate, files.Key: key} {
		if err := os.WriteFile(path, p, 0o600); err != nil {
			return files, eris.Wrap(err, "write credentials")
		}
	}
	return files, nil
}

func template(name string, now time.Time) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, eris.Wrap(err, "draw a serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(Lifetime),
	}, nil
}

// sign makes a key and its certificate; without a signer it signs itself.
func sign(t, parent *x509.Certificate, signer crypto.Signer) (*ecdsa.PrivateKey, []byte, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, eris.Wrap(err, "make a key")
	}
	if signer == nil {
		signer = key
	}
	der, err := x509.CreateCertificate(rand.Reader, t, parent, key.Public(), signer)
	return key, der, eris.Wrap(err, "sign a certificate")
}
