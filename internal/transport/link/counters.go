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
	replacedSockets                        atomic.Uint64
	mu                                     sync.Mutex
	control                                map[currantturn.Kind]Traffic
}

// Traffic is the number of messages and bytes sent of one kind of control message.
type Traffic struct {
	Messages uint64 `json:"messages"`
	Bytes    uint64 `json:"bytes"`
}

// Counters are a link's totals since its start.
type Counters struct {
	Sent            uint64                       `json:"sent"`            // datagrams sent
	Received        uint64                       `json:"received"`        // authenticated datagrams addressed to this process
	SendErrors      uint64                       `json:"send_errors"`     // datagrams not sent because encoding or the socket failed
	ReadErrors      uint64                       `json:"read_errors"`     // failed reads of a socket
	Malformed       uint64                       `json:"malformed"`       // datagrams dropped because they could not be decoded
	Unauthenticated uint64                       `json:"unauthenticated"` // datagrams dropped because authentication failed
	Replayed        uint64                       `json:"replayed"`        // datagrams dropped because they had been received before
	TooLarge        uint64                       `json:"too_large"`       // datagrams dropped because they exceed the largest size that is read
	Misdirected     uint64                       `json:"misdirected"`     // authentic datagrams dropped because they were addressed to another process
	Oversized       uint64                       `json:"oversized"`       // datagrams not sent because they exceed the largest size that is sent
	Renewed         uint64                       `json:"renewed"`         // fresh sockets opened for unresponsive peers
	Control         map[currantturn.Kind]Traffic `json:"control"`         // control messages and bytes sent, by kind
}

// addControl counts a control message of the given kind and body size.
func (c *counts) addControl(k currantturn.Kind, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.control == nil {
		c.control = make(map[currantturn.Kind]Traffic)
	}
	t := c.control[k]
	t.Messages++
	t.Bytes += uint64(bytes)
	c.control[k] = t
}

// addDropped counts a received datagram that was dropped for the given error.
func (c *counts) addDropped(err error) {
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

// Counters returns the current totals.
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
		Renewed:         c.replacedSockets.Load(),
		Control:         make(map[currantturn.Kind]Traffic),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, t := range c.control {
		out.Control[k] = t
	}
	return out
}
