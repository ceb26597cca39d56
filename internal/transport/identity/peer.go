package identity

import (
	"crypto/x509"
	"net/url"
	"strings"

	"github.com/currantturn/currantturn"
	"github.com/rotisserie/eris"
)

// Peer is the role and name that a certificate states.
type Peer struct {
	Role currantturn.Role
	Name string
}

// URI returns the form of a peer in a certificate's subject alternative names.
func (p Peer) URI() *url.URL {
	return &url.URL{Scheme: uriScheme, Host: string(p.Role), Path: "/" + p.Name}
}

// Accept returns whether a connection with an authenticated peer is allowed.
type Accept func(Peer) bool

// AnyOf accepts every peer with one of the given roles.
func AnyOf(roles ...currantturn.Role) Accept {
	return func(p Peer) bool {
		for _, r := range roles {
			if p.Role == r {
				return true
			}
		}
		return false
	}
}

// Only accepts a single peer.
func Only(want Peer) Accept {
	return func(p Peer) bool { return p == want }
}

// peerFromCertificate returns the peer that a certificate states. It refuses a
// certificate that states none or several.
func peerFromCertificate(c *x509.Certificate) (Peer, error) {
	var found []Peer
	for _, u := range c.URIs {
		if u.Scheme == uriScheme {
			found = append(found, Peer{currantturn.Role(u.Host), strings.TrimPrefix(u.Path, "/")})
		}
	}
	if len(found) != 1 || found[0].Name == "" || !isKnownRole(found[0].Role) {
		return Peer{}, eris.Wrapf(currantturn.ErrUnauthenticated, "certificate of %q does not state exactly one known role and name", c.Subject.CommonName)
	}
	return found[0], nil
}

func isKnownRole(r currantturn.Role) bool {
	return r == currantturn.RoleBalancer || r == currantturn.RoleAgent
}
