package flowbalancer_test

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
)

// caller keeps one flow open and sends requests on it.
type caller struct {
	at      netip.AddrPort
	iss     uint32
	opened  bool
	closed  bool
	holder  *backendVM // whose answer it acknowledged
	acked   uint32
	next    uint32
	copies  uint32
	began   time.Time // of the attempt
	asked   time.Time // of the request in progress; zero without one
	pauses  time.Duration
	answers []time.Duration // time to each answer
	refused int
	resets  int         // of the open flow
	failed  int         // requests without an answer in time
	strays  []time.Time // packets that reached other backend servers since one reached its own
}

// addCaller opens a flow; a pause above zero lets it ask again and again.
func (w *world) addCaller(pause time.Duration) *caller {
	n := len(w.callers)
	c := &caller{
		at:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(n >> 8), byte(n)}), uint16(1024+n)),
		iss: w.rng.Uint32(), pauses: pause, began: w.now,
	}
	w.callers[c.at] = c
	c.open(w)
	return c
}

func (c *caller) open(w *world) {
	if c.opened || c.closed {
		return
	}
	if w.now.Sub(c.began) >= attemptEnd {
		c.closed = true
		c.failed++
		return
	}
	w.fromCaller(c, packetOf(c.at, serviceAddress, syn, c.iss, c.copies, 0))
	c.copies++
	w.after(repeatFirst<<(c.copies-1), func() { c.open(w) })
}

func (c *caller) receive(w *world, from netip.Addr, p *currantturn.Packet) {
	switch {
	case c.closed:
	case p.Mark == currantturn.MarkReset:
		if c.opened {
			c.resets++
			if c.holder.alive(c) {
				w.broken = append(w.broken, fmt.Sprintf("%s: flow of %s reset by %s while %s holds it", w.clock(), c.at, from, c.holder.reg.ID))
			}
		} else {
			c.refused++
		}
		c.closed = true
	case p.Mark == currantturn.MarkOpening && !c.opened:
		c.opened = true
		for _, b := range w.backends {
			if f := b.flows[c.at]; f != nil && f.iss == p.Sequence {
				c.holder = b
			}
		}
		c.acked, c.next = p.Sequence+1, c.iss+1
		c.ask(w)
	case p.DataSize > 0 && !c.asked.IsZero():
		c.answers = append(c.answers, w.now.Sub(c.asked))
		c.asked = time.Time{}
		if c.pauses > 0 {
			w.after(c.pauses, func() { c.ask(w) })
		}
	}
}

func (c *caller) ask(w *world) {
	if c.closed {
		return
	}
	c.asked = w.now
	at := c.next
	c.next += 50
	c.send(w, at, repeatFirst)
}

// send repeats a request until it is answered or out of time.
func (c *caller) send(w *world, at uint32, again time.Duration) {
	if c.closed || c.asked.IsZero() || c.next != at+50 {
		return
	}
	if w.now.Sub(c.asked) > 4*time.Second {
		c.closed = true
		c.failed++
		return
	}
	w.fromCaller(c, packetOf(c.at, serviceAddress, ack, at, c.acked, 50))
	w.after(again, func() { c.send(w, at, 2*again) })
}

// reached counts packets of the open flow at other backend servers; three or
// more of them for two seconds, and none at its own, break a rule.
func (c *caller) reached(w *world, b *backendVM) {
	if !c.opened || c.holder == nil || !c.holder.alive(c) {
		return
	}
	if b == c.holder {
		c.strays = nil
		return
	}
	c.strays = append(c.strays, w.now)
	if len(c.strays) >= 3 && w.now.Sub(c.strays[0]) >= 2*time.Second {
		w.broken = append(w.broken, fmt.Sprintf("%s: packets of %s reach %s, not %s", w.clock(), c.at, b.reg.ID, c.holder.reg.ID))
	}
}

// alive says whether the backend server still holds the caller's flow.
func (b *backendVM) alive(c *caller) bool {
	return !b.silent && b.flows[c.at] != nil
}

func (w *world) clock() string {
	return w.now.Sub(time.Unix(1_000_000, 0)).String()
}

// answered counts answers, and those within a time.
func (w *world) answered(within time.Duration) (all, timely int) {
	for _, c := range w.callers {
		for _, took := range c.answers {
			all++
			if took <= within {
				timely++
			}
		}
	}
	return all, timely
}
