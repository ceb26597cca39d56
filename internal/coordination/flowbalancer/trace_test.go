package flowbalancer_test

import (
	"net/netip"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/protocol/relay"
)

// traceEvent traces an event of a process that refers to a flow.
func (sim *simulation) traceEvent(at netip.Addr, e *currantturn.Event) {
	if sim.trace == nil {
		return
	}
	for _, f := range e.Fields {
		if key, ok := f.Value.(currantturn.FlowKey); ok {
			sim.trace(key.Caller, "%s: event %d %v", at, e.Number, e.Fields)
		}
	}
}

// traceFrame traces a frame between two VMs, with the flows that it refers to.
func (sim *simulation) traceFrame(from, to netip.AddrPort, e *currantturn.Envelope, m currantturn.Message) {
	if sim.trace == nil {
		return
	}
	list := func(what string, flows relay.Flows) {
		for key := range flows.All() {
			sim.trace(key.Caller, "%s to %s: %s", from.Addr(), to.Addr(), what)
		}
	}
	switch m := m.(type) {
	case nil:
		sim.trace(e.Packet.Flow.Caller, "%s to %s: %s packet, intent %s", from.Addr(), to.Addr(), e.Packet.Mark, e.Intent)
	case relay.Query:
		list("query", m.Flows)
	case relay.QueryReply:
		list("reply held", m.Held)
		list("reply absent", m.Absent)
		list("reply unsure", m.Unsure)
	case relay.Held:
		sim.trace(m.Flow.Key().Caller, "%s to %s: held", from.Addr(), to.Addr())
	case relay.Accepted:
		sim.trace(m.Flow.Key().Caller, "%s to %s: accepted", from.Addr(), to.Addr())
	}
}
