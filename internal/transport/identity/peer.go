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

// URI is the form of a peer in a certificate's subject alternative names.
func (p Peer) URI() *url.URL {
	return &url.URL{Scheme: scheme, Host: string(p.Role), Path: "/" + p.Name}
}

// Accept says whether a peer may speak here.
type Accept func(Peer) bool

// AnyOf accepts every peer of the given roles.
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

// Only accepts one peer.
func Only(want Peer) Accept {
	return func(p Peer) bool { return p == want }
}

// peerOf reads the one peer that a certificate states.
func peerOf(c *x509.Certificate) (Peer, error) {
	var found []Peer
	for _, u := range c.URIs {
		if u.Scheme == scheme {
			found = append(found, Peer{currantturn.Role(u.Host), strings.TrimPrefix(u.Path, "/")})
		}
	}
	if len(found) != 1 || found[0].Name == "" || !known(found[0].Role) {
		return Peer{}, eris.Wrapf(currantturn.ErrUnauthenticated, "certificate of %q states no single role and name", c.Subject.CommonName)
	}
	return found[0], nil
}

func known(r currantturn.Role) bool {
	return r == currantturn.RoleBalancer || r == currantturn.RoleAgent
}
