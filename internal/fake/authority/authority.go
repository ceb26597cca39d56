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

// Lifetime is how long certificates are valid after they are issued.
const Lifetime = 48 * time.Hour

const serialBits = 120 // random bits of a serial number

// Authority is a certificate authority that keeps its key in memory.
type Authority struct {
	certificate *x509.Certificate
	key         crypto.Signer
}

// New generates an authority that is valid from an hour before now.
func New(now time.Time) (*Authority, error) {
	t, err := newTemplate("currantturn throw-away authority", now)
	if err != nil {
		return nil, err
	}
	t.IsCA, t.BasicConstraintsValid = true, true
	t.KeyUsage = x509.KeyUsageCertSign
	key, der, err := newSignedKey(t, t, nil)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	return &Authority{certificate: certificate, key: key}, eris.Wrap(err, "parse the authority's certificate")
}

// PEM returns the authority's own certificate.
func (a *Authority) PEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.certificate.Raw})
}

// Issue returns a new certificate for a process and its key, both in PEM. The
// certificate is also valid for the given DNS names and the loopback addresses.
func (a *Authority) Issue(now time.Time, peer identity.Peer, names ...string) (certificate, key []byte, err error) {
	t, err := newTemplate(peer.Name, now)
	if err != nil {
		return nil, nil, err
	}
	t.URIs = append(t.URIs, peer.URI())
	t.DNSNames = names
	t.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	signer, der, err := newSignedKey(t, a.certificate, a.key)
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

// Write issues a certificate and writes it, its key and the authority's
// certificate to a directory that holds the files of one process.
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

// newTemplate returns a certificate with a random serial number that is valid from
// an hour before now until a Lifetime after it.
func newTemplate(name string, now time.Time) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, eris.Wrap(err, "generate a serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(Lifetime),
	}, nil
}

// newSignedKey generates a key and signs its certificate with signer, or with the
// new key itself if signer is nil.
func newSignedKey(template, parent *x509.Certificate, signer crypto.Signer) (*ecdsa.PrivateKey, []byte, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, eris.Wrap(err, "generate a key")
	}
	if signer == nil {
		signer = key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), signer)
	return key, der, eris.Wrap(err, "sign a certificate")
}
