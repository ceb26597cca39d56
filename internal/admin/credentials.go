package admin

import (
	"crypto/tls"
	"crypto/x509"
	"sync/atomic"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/file"
	"github.com/rotisserie/eris"
)

// Credentials name the PEM files of one side of the API.
type Credentials struct {
	CAFile          string // authority of the other side
	CertificateFile string
	KeyFile         string
}

// ServerTLS returns a configuration that requires a client certificate of the
// authority; the files are read at each handshake, so that they can be replaced,
// and the last ones that fit each other are used.
func (c Credentials) ServerTLS() (*tls.Config, error) {
	first, err := c.loadServer()
	if err != nil {
		return nil, err
	}
	var last atomic.Pointer[tls.Config]
	last.Store(first)
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAndVerifyClientCert,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			if cfg, err := c.loadServer(); err == nil {
				last.Store(cfg)
			}
			return last.Load(), nil
		},
	}, nil
}

func (c Credentials) loadServer() (*tls.Config, error) {
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

// ClientTLS returns the configuration of an operator's client.
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
		return certificate, nil, eris.Wrapf(currantturn.ErrMalformed, "%s holds no certificate", c.CAFile)
	}
	return certificate, pool, nil
}
