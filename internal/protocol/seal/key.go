package seal

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/binary"

	"github.com/dchest/siphash"
)

// Labels separate what is derived from one secret.
const (
	labelSender = "currantturn datagram sender 1 "
	labelCheck  = "currantturn datagram check 1"
)

type senderID [senderBytes]byte

// preparedKey is a fleet key prepared for use.
type preparedKey struct {
	Key
	checkKey0, checkKey1 uint64
}

func prepareKey(k Key) (*preparedKey, error) {
	b, err := hkdf.Expand(sha256.New, k.Secret[:], labelCheck, 16)
	if err != nil {
		return nil, err
	}
	return &preparedKey{Key: k, checkKey0: binary.BigEndian.Uint64(b), checkKey1: binary.BigEndian.Uint64(b[8:])}, nil
}

// checkCode is a short code over the head that costs far less than a derivation, so
// that only holders of the key make a receiver derive one.
func (k *preparedKey) checkCode(head []byte) uint32 {
	return uint32(siphash.Hash(k.checkKey0, k.checkKey1, head))
}

// deriveAEAD returns the authenticator of one sender. GMAC fails when a nonce is
// used twice under a key; each process draws its own sender, so that a restart
// begins with a key of its own.
func (k *preparedKey) deriveAEAD(s senderID) (cipher.AEAD, error) {
	b, err := hkdf.Expand(sha256.New, k.Secret[:], labelSender+string(s[:]), SecretBytes)
	if err != nil {
		return nil, err
	}
	block, err := aes.NewCipher(b)
	if err != nil {
		return nil, err
	}
	return cipher.NewGCM(block)
}
