package identity

import (
	"crypto/x509"
	"net/url"
	"strings"

	"github.com/currantturn/currantturn"
	"github.com/rotisserie/eris"
)

// Peer is the role and name of a process, as its certificate contains them.
type Peer struct {
	Role currantturn.Role
	Name string
}

// URI returns the URI of a peer in its certificate's subject alternative names.
func (p Peer) URI() *url.URL {
	return &url.URL{Scheme: uriScheme, Host: string(p.Role), Path: "/" + p.Name}
}

// Accept reports whether a connection with an authenticated peer is allowed.
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

// peerFromCertificate returns the role and name in a certificate. It refuses a
// certificate without exactly one URI of uriScheme, or with an invalid one.
func peerFromCertificate(c *x509.Certificate) (Peer, error) {
	var found []Peer
	for _, u := range c.URIs {
		if u.Scheme == uriScheme {
			found = append(found, Peer{currantturn.Role(u.Host), strings.TrimPrefix(u.Path, "/")})
		}
	}
	if len(found) != 1 || found[0].Name == "" || !isKnownRole(found[0].Role) {
		return Peer{}, eris.Wrapf(currantturn.ErrUnauthenticated, "certificate of %q does not contain exactly one URI with a known role and a name", c.Subject.CommonName)
	}
	return found[0], nil
}

func isKnownRole(r currantturn.Role) bool {
	return r == currantturn.RoleBalancer || r == currantturn.RoleAgent
}
