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

// MinHashKeyBytes is the minimum size of the fleet's hash key, in bytes.
const MinHashKeyBytes = 32

// Secrets holds keys derived from the fleet's hash key; all processes of the
// fleet have the same.
type Secrets struct {
	Rank    rank.Key
	ConnIDs *connid.Codec
	Reset   quic.StatelessResetKey // lets any agent reset a connection whose state is lost
	Token   quic.TokenGeneratorKey // lets any agent accept address tokens issued by another
}

// NewSecrets derives the fleet's secrets from its hash key.
func NewSecrets(hashKey []byte) (Secrets, error) {
	if len(hashKey) < MinHashKeyBytes {
		return Secrets{}, eris.Errorf("hash key has %d bytes; at least %d are needed", len(hashKey), MinHashKeyBytes)
	}
	var s Secrets
	var rankKey [16]byte
	var connIDKey [connid.KeyBytes]byte
	for _, derived := range []struct {
		label string
		dst   []byte
	}{
		{"rank", rankKey[:]},
		{"connection id", connIDKey[:]},
		{"stateless reset", s.Reset[:]},
		{"address token", s.Token[:]},
	} {
		key, err := hkdf.Key(sha256.New, hashKey, nil, "currantturn "+derived.label, len(derived.dst))
		if err != nil {
			return Secrets{}, eris.Wrap(err, derived.label)
		}
		copy(derived.dst, key)
	}
	s.Rank = rank.Key{K0: binary.BigEndian.Uint64(rankKey[:]), K1: binary.BigEndian.Uint64(rankKey[8:])}
	s.ConnIDs = connid.NewCodec(connIDKey)
	return s, nil
}
