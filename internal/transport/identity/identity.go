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

// Identity holds the current credentials of one process.
type Identity struct {
	files   Files
	clock   func() time.Time
	report  func(currantturn.Event)
	mu      sync.Mutex // serialises loading
	current atomic.Pointer[credentials]
	counts  counts
}

// Open reads the credentials and refuses files that do not match each other.
func Open(files Files, clock func() time.Time, report func(currantturn.Event)) (*Identity, error) {
	i := &Identity{files: files, clock: clock, report: report}
	_, err := i.loadIfChanged()
	return i, err
}

// Self returns the role and name in the process's own certificate.
func (i *Identity) Self() Peer {
	return i.current.Load().self
}

// Reload applies changed files; after an error the earlier credentials stay in use.
// It also reports a certificate that expires within ExpiryNotice.
func (i *Identity) Reload() error {
	changed, err := i.loadIfChanged()
	now := i.clock()
	notAfter := i.current.Load().certificate.Leaf.NotAfter
	switch {
	case err != nil:
		i.counts.reloadFailures.Add(1)
		i.reportEvent(event.CredentialsReloadFailed, event.F("file", i.files.Certificate), event.F("error", err.Error()))
	case changed:
		i.counts.reloads.Add(1)
		i.reportEvent(event.CredentialsReloaded, event.F("not_after", notAfter))
	}
	if notAfter.Sub(now) < ExpiryNotice {
		i.reportEvent(event.CertificateExpiring, event.F("file", i.files.Certificate), event.F("not_after", notAfter))
	}
	return err
}

// loadIfChanged reads the files and, if they differ from the current credentials,
// replaces these.
func (i *Identity) loadIfChanged() (changed bool, err error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	c, err := i.files.read()
	if err != nil {
		return false, err
	}
	if last := i.current.Load(); last != nil && last.contents.equal(c) {
		return false, nil
	}
	next, err := parseCredentials(c, i.clock())
	if err != nil {
		return false, err
	}
	i.current.Store(next)
	return true, nil
}

func (i *Identity) reportEvent(number int, fields ...currantturn.Field) {
	i.report(currantturn.Event{Number: number, Fields: fields})
}

// ServerTLS returns the configuration for accepting connections from peers that
// satisfy accept.
func (i *Identity) ServerTLS(accept Accept) *tls.Config {
	cfg := i.tlsConfig(accept, x509.ExtKeyUsageClientAuth)
	cfg.ClientAuth = tls.RequireAnyClientCert // verified by VerifyConnection
	cfg.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		return &i.current.Load().certificate, nil
	}
	return cfg
}

// ClientTLS returns the configuration for connecting to peers that satisfy accept.
// Peers are identified by role and name instead of host name, because their
// addresses change.
func (i *Identity) ClientTLS(accept Accept) *tls.Config {
	cfg := i.tlsConfig(accept, x509.ExtKeyUsageServerAuth)
	cfg.InsecureSkipVerify = true // verified by VerifyConnection
	cfg.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return &i.current.Load().certificate, nil
	}
	return cfg
}

// tlsConfig returns the part that servers and clients share. VerifyConnection uses
// the current authorities, also when a session is resumed, so that the removal of an
// authority takes effect from the next handshake on.
func (i *Identity) tlsConfig(accept Accept, usage x509.ExtKeyUsage) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{Protocol},
		Time:       i.clock,
		VerifyConnection: func(s tls.ConnectionState) error {
			return i.verifyPeer(s.PeerCertificates, accept, usage)
		},
	}
}

// verifyPeer checks a peer's certificate chain and whether accept allows the peer. It
// counts the result and reports a refusal.
func (i *Identity) verifyPeer(chain []*x509.Certificate, accept Accept, usage x509.ExtKeyUsage) error {
	peer, err := i.current.Load().verify(chain, i.clock(), usage)
	if err == nil && !accept(peer) {
		err = eris.Wrapf(currantturn.ErrUnauthenticated, "peer %s is not accepted here", peer.URI())
	}
	if err != nil {
		i.counts.refused.Add(1)
		i.reportEvent(event.PeerRefused, event.F("from", peer.Name), event.F("error", err.Error()))
		return err
	}
	i.counts.accepted.Add(1)
	return nil
}
