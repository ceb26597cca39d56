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

// Files name the PEM files of one process.
type Files struct {
	Authorities string // one certificate, or two during rotation
	Certificate string
	Key         string
}

// contents are the bytes of the files, by which a change is noticed.
type contents struct {
	authorities, certificate, key []byte
}

func (f Files) read() (c contents, err error) {
	if c.authorities, err = file.Read(f.Authorities, maxFileBytes); err != nil {
		return c, err
	}
	if c.certificate, err = file.Read(f.Certificate, maxFileBytes); err != nil {
		return c, err
	}
	c.key, err = file.Read(f.Key, maxFileBytes)
	return c, err
}

func (c contents) equal(o contents) bool {
	return bytes.Equal(c.authorities, o.authorities) &&
		bytes.Equal(c.certificate, o.certificate) &&
		bytes.Equal(c.key, o.key)
}

// credentials are what one set of files holds.
type credentials struct {
	contents    contents
	self        Peer
	certificate tls.Certificate
	pool        *x509.CertPool
}

// parse accepts only a certificate that its own authorities vouch for, so that
// a wrong set of files never replaces a right one.
func parse(c contents, now time.Time) (*credentials, error) {
	pair, err := tls.X509KeyPair(c.certificate, c.key)
	if err != nil {
		return nil, eris.Wrap(currantturn.ErrMalformed, err.Error())
	}
	pool, err := parseAuthorities(c.authorities)
	if err != nil {
		return nil, err
	}
	out := &credentials{contents: c, certificate: pair, pool: pool}
	if out.self, err = out.verify([]*x509.Certificate{pair.Leaf}, now, x509.ExtKeyUsageAny); err != nil {
		return nil, err
	}
	return out, nil
}

func parseAuthorities(p []byte) (*x509.CertPool, error) {
	pool := x509.NewCertPool()
	n := 0
	for block, rest := pem.Decode(p); block != nil; block, rest = pem.Decode(rest) {
		c, err := x509.ParseCertificate(block.Bytes)
		if err != nil || !c.IsCA {
			return nil, eris.Wrap(currantturn.ErrMalformed, "authorities hold something other than authorities")
		}
		pool.AddCert(c)
		n++
	}
	if n == 0 || n > MaxAuthorities {
		return nil, eris.Wrapf(currantturn.ErrMalformed, "%d authorities, not 1 to %d", n, MaxAuthorities)
	}
	return pool, nil
}

// verify checks a chain against the authorities and returns whom it states.
func (c *credentials) verify(chain []*x509.Certificate, now time.Time, usage x509.ExtKeyUsage) (Peer, error) {
	if len(chain) == 0 {
		return Peer{}, eris.Wrap(currantturn.ErrUnauthenticated, "no certificate")
	}
	between := x509.NewCertPool()
	for _, next := range chain[1:] {
		between.AddCert(next)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots: c.pool, Intermediates: between, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return Peer{}, eris.Wrap(currantturn.ErrUnauthenticated, err.Error())
	}
	return peerOf(chain[0])
}
