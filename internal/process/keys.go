package process

import (
	"bytes"
	"crypto/tls"
	"encoding/hex"

	"github.com/currantturn/currantturn/internal/core"
	"github.com/currantturn/currantturn/internal/file"
	"github.com/currantturn/currantturn/internal/protocol/seal"
	"github.com/rotisserie/eris"
)

// readSecrets reads the hash key of the fleet, in hexadecimal, and returns the
// secrets derived from it.
func readSecrets(path string) (core.Secrets, error) {
	p, err := file.Read(path, maxKeyFileBytes)
	if err != nil {
		return core.Secrets{}, err
	}
	master := make([]byte, hex.DecodedLen(len(bytes.TrimSpace(p))))
	if _, err := hex.Decode(master, bytes.TrimSpace(p)); err != nil {
		return core.Secrets{}, eris.Wrapf(err, "hash key in %s", path)
	}
	s, err := core.NewSecrets(master)
	return s, eris.Wrap(err, path)
}

// readKeyRing reads the datagram keys of the fleet.
func readKeyRing(path string) (seal.Ring, error) {
	p, err := file.Read(path, maxKeyFileBytes)
	if err != nil {
		return seal.Ring{}, err
	}
	ring, err := seal.ParseRing(p)
	return ring, eris.Wrap(err, path)
}

// readCallerTLS returns the TLS configuration of connections from callers.
func readCallerTLS(certificate, key string) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, eris.Wrap(err, "certificate presented to callers")
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13}, nil
}
