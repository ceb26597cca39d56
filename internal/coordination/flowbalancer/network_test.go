package flowbalancer_test

import (
	"net/netip"
	"strings"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/protocol/relay"
	"github.com/currantturn/currantturn/platform/platformtest"
)

// isolate drops every packet from and to a VM.
func (sim *simulation) isolate(vm netip.Addr) {
	sim.drop = func(from, to netip.Addr) bool { return from == vm || to == vm }
}

// transmit sends a frame from one VM to another, unless it is dropped.
func (sim *simulation) transmit(from netip.Addr, to netip.AddrPort, frame []byte) {
	sim.bytesSent[from] += len(frame)
	if sim.drop != nil && sim.drop(from, to.Addr()) {
		return
	}
	delay := hopDelay + sim.linkDelay(from, len(frame))
	for _, late := range sim.copies(from, to.Addr()) {
		sim.schedule(delay+late, func() { sim.receive(netip.AddrPortFrom(from, linkPort), to, frame) })
	}
}

// copies returns by how much each copy of a packet between two VMs is late: one that is not, unless
// a link is faulty.
func (sim *simulation) copies(from, to netip.Addr) []time.Duration {
	if sim.faulty == nil || !sim.faulty(from) && !sim.faulty(to) {
		return []time.Duration{0}
	}
	late := time.Duration(sim.rng.Int64N(int64(maxLateness)))
	switch sim.rng.IntN(8) {
	case 0:
		return nil
	case 1:
		return []time.Duration{late}
	case 2:
		return []time.Duration{0, late}
	}
	return []time.Duration{0}
}

// linkDelay returns how long a frame waits for the link of its balancer.
func (sim *simulation) linkDelay(from netip.Addr, size int) time.Duration {
	for _, b := range sim.balancers {
		if b.address.Addr() == from && b.linkRate > 0 {
			if b.linkIdleAt.Before(sim.now) {
				b.linkIdleAt = sim.now
			}
			b.linkIdleAt = b.linkIdleAt.Add(time.Duration(float64(size+datagramHeader) / b.linkRate * float64(time.Second)))
			return b.linkIdleAt.Sub(sim.now)
		}
	}
	return 0
}

// isFrozen reports whether a VM stands still.
func (sim *simulation) isFrozen(vm netip.Addr) bool {
	_, frozen := sim.frozen[vm]
	return frozen
}

// keep keeps what a VM receives while it stands still, and reports whether it does.
func (sim *simulation) keep(vm netip.Addr, process func()) bool {
	if !sim.isFrozen(vm) {
		return false
	}
	sim.frozen[vm] = append(sim.frozen[vm], process)
	return true
}

// thaw lets a VM go on, which processes what it has received meanwhile.
func (sim *simulation) thaw(vm netip.Addr) {
	kept := sim.frozen[vm]
	delete(sim.frozen, vm)
	for _, process := range kept {
		process()
	}
}

// receive delivers a frame to the process at an address.
func (sim *simulation) receive(from, to netip.AddrPort, frame []byte) {
	if sim.keep(to.Addr(), func() { sim.receive(from, to, frame) }) {
		return
	}
	e := currantturn.Envelope{Direction: currantturn.ToBackend}
	m, err := relay.Decode(frame, "verify", &e)
	if err != nil {
		panic(err)
	}
	if m == nil {
		if err := sim.codec.Decode(e.Packet.Payload, currantturn.ToBackend, &e.Packet); err != nil {
			panic(err)
		}
	}
	sim.traceFrame(from, to, &e, m)
	if announce, ok := m.(relay.Announce); ok {
		if sim.storeDown {
			sim.recordAnnounced(from, announce)
		}
		return
	}
	for _, b := range sim.balancers {
		if b.address == to && !b.down {
			sim.apply(to.Addr(), nil, func(now time.Time, out *currantturn.Effects) {
				if m != nil {
					b.balancer.Handle(now, from, m, out)
					return
				}
				b.balancer.Route(now, from, &e, out)
			})
		}
	}
	for _, b := range sim.backends {
		if b.address == to && !b.agentDown {
			if _, query := m.(relay.Query); query || m == nil && e.Intent == currantturn.IntentSearch {
				sim.searchedFor[b.registration.Service]++
			}
			sim.apply(to.Addr(), b, func(now time.Time, out *currantturn.Effects) {
				if m != nil {
					b.agent.Handle(now, from, m, out)
					return
				}
				b.agent.Route(now, from, &e, out)
			})
		}
	}
}

// sendFromCaller sends a caller's packet to the running balancer that the fabric
// selects.
func (sim *simulation) sendFromCaller(c *caller, packet []byte) {
	sim.schedule(hopDelay, func() {
		var up []*balancerVM
		for _, b := range sim.balancers {
			if !b.down && (b.frozenAt.IsZero() || sim.now.Sub(b.frozenAt) < rotationDelay) {
				up = append(up, b)
			}
		}
		if len(up) == 0 {
			return
		}
		b := up[int(c.address.Port())%len(up)]
		c.requestThrough = b.address.Addr()
		e := currantturn.Envelope{Direction: currantturn.ToBackend}
		if err := sim.codec.Decode(packet, currantturn.ToBackend, &e.Packet); err != nil {
			panic(err)
		}
		route := func() {
			sim.apply(b.address.Addr(), nil, func(now time.Time, out *currantturn.Effects) {
				b.balancer.Route(now, netip.AddrPort{}, &e, out)
			})
		}
		for _, late := range sim.copies(b.address.Addr(), b.address.Addr()) {
			sim.schedule(late, func() {
				if !b.down && !sim.keep(b.address.Addr(), func() {
					if !b.down {
						route()
					}
				}) {
					route()
				}
			})
		}
	})
}

// encodePacket encodes a packet as callers and backend servers do.
func encodePacket(from, to netip.AddrPort, flags byte, seq, ack uint32, data int) []byte {
	p := platformtest.Packet{From: from, To: to, Flags: flags, Sequence: seq, Acked: ack, Data: strings.Repeat("x", data)}
	return p.Encode()
}

const (
	syn = platformtest.Open
	ack = platformtest.Ack
)
