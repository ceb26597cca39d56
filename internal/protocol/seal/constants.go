package seal

import "time"

// Wire layout, big endian: format (1), key ID (1), sender (12), nonce (stamp in
// milliseconds 6, counter 6), check (4), then the payload and the tag (16).
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
	// OverheadBytes is what sealing adds to a datagram.
	OverheadBytes = headerBytes + tagBytes
	// SecretBytes is the size of a key.
	SecretBytes = 32
	// MaxKeys is how many keys are valid at once during rotation.
	MaxKeys = 2
	// FreshFor is how far a datagram's stamp may be from the receiver's clock.
	FreshFor = 10 * time.Second
	// MaxSenders bounds the senders whose window a receiver keeps.
	MaxSenders = 16384
	// DerivationsPerSecond bounds the keys derived for senders not yet known.
	DerivationsPerSecond = 2048
	// DerivationBurst lets every peer be met at once after a restart.
	DerivationBurst = MaxSenders
	// windowBits is how many of a sender's latest counters are told apart.
	windowBits = 2048
	shardCount = 16
)
