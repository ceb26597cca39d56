package link

import "sync"

// buffer holds the two forms of a datagram that is being sent.
type buffer struct {
	plain  []byte // the frame
	sealed []byte // the authenticated form of the frame
}

// buffers avoids an allocation for each datagram sent.
var buffers = sync.Pool{New: func() any {
	return &buffer{
		plain:  make([]byte, 0, MaxDatagramBytes),
		sealed: make([]byte, 0, MaxDatagramBytes),
	}
}}
