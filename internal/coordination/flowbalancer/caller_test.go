package flowbalancer_test

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
)

// resetWindow is how far from the caller's last acknowledgement a reset of its open flow may be.
const resetWindow = 76_800

// caller keeps one flow open and sends requests on it.
type caller struct {
	address         netip.AddrPort
	initialSequence uint32
	opened          bool
	closed          bool
	holder          *backendVM // backend server whose answer to the opening packet the caller acknowledged
	accepted        uint32     // sequence number of that answer
	acked           uint32
	nextSequence    uint32
	openingsSent    uint32
	openingStarted  time.Time  // when the first opening packet was sent
	requestSent     time.Time  // when the request in progress was sent; zero without one
	requestThrough  netip.Addr // balancer that the last packet was sent to
	pause           time.Duration
	answerTimes     []time.Duration
	refused         int         // resets before the flow was open
	resets          int         // resets of the open flow
	failed          int         // requests and openings not answered in time
	reached         uint32      // sequence number of the last packet that reached the holder
	misdelivered    []time.Time // packets that reached other backend servers since one last reached the holder
}

// addCaller opens a flow and sends a request on it. With a pause above zero, the
// caller sends another request that long after each answer.
func (sim *simulation) addCaller(pause time.Duration) *caller {
	n := len(sim.callers)
	c := &caller{
		address:         netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(n >> 8), byte(n)}), uint16(1024+n)),
		initialSequence: sim.rng.Uint32(), pause: pause, openingStarted: sim.now,
	}
	sim.callers[c.address] = c
	c.sendOpening(sim)
	return c
}

// sendOpening sends the opening packet until it is answered or times out.
func (c *caller) sendOpening(sim *simulation) {
	if c.opened || c.closed {
		return
	}
	if sim.now.Sub(c.openingStarted) >= openTimeout {
		c.closed = true
		c.failed++
		return
	}
	sim.sendFromCaller(c, encodePacket(c.address, serviceAddress, syn, c.initialSequence, c.openingsSent, 0))
	c.openingsSent++
	sim.schedule(firstRetransmit<<(c.openingsSent-1), func() { c.sendOpening(sim) })
}

// receive processes a packet that a balancer or backend server sent to the caller.
func (c *caller) receive(sim *simulation, from netip.Addr, p *currantturn.Packet) {
	if sim.trace != nil {
		sim.trace(c.address, "caller gets %s packet, sequence %d, from %s", p.Mark, p.Sequence, from)
	}
	switch {
	case c.closed:
	case p.Mark == currantturn.MarkReset && c.opened && min(p.Sequence-c.acked, c.acked-p.Sequence) > resetWindow:
	case p.Mark == currantturn.MarkReset:
		if c.opened {
			c.resets++
			if c.holder != nil && c.holder.holdsFlow(c) && (sim.excuses == nil || !sim.excuses(c, from)) {
				sim.violate(c, "flow of %s reset by %s while %s holds it", c.address, from, c.holder.registration.ID)
			}
		} else {
			c.refused++
		}
		c.closed = true
	case p.Mark == currantturn.MarkOpening && !c.opened:
		c.opened = true
		for _, b := range sim.backends {
			if f := b.flows[c.address]; f != nil && f.initialSequence == p.Sequence {
				c.holder, c.accepted = b, p.Sequence
			}
		}
		c.acked, c.nextSequence = p.Sequence+1, c.initialSequence+1
		c.sendRequest(sim)
	case p.DataSize > 0 && !c.requestSent.IsZero() && p.Sequence == c.acked:
		c.acked = p.Sequence + uint32(p.DataSize)
		c.answerTimes = append(c.answerTimes, sim.now.Sub(c.requestSent))
		c.requestSent = time.Time{}
		if c.pause > 0 {
			sim.schedule(c.pause, func() { c.sendRequest(sim) })
		}
	}
}

func (c *caller) sendRequest(sim *simulation) {
	if c.closed {
		return
	}
	c.requestSent = sim.now
	sequence := c.nextSequence
	c.nextSequence += 50
	c.transmitRequest(sim, sequence, firstRetransmit)
}

// transmitRequest sends a request and retransmits it until it is answered or times
// out.
func (c *caller) transmitRequest(sim *simulation, sequence uint32, delay time.Duration) {
	if c.closed || c.requestSent.IsZero() || c.nextSequence != sequence+50 {
		return
	}
	if sim.now.Sub(c.requestSent) > 4*time.Second {
		c.closed = true
		c.failed++
		return
	}
	sim.sendFromCaller(c, encodePacket(c.address, serviceAddress, ack, sequence, c.acked, 50))
	sim.schedule(delay, func() { c.transmitRequest(sim, sequence, 2*delay) })
}

// recordDelivery records that a packet of the open flow reached a backend server. A
// violation is three or more packets at others over at least two seconds, with none
// at the holder in between. Copies of a packet that the holder has are not counted.
func (c *caller) recordDelivery(sim *simulation, b *backendVM, sequence uint32) {
	if !c.opened || c.holder == nil || !c.holder.holdsFlow(c) {
		return
	}
	if b == c.holder {
		c.misdelivered, c.reached = nil, sequence
		return
	}
	if sequence == c.reached {
		return // a search sent copies of this packet to several
	}
	c.misdelivered = append(c.misdelivered, sim.now)
	if len(c.misdelivered) >= 3 && sim.now.Sub(c.misdelivered[0]) >= 2*time.Second && (sim.excuses == nil || !sim.excuses(c, c.requestThrough)) {
		sim.violate(c, "packets of %s reach %s, not %s", c.address, b.registration.ID, c.holder.registration.ID)
	}
}

// holdsFlow reports whether the backend server still holds the flow that the caller has opened, and
// not one that a late opening packet made after it had lost that flow.
func (b *backendVM) holdsFlow(c *caller) bool {
	conn := b.flows[c.address]
	return !b.unresponsive && conn != nil && conn.initialSequence == c.accepted
}

// violate records a rule that was violated for a caller's flow.
func (sim *simulation) violate(c *caller, format string, args ...any) {
	if len(sim.violations) == 0 {
		sim.broken = c.address
	}
	sim.violations = append(sim.violations, sim.elapsed()+": "+fmt.Sprintf(format, args...))
}

// elapsed returns the simulated time since the start.
func (sim *simulation) elapsed() string {
	return sim.now.Sub(time.Unix(1_000_000, 0)).String()
}

// countAnswers counts all answers, and those within a time.
func (sim *simulation) countAnswers(within time.Duration) (all, timely int) {
	for _, c := range sim.callers {
		for _, took := range c.answerTimes {
			all++
			if took <= within {
				timely++
			}
		}
	}
	return all, timely
}
