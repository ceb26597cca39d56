package affinity_test

import (
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
)

// host is a simulated backend server with the flows it holds.
type host struct {
	id                currantturn.BackendID
	service           currantturn.ServiceName
	index             int // of the service in simulation.services
	sessions          map[currantturn.FlowKey]*session
	leavingSince      time.Time // zero if it is not leaving
	leavingByEndpoint bool      // leaving was requested at the agent's own endpoint
	slots             int
	sessionWeight     int // sum over its sessions
	opened            int
	lastOpened        time.Time // time of the last new flow
}

// load returns the load that the agent reports.
func (h *host) load() currantturn.Load {
	return currantturn.Load{Running: h.sessionWeight, Slots: h.slots}
}

// session is a flow as its caller sees it.
type session struct {
	flow            currantturn.FlowKey
	unmarked        bool  // its packets carry no marks
	home            *node // node that received the first packet
	homeIncarnation int   // incarnation of home at that time
	answered        bool  // the caller received an answer
	done            bool  // closed by its caller, or ended with its home
	broken          bool  // a packet arrived at another backend server while its home ran
	received        int   // packets delivered at its home
	weight          int   // its share in the load of its home
}

// homeRunning reports whether the process that holds the flow still runs.
func (s *session) homeRunning() bool {
	return s.home != nil && s.home.running && s.home.incarnation == s.homeIncarnation
}

// openFlow starts a flow and repeats its first packet until it is answered.
func (sim *simulation) openFlow(service int, unmarked bool) *session {
	i := len(sim.sessions)
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 168, byte(i >> 14), byte(i >> 6)}), uint16(1024+i))
	s := &session{
		flow:     currantturn.FlowKey{Caller: caller, Service: addr(200, service)},
		unmarked: unmarked, weight: 1,
	}
	sim.flows[s.flow] = s
	sim.sessions = append(sim.sessions, s)
	sim.report.opened++
	sim.repeatOpening(s, 200*time.Millisecond)
	return s
}

// repeatOpening sends the opening packet with doubling waits of up to 1 s until the
// flow is answered or closed.
func (sim *simulation) repeatOpening(s *session, wait time.Duration) {
	if s.answered || s.done {
		return
	}
	sim.sendPacket(s, currantturn.MarkOpening)
	sim.after(wait, func() { sim.repeatOpening(s, min(2*wait, time.Second)) })
}

// sendData sends a data packet every gap on average, once the flow is answered,
// until the flow is closed or its home stops.
func (sim *simulation) sendData(s *session, gap time.Duration) {
	if s.done || (s.answered && !s.homeRunning()) {
		return
	}
	if s.answered {
		sim.sendPacket(s, currantturn.MarkData)
	}
	sim.after(gap/2+time.Duration(sim.rng.Int64N(int64(gap))), func() { sim.sendData(s, gap) })
}

// sendPacket sends one packet of a caller through a random running balancer, or
// through the flow's own one with stickyBalancers.
func (sim *simulation) sendPacket(s *session, m currantturn.Mark) {
	if s.unmarked {
		m = currantturn.MarkNone
	}
	var running []*node
	for _, b := range sim.balancers {
		if b.running {
			running = append(running, b)
		}
	}
	if len(running) == 0 {
		return
	}
	b := running[sim.rng.IntN(len(running))]
	if sim.stickyBalancers {
		b = running[key.HashFlow(s.flow)%uint64(len(running))]
	}
	incarnation := b.incarnation
	e := currantturn.Envelope{
		Direction: currantturn.ToBackend,
		Packet:    currantturn.Packet{Flow: s.flow, Mark: m, Payload: []byte{0}},
	}
	sim.transmit(sim.linkDelay, func() { sim.receive(netip.AddrPort{}, b, incarnation, e, nil) })
}

// deliver passes a packet to the backend server of a node, checks that the flow
// belongs there and lets the backend server answer.
func (sim *simulation) deliver(n *node, p currantturn.Packet) {
	s := sim.flows[p.Flow]
	if s == nil {
		return
	}
	h := n.backend
	sim.report.delivered++
	if sim.view.ServiceAt(p.Flow.Service).Name != h.service {
		sim.recordProblem(&sim.report.foreign, "packet of %v arrived at %s of another service", p.Flow, h.id)
		return
	}
	atHome := s.home == n && s.homeIncarnation == n.incarnation
	switch {
	case atHome:
	case s.home == nil, !s.homeRunning() && !s.answered && p.Mark != currantturn.MarkData:
		sim.recordHome(n, s)
	case !s.homeRunning():
		// The flow ends with its backend server.
		s.done = true
		return
	case p.Mark == currantturn.MarkOpening && !s.answered:
		sim.recordProblem(&sim.report.split, "flow of %v opened at %s and at %s", p.Flow.Caller, s.home.backend.id, h.id)
		return
	default:
		if !s.broken && s.unmarked && sim.longPartition {
			s.broken = true
			sim.report.unmarked++
		}
		if !s.broken {
			s.broken = true
			sim.recordProblem(&sim.report.broken, "packet of %v (mark %s) of home %s arrived at %s", p.Flow.Caller, p.Mark, s.home.backend.id, h.id)
		}
		return
	}
	s.received++
	if a, ok := n.router.(currantturn.Answerer); ok {
		sim.execute(n, func(out *currantturn.Effects) {
			a.Answer(sim.now, &currantturn.Packet{Flow: p.Flow, Mark: currantturn.MarkData}, out)
		})
	}
}

// recordHome makes a node the home of a flow. The node may not have been leaving
// for more than 3 s.
func (sim *simulation) recordHome(n *node, s *session) {
	h := n.backend
	s.home, s.homeIncarnation = n, n.incarnation
	h.sessions[s.flow] = s
	h.sessionWeight += s.weight
	h.opened++
	h.lastOpened = sim.now
	if !h.leavingSince.IsZero() && sim.now.Sub(h.leavingSince) > 3*time.Second {
		sim.recordProblem(&sim.report.late, "%v opens at %s, which has been leaving for more than 3 s", s.flow.Caller, h.id)
	}
}

// receiveAnswer marks a flow as answered when its caller receives an answer.
func (sim *simulation) receiveAnswer(p currantturn.Packet) {
	s := sim.flows[p.Flow]
	if s != nil && !s.answered {
		s.answered = true
		sim.report.established++
	}
}

// closeFlow closes a flow from its caller and removes it from its home.
func (sim *simulation) closeFlow(s *session) {
	s.done = true
	if s.home != nil && s.homeRunning() {
		delete(s.home.backend.sessions, s.flow)
		s.home.backend.sessionWeight -= s.weight
	}
	sim.sendPacket(s, currantturn.MarkClosing)
	delete(sim.flows, s.flow)
}

// crash stops a process at once, together with the sessions of its backend server.
func (sim *simulation) crash(n *node) {
	n.running = false
	if n.backend != nil {
		clear(n.backend.sessions)
		n.backend.sessionWeight = 0
	}
}
