package identity

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/file"
	"github.com/rotisserie/eris"
)

// Files holds the paths of the PEM files of one process.
type Files struct {
	Authorities string // CA certificates: one, or two during rotation
	Certificate string // the process's own certificate
	Key         string // the private key of Certificate
}

// fileContents holds the bytes of the files, which are compared to detect a change.
type fileContents struct {
	authorities, certificate, key []byte
}

// read returns the contents of the files.
func (f Files) read() (c fileContents, err error) {
	if c.authorities, err = file.Read(f.Authorities, maxFileBytes); err != nil {
		return c, err
	}
	if c.certificate, err = file.Read(f.Certificate, maxFileBytes); err != nil {
		return c, err
	}
	c.key, err = file.Read(f.Key, maxFileBytes)
	return c, err
}

func (c fileContents) equal(o fileContents) bool {
	return bytes.Equal(c.authorities, o.authorities) &&
		bytes.Equal(c.certificate, o.certificate) &&
		bytes.Equal(c.key, o.key)
}

// credentials are the parsed contents of one set of files.
type credentials struct {
	contents    fileContents
	self        Peer // role and name in the process's own certificate
	certificate tls.Certificate
	authorities *x509.CertPool
}

// parseCredentials parses file contents. It requires the authorities to verify the
// process's own certificate, so that mismatched files never replace valid ones.
func parseCredentials(c fileContents, now time.Time) (*credentials, error) {
	keyPair, err := tls.X509KeyPair(c.certificate, c.key)
	if err != nil {
		return nil, eris.Wrap(currantturn.ErrMalformed, err.Error())
	}
	authorities, err := parseAuthorities(c.authorities)
	if err != nil {
		return nil, err
	}
	creds := &credentials{contents: c, certificate: keyPair, authorities: authorities}
	if creds.self, err = creds.verify([]*x509.Certificate{keyPair.Leaf}, now, x509.ExtKeyUsageAny); err != nil {
		return nil, err
	}
	return creds, nil
}

// parseAuthorities returns the CA certificates of a PEM file.
func parseAuthorities(p []byte) (*x509.CertPool, error) {
	pool := x509.NewCertPool()
	count := 0
	for block, rest := pem.Decode(p); block != nil; block, rest = pem.Decode(rest) {
		c, err := x509.ParseCertificate(block.Bytes)
		if err != nil || !c.IsCA {
			return nil, eris.Wrap(currantturn.ErrMalformed, "authorities file contains something other than valid CA certificates")
		}
		pool.AddCert(c)
		count++
	}
	if count == 0 || count > MaxAuthorities {
		return nil, eris.Wrapf(currantturn.ErrMalformed, "authorities file has %d certificates, want 1 to %d", count, MaxAuthorities)
	}
	return pool, nil
}

// verify checks a certificate chain against the authorities and returns the role and
// name in its first certificate.
func (c *credentials) verify(chain []*x509.Certificate, now time.Time, usage x509.ExtKeyUsage) (Peer, error) {
	if len(chain) == 0 {
		return Peer{}, eris.Wrap(currantturn.ErrUnauthenticated, "peer presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range chain[1:] {
		intermediates.AddCert(cert)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots: c.authorities, Intermediates: intermediates, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return Peer{}, eris.Wrap(currantturn.ErrUnauthenticated, err.Error())
	}
	return peerFromCertificate(chain[0])
}
