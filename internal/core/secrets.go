package core

import (
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/binary"

	"github.com/currantturn/currantturn/internal/coordination/rank"
	"github.com/currantturn/currantturn/internal/protocol/connid"
	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

// MasterBytes is the least size of the fleet's hash key.
const MasterBytes = 32

// Secrets are derived from the fleet's hash key and the same on the whole fleet.
type Secrets struct {
	Rank    rank.Key
	ConnIDs *connid.Codec
	Reset   quic.StatelessResetKey // lets any agent reset a lost connection
	Token   quic.TokenGeneratorKey // lets any agent take another's address tokens
}

// NewSecrets derives the fleet's secrets from its hash key.
func NewSecrets(master []byte) (Secrets, error) {
	if len(master) < MasterBytes {
		return Secrets{}, eris.Errorf("hash key has %d bytes, not %d", len(master), MasterBytes)
	}
	var s Secrets
	var ranks [16]byte
	var ids [connid.KeyBytes]byte
	for _, d := range []struct {
		label string
		into  []byte
	}{
		{"rank", ranks[:]},
		{"connection id", ids[:]},
		{"stateless reset", s.Reset[:]},
		{"address token", s.Token[:]},
	} {
		key, err := hkdf.Key(sha256.New, master, nil, "currantturn "+d.label, len(d.into))
		if err != nil {
			return Secrets{}, eris.Wrap(err, d.label)
		}
		copy(d.into, key)
	}
	s.Rank = rank.Key{K0: binary.BigEndian.Uint64(ranks[:]), K1: binary.BigEndian.Uint64(ranks[8:])}
	s.ConnIDs = connid.NewCodec(ids)
	return s, nil
}
