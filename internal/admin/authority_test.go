package admin_test

import (
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

	"github.com/currantturn/currantturn/internal/admin"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// authority issues certificates for a test.
type authority struct {
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
}

func newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	return key
}

func template(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		KeyUsage:     x509.KeyUsageDigitalSignature,
	}
}

func newAuthority() *authority {
	key := newKey()
	t := template("authority")
	t.IsCA, t.BasicConstraintsValid, t.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, key.Public(), key)
	Expect(err).NotTo(HaveOccurred())
	certificate, err := x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	return &authority{key, certificate}
}

// issue writes a new certificate, its key and the authority to files.
func (a *authority) issue(name string) admin.Credentials {
	dir := GinkgoT().TempDir()
	c := admin.Credentials{
		CAFile:          filepath.Join(dir, "ca.pem"),
		CertificateFile: filepath.Join(dir, name+".pem"),
		KeyFile:         filepath.Join(dir, name+".key"),
	}
	a.replace(c)
	return c
}

// replace overwrites the files of credentials by new ones of this authority.
func (a *authority) replace(c admin.Credentials) {
	key := newKey()
	der, err := x509.CreateCertificate(rand.Reader, template("process"), a.certificate, key.Public(), a.key)
	Expect(err).NotTo(HaveOccurred())
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	writePEM(c.CAFile, "CERTIFICATE", a.certificate.Raw)
	writePEM(c.CertificateFile, "CERTIFICATE", der)
	writePEM(c.KeyFile, "PRIVATE KEY", keyDER)
}

func writePEM(path, kind string, der []byte) {
	p := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	Expect(os.WriteFile(path, p, 0o600)).To(Succeed())
}
