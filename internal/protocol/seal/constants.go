package seal

import "time"

// Wire layout, big-endian, sizes in bytes: format (1), key ID (1), sender ID (12),
// nonce (12: time stamp in milliseconds 6, counter 6), check code (4), then the
// payload and the authentication tag (16).
const (
	format        = 1
	senderBytes   = 12
	nonceBytes    = 12
	checkBytes    = 4
	tagBytes      = 16
	keyOffset     = 1
	senderOffset  = 2
	nonceOffset   = senderOffset + senderBytes
	counterOffset = nonceOffset + 6
	checkOffset   = nonceOffset + nonceBytes
	headerBytes   = checkOffset + checkBytes
	counterBits   = 48
	counterLimit  = 1 << counterBits
)

const (
	// OverheadBytes is the size that sealing adds to a datagram.
	OverheadBytes = headerBytes + tagBytes
	// SecretBytes is the size of a key's secret.
	SecretBytes = 32
	// MaxKeys is the largest number of valid keys: the old and the new one during
	// a rotation.
	MaxKeys = 2
	// FreshFor is the largest difference, in either direction, between a datagram's
	// time stamp and the receiver's clock.
	FreshFor = 10 * time.Second
	// MaxSenders is the largest number of senders whose window a receiver keeps.
	MaxSenders = 16384
	// DerivationsPerSecond limits the keys derived for unknown senders.
	DerivationsPerSecond = 2048
	// DerivationBurst allows the keys of all peers to be derived at once after a
	// restart.
	DerivationBurst = MaxSenders
	// windowBits is the size of a sender's replay window; one word of 64 bits is
	// spare, as RFC 6479 requires.
	windowBits = 2048
	// shardCount is the number of parts of the peer table, each with its own lock.
	shardCount = 16
)
