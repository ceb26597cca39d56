package link

import "time"

const (
	// MaxDatagramBytes is the largest datagram that the link sends or receives.
	MaxDatagramBytes = 2048
	// SocketBufferBytes is the kernel buffer requested for each direction of a socket.
	SocketBufferBytes = 4 << 20
	// MaxPaths limits the stored paths; beyond it, the source address of a new peer is
	// not recorded. Paths with a replacement socket are always stored.
	MaxPaths = 16384
	// SourceTTL is how long datagrams are sent to a peer's observed source address
	// after its last observation.
	SourceTTL = 30 * time.Second
	// maxReplacements is the largest number of replacement sockets open at once.
	maxReplacements = 64
	// reportInterval is the shortest time between two reports of the same event.
	reportInterval = time.Second
)
