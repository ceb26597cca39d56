package link

import (
	"errors"
	"sync"
	"sync/atomic"

	"github.com/currantturn/currantturn"
)

type counts struct {
	sent, received, sendErrors, readErrors atomic.Uint64
	malformed, unauthenticated, replayed   atomic.Uint64
	tooLarge, misdirected, oversized       atomic.Uint64
	renewed                                atomic.Uint64
	mu                                     sync.Mutex
	kinds                                  map[currantturn.Kind]Traffic
}

// Traffic is what was sent of one kind of control message.
type Traffic struct {
	Messages uint64 `json:"messages"`
	Bytes    uint64 `json:"bytes"`
}

// Counters are a link's totals since its start.
type Counters struct {
	Sent            uint64                       `json:"sent"`            // datagrams sent
	Received        uint64                       `json:"received"`        // authentic datagrams received
	SendErrors      uint64                       `json:"send_errors"`     // datagrams that the socket refused to send
	ReadErrors      uint64                       `json:"read_errors"`     // failed reads of the socket
	Malformed       uint64                       `json:"malformed"`       // datagrams dropped because they do not decode
	Unauthenticated uint64                       `json:"unauthenticated"` // datagrams dropped because their authenticator does not match
	Replayed        uint64                       `json:"replayed"`        // datagrams dropped because they were seen before
	TooLarge        uint64                       `json:"too_large"`       // datagrams dropped because they exceed what a link reads
	Misdirected     uint64                       `json:"misdirected"`     // authentic datagrams dropped because they were meant for another process
	Oversized       uint64                       `json:"oversized"`       // datagrams not sent because they exceed the path
	Renewed         uint64                       `json:"renewed"`         // sockets replaced by fresh ones
	Control         map[currantturn.Kind]Traffic `json:"control"`         // control messages and bytes sent, by kind
}

func (c *counts) control(k currantturn.Kind, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.kinds == nil {
		c.kinds = make(map[currantturn.Kind]Traffic)
	}
	t := c.kinds[k]
	t.Messages++
	t.Bytes += uint64(bytes)
	c.kinds[k] = t
}

func (c *counts) refuse(err error) {
	switch {
	case errors.Is(err, currantturn.ErrReplayed):
		c.replayed.Add(1)
	case errors.Is(err, currantturn.ErrUnauthenticated):
		c.unauthenticated.Add(1)
	case errors.Is(err, currantturn.ErrTooLarge):
		c.tooLarge.Add(1)
	case errors.Is(err, errMisdirected):
		c.misdirected.Add(1)
	default:
		c.malformed.Add(1)
	}
}

// Counters returns the totals so far.
func (l *Link) Counters() Counters {
	c := &l.counts
	out := Counters{
		Sent:            c.sent.Load(),
		Received:        c.received.Load(),
		SendErrors:      c.sendErrors.Load(),
		ReadErrors:      c.readErrors.Load(),
		Malformed:       c.malformed.Load(),
		Unauthenticated: c.unauthenticated.Load(),
		Replayed:        c.replayed.Load(),
		TooLarge:        c.tooLarge.Load(),
		Misdirected:     c.misdirected.Load(),
		Oversized:       c.oversized.Load(),
		Renewed:         c.renewed.Load(),
		Control:         make(map[currantturn.Kind]Traffic),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, t := range c.kinds {
		out.Control[k] = t
	}
	return out
}
