package link

import "time"

const (
	// MaxDatagramBytes is the largest datagram that the link reads.
	MaxDatagramBytes = 2048
	// SocketBufferBytes is the size asked of the kernel for each direction.
	SocketBufferBytes = 4 << 20
	// MaxPaths bounds the peers with a path of their own.
	MaxPaths = 16384
	// PathIdle is how long an observed source address is used for answers.
	PathIdle = 30 * time.Second
	// maxFresh bounds the fresh sockets that are open at once.
	maxFresh = 64
	// noticeEvery is the shortest time between two reports of one kind.
	noticeEvery = time.Second
)
