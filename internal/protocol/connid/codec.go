package connid

import (
	"crypto/aes"
	"crypto/cipher"
	"encoding/binary"
	"io"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

const (
	// Bytes is the length of a connection ID: one cipher block.
	Bytes = aes.BlockSize
	// KeyBytes is the length of a key (AES-128).
	KeyBytes = 16

	longHeader         = 0x80 // bit of the first byte, set in a long header
	fixedBit           = 0x40 // bit of the first byte, set in every QUIC packet
	longIDLengthOffset = 5    // of the length of the destination ID in a long header
)

// Codec encrypts a backend server's 64-bit seed and a 64-bit nonce as one
// block. A block made without the key decrypts to a random seed, which matches
// one of n backend servers with a probability of n / 2^64.
type Codec struct {
	blocks []cipher.Block
}

// NewCodec returns a codec that encrypts with the first key and decrypts with
// each of them, so that keys can be rotated.
func NewCodec(keys ...[KeyBytes]byte) *Codec {
	c := &Codec{}
	for i := range keys {
		// The only error is a wrong key length.
		b, _ := aes.NewCipher(keys[i][:])
		c.blocks = append(c.blocks, b)
	}
	return c
}

// KeyCount returns the number of keys; a connection ID may be under any of them.
func (c *Codec) KeyCount() int {
	return len(c.blocks)
}

// DecryptSeed returns the seed in a connection ID, decrypted with the key at the given
// index.
func (c *Codec) DecryptSeed(key int, id []byte) uint64 {
	var b [Bytes]byte
	c.blocks[key].Decrypt(b[:], id)
	return binary.BigEndian.Uint64(b[:8])
}

// Generator generates the connection IDs of one backend server.
type Generator struct {
	block cipher.Block
	seed  uint64
	rand  io.Reader
}

var _ quic.ConnectionIDGenerator = (*Generator)(nil)

// NewGenerator returns a generator for the backend server with the given
// rank.Seed; it reads nonces from rand.
func NewGenerator(c *Codec, seed uint64, rand io.Reader) *Generator {
	return &Generator{block: c.blocks[0], seed: seed, rand: rand}
}

// GenerateConnectionID returns a new connection ID.
func (g *Generator) GenerateConnectionID() (quic.ConnectionID, error) {
	var b [Bytes]byte
	binary.BigEndian.PutUint64(b[:8], g.seed)
	if _, err := io.ReadFull(g.rand, b[8:]); err != nil {
		return quic.ConnectionID{}, eris.Wrap(err, "read a nonce")
	}
	g.block.Encrypt(b[:], b[:])
	return quic.ConnectionIDFromBytes(b[:]), nil
}

// ConnectionIDLen returns the length of the connection IDs.
func (g *Generator) ConnectionIDLen() int {
	return Bytes
}

// DestinationID returns the destination connection ID of a QUIC packet, or nil if
// there is none. A short header does not contain the length of the ID, which is
// assumed to be Bytes.
func DestinationID(p []byte) []byte {
	if len(p) <= longIDLengthOffset || p[0]&fixedBit == 0 {
		return nil
	}
	if p[0]&longHeader == 0 {
		if len(p) < 1+Bytes {
			return nil
		}
		return p[1 : 1+Bytes]
	}
	n := int(p[longIDLengthOffset])
	if len(p) < longIDLengthOffset+1+n {
		return nil
	}
	return p[longIDLengthOffset+1 : longIDLengthOffset+1+n]
}
