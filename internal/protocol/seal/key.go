package seal

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/binary"

	"github.com/dchest/siphash"
)

// HKDF labels keep the keys derived from one secret independent of each other.
const (
	labelSender = "currantturn datagram sender 1 "
	labelCheck  = "currantturn datagram check 1"
)

// senderID is the random ID of one run of a process.
type senderID [senderBytes]byte

// preparedKey is a fleet key with the SipHash key of its check codes.
type preparedKey struct {
	Key
	checkKey0, checkKey1 uint64
}

// prepareKey derives the key of the check codes.
func prepareKey(k Key) (*preparedKey, error) {
	b, err := hkdf.Expand(sha256.New, k.Secret[:], labelCheck, 16)
	if err != nil {
		return nil, err
	}
	return &preparedKey{Key: k, checkKey0: binary.BigEndian.Uint64(b), checkKey1: binary.BigEndian.Uint64(b[8:])}, nil
}

// checkCode returns a short code over a datagram's header. Receivers verify it before
// they derive a sender's key, which costs far more. Thus only a header made with the
// fleet key leads to a derivation.
func (k *preparedKey) checkCode(header []byte) uint32 {
	return uint32(siphash.Hash(k.checkKey0, k.checkKey1, header))
}

// deriveAEAD derives the authenticator of one sender. GMAC is broken if a nonce is
// used twice under one key, so each process draws its own sender ID and thus has a
// new key after a restart.
func (k *preparedKey) deriveAEAD(sender senderID) (cipher.AEAD, error) {
	b, err := hkdf.Expand(sha256.New, k.Secret[:], labelSender+string(sender[:]), SecretBytes)
	if err != nil {
		return nil, err
	}
	block, err := aes.NewCipher(b)
	if err != nil {
		return nil, err
	}
	return cipher.NewGCM(block)
}
