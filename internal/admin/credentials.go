package admin

import (
	"crypto/tls"
	"crypto/x509"
	"sync/atomic"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/file"
	"github.com/rotisserie/eris"
)

// Credentials are the paths of the PEM files of a server or a client.
type Credentials struct {
	CAFile          string // certificate authority of the peer
	CertificateFile string
	KeyFile         string
}

// ServerTLS returns a configuration that requires a client certificate issued by
// the authority. It reads the files at each handshake, so that they can be
// replaced while the server runs, and uses the last valid set.
func (c Credentials) ServerTLS() (*tls.Config, error) {
	initial, err := c.loadServerTLS()
	if err != nil {
		return nil, err
	}
	var lastValid atomic.Pointer[tls.Config]
	lastValid.Store(initial)
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAndVerifyClientCert,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			if cfg, err := c.loadServerTLS(); err == nil {
				lastValid.Store(cfg)
			}
			return lastValid.Load(), nil
		},
	}, nil
}

func (c Credentials) loadServerTLS() (*tls.Config, error) {
	certificate, pool, err := c.load()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
		Certificates: []tls.Certificate{certificate},
	}, nil
}

// ClientTLS returns the TLS configuration of an operator's client.
func (c Credentials) ClientTLS() (*tls.Config, error) {
	certificate, pool, err := c.load()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		RootCAs:      pool,
		Certificates: []tls.Certificate{certificate},
	}, nil
}

func (c Credentials) load() (tls.Certificate, *x509.CertPool, error) {
	certificate, err := tls.LoadX509KeyPair(c.CertificateFile, c.KeyFile)
	if err != nil {
		return certificate, nil, eris.Wrap(err, c.CertificateFile)
	}
	ca, err := file.Read(c.CAFile, maxCredentialBytes)
	if err != nil {
		return certificate, nil, eris.Wrap(err, "authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return certificate, nil, eris.Wrapf(currantturn.ErrMalformed, "%s contains no certificate", c.CAFile)
	}
	return certificate, pool, nil
}
