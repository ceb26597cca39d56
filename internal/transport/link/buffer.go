package link

import "sync"

type buffer struct {
	plain  []byte
	sealed []byte
}

var buffers = sync.Pool{New: func() any {
	return &buffer{
		plain:  make([]byte, 0, MaxDatagramBytes),
		sealed: make([]byte, 0, MaxDatagramBytes),
	}
}}
