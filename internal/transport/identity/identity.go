package identity

import (
	"crypto/tls"
	"crypto/x509"
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/rotisserie/eris"
)

// Identity holds the credentials of one process.
type Identity struct {
	files   Files
	clock   func() time.Time
	report  func(currantturn.Event)
	mu      sync.Mutex // serialises Reload
	current atomic.Pointer[credentials]
	counts  counts
}

// Open reads the credentials and refuses files that do not fit each other.
func Open(files Files, clock func() time.Time, report func(currantturn.Event)) (*Identity, error) {
	i := &Identity{files: files, clock: clock, report: report}
	_, err := i.load()
	return i, err
}

// Self is whom the process's own certificate states.
func (i *Identity) Self() Peer {
	return i.current.Load().self
}

// Reload takes changed files into use; on an error the earlier ones stay.
func (i *Identity) Reload() error {
	changed, err := i.load()
	now := i.clock()
	notAfter := i.current.Load().certificate.Leaf.NotAfter
	switch {
	case err != nil:
		i.counts.reloadFailures.Add(1)
		i.event(event.CredentialsReloadFailed, event.F("file", i.files.Certificate), event.F("error", err.Error()))
	case changed:
		i.counts.reloads.Add(1)
		i.event(event.CredentialsReloaded, event.F("not_after", notAfter))
	}
	if notAfter.Sub(now) < ExpiryNotice {
		i.event(event.CertificateExpiring, event.F("file", i.files.Certificate), event.F("not_after", notAfter))
	}
	return err
}

func (i *Identity) load() (changed bool, err error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	c, err := i.files.read()
	if err != nil {
		return false, err
	}
	if last := i.current.Load(); last != nil && last.contents.equal(c) {
		return false, nil
	}
	next, err := parse(c, i.clock())
	if err != nil {
		return false, err
	}
	i.current.Store(next)
	return true, nil
}

func (i *Identity) event(number int, fields ...currantturn.Field) {
	i.report(currantturn.Event{Number: number, Fields: fields})
}

// ServerTLS is the configuration by which the process takes connections from
// accepted peers.
func (i *Identity) ServerTLS(accept Accept) *tls.Config {
	cfg := i.config(accept, x509.ExtKeyUsageClientAuth)
	cfg.ClientAuth = tls.RequireAnyClientCert // verified by VerifyConnection
	cfg.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		return &i.current.Load().certificate, nil
	}
	return cfg
}

// ClientTLS is the configuration by which the process connects to an accepted
// peer. Peers are known by role and name, because their addresses change.
func (i *Identity) ClientTLS(accept Accept) *tls.Config {
	cfg := i.config(accept, x509.ExtKeyUsageServerAuth)
	cfg.InsecureSkipVerify = true // verified by VerifyConnection
	cfg.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return &i.current.Load().certificate, nil
	}
	return cfg
}

// config verifies by the authorities of the moment, also on resumption, so that
// a removed authority counts from the next handshake on.
func (i *Identity) config(accept Accept, usage x509.ExtKeyUsage) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{Protocol},
		Time:       i.clock,
		VerifyConnection: func(s tls.ConnectionState) error {
			return i.admit(s.PeerCertificates, accept, usage)
		},
	}
}

func (i *Identity) admit(chain []*x509.Certificate, accept Accept, usage x509.ExtKeyUsage) error {
	peer, err := i.current.Load().verify(chain, i.clock(), usage)
	if err == nil && !accept(peer) {
		err = eris.Wrapf(currantturn.ErrUnauthenticated, "%s is not accepted here", peer.URI())
	}
	if err != nil {
		i.counts.refused.Add(1)
		i.event(event.PeerRefused, event.F("from", peer.Name), event.F("error", err.Error()))
		return err
	}
	i.counts.accepted.Add(1)
	return nil
}
