package flowbalancer_test

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/flowagent"
	"github.com/currantturn/currantturn/platform/platformtest"
)

// backendVM is a VM with a backend server and its agent.
type backendVM struct {
	unlisted     bool // missing in the published state
	registration currantturn.Registration
	removedAt    time.Time // when the registration was removed; zero while it exists
	unusable     bool      // something that can't be used was published under its ID last
	replacement  *currantturn.Registration
	address      netip.AddrPort
	agent        *flowagent.Agent
	agentDown    bool
	unresponsive bool          // the backend server processes nothing and sends nothing
	openDelay    time.Duration // from an opening packet until the backend server processes it
	full         bool          // the backend server accepts no flow: it bounces opening packets
	flows        map[netip.AddrPort]*connection
	serviceTime  time.Duration
	queue        []func()
	busySlots    int
	requestsRun  int         // requests completed
	crashes      int         // how often it has lost its memory
	openings     []time.Time // when opening packets arrived
}

// connection is the state of a flow at its backend server, as sequence numbers.
type connection struct {
	initialSequence, sent uint32 // sent is the size of the data sent
	nextSequence          uint32 // of the caller
	acknowledged          bool   // whether the caller has acknowledged the answer to its opening packet
}

// addBackend adds a backend server of the service verify without publishing its
// registration.
func (sim *simulation) addBackend(slots int) *backendVM {
	return sim.addBackendOf("verify", slots)
}

// addBackendOf adds a backend server of a service without publishing its registration.
func (sim *simulation) addBackendOf(service currantturn.ServiceName, slots int) *backendVM {
	n := len(sim.backends)
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, byte(n + 1)}), linkPort)
	b := &backendVM{
		address: address, flows: map[netip.AddrPort]*connection{}, serviceTime: 20 * time.Millisecond,
		registration: currantturn.Registration{
			ID: currantturn.BackendID(fmt.Sprintf("verify-%02d", n)), Service: service,
			Address: netip.AddrPortFrom(address.Addr(), 8080), Slots: slots, State: currantturn.BackendActive,
		},
	}
	sim.backends[b.registration.ID] = b
	sim.restartAgent(b, true)
	return b
}

func (sim *simulation) restartAgent(b *backendVM, fresh bool) {
	b.agent = flowagent.New(flowagent.Options{
		Codec: sim.codec, Service: b.registration.Service, Backend: b.registration.ID, LinkPort: linkPort, Started: sim.now, Fresh: fresh, Seeds: sim.seeds(),
		WarmUpOvershoot: 1.5, WarmUpTolerance: 5,
	})
}

// drain publishes a backend server as draining.
func (sim *simulation) drain(b *backendVM) {
	b.registration.State = currantturn.BackendDraining
	sim.publish()
}

// removeBackend drains a backend server and ends it together with its VM.
func (sim *simulation) removeBackend(b *backendVM) {
	sim.drain(b)
	b.unresponsive, b.removedAt = true, sim.now
	sim.isolate(b.address.Addr())
	sim.publish()
}

// deliverToBackend processes a packet as a backend server does.
func (sim *simulation) deliverToBackend(b *backendVM, packet []byte) {
	var p currantturn.Packet
	if err := sim.codec.Decode(packet, currantturn.ToBackend, &p); err != nil {
		panic(err)
	}
	if sim.trace != nil {
		sim.trace(p.Flow.Caller, "%s gets %s packet, acknowledging %d", b.registration.ID, p.Mark, p.Acked)
	}
	if p.Mark == currantturn.MarkOpening {
		b.openings = append(b.openings, sim.now)
	}
	if b.unresponsive {
		return
	}
	if c := sim.callers[p.Flow.Caller]; c != nil && p.Mark != currantturn.MarkOpening {
		c.recordDelivery(sim, b, p.Sequence)
	}
	conn := b.flows[p.Flow.Caller]
	switch {
	case p.Mark == currantturn.MarkOpening && conn == nil && b.full:
		platformtest.Bounce(packet)
		sim.sendFromBackend(b, packet)
	case p.Mark == currantturn.MarkOpening:
		if conn == nil {
			conn = &connection{initialSequence: sim.rng.Uint32(), nextSequence: p.Sequence + 1}
			b.flows[p.Flow.Caller] = conn
			sim.repeatAnswer(b, p.Flow.Caller, conn, 0)
			if sim.onOpening != nil {
				sim.onOpening(b, &p)
			}
		}
		sim.answerOpening(b, p.Flow.Caller, conn)
	case conn == nil || p.Acked-conn.initialSequence-1 > conn.sent:
		platformtest.Bounce(packet)
		sim.sendFromBackend(b, packet)
	case p.DataSize > 0 && p.Sequence == conn.nextSequence:
		conn.acknowledged = true
		conn.nextSequence += uint32(p.DataSize)
		sim.runRequest(b, func() {
			b.requestsRun++
			sequence := conn.initialSequence + 1 + conn.sent
			conn.sent += answerSize
			sim.sendFromBackend(b, encodePacket(serviceAddress, p.Flow.Caller, ack, sequence, conn.nextSequence, answerSize))
		})
	}
}

// answerOpening sends a backend server's answer to an opening packet.
func (sim *simulation) answerOpening(b *backendVM, caller netip.AddrPort, conn *connection) {
	sim.sendFromBackend(b, encodePacket(serviceAddress, caller, syn|ack, conn.initialSequence, conn.nextSequence, 0))
}

// repeatAnswer repeats the answer to an opening packet until the caller acknowledges it; n is how
// often it has been repeated.
func (sim *simulation) repeatAnswer(b *backendVM, caller netip.AddrPort, conn *connection, n int) {
	sim.schedule(min(firstRetransmit<<n, maxAnswerDelay), func() {
		if conn.acknowledged || b.unresponsive || b.flows[caller] != conn || n == maxRepeats {
			return
		}
		sim.answerOpening(b, caller, conn)
		sim.repeatAnswer(b, caller, conn, n+1)
	})
}

// crash restarts a backend server, which loses its flows and requests.
func (b *backendVM) crash() {
	clear(b.flows)
	b.queue = nil
	b.crashes++
}

// runRequest runs a request in a slot, or queues it in order of arrival.
func (sim *simulation) runRequest(b *backendVM, done func()) {
	if b.busySlots >= b.registration.Slots {
		b.queue = append(b.queue, done)
		return
	}
	b.busySlots++
	crashes := b.crashes
	sim.schedule(b.serviceTime, func() {
		b.busySlots--
		if !b.unresponsive && b.crashes == crashes {
			done()
		}
		if len(b.queue) > 0 {
			next := b.queue[0]
			b.queue = b.queue[1:]
			sim.runRequest(b, next)
		}
	})
}

// sendFromBackend passes a backend server's packet to its agent.
func (sim *simulation) sendFromBackend(b *backendVM, packet []byte) {
	var p currantturn.Packet
	if err := sim.codec.Decode(packet, currantturn.ToCaller, &p); err != nil {
		panic(err)
	}
	if b.agentDown || sim.keep(b.address.Addr(), func() { sim.sendFromBackend(b, packet) }) {
		return
	}
	sim.apply(b.address.Addr(), b, func(now time.Time, out *currantturn.Effects) { b.agent.Answer(now, &p, out) })
}
