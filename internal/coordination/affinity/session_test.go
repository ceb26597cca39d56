package affinity_test

import (
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
)

// host is a backend server as its agent's callers see it.
type host struct {
	id                currantturn.BackendID
	service           currantturn.ServiceName
	index             int
	sessions          map[currantturn.FlowKey]*session
	leavingSince      time.Time // since when
	leavingByEndpoint bool      // leaving was declared at its own endpoint
	slots             int
	sessionWeight     int // of its sessions
	opened            int
	lastOpened        time.Time // last new flow sent here
}

func (h *host) load() currantturn.Load {
	return currantturn.Load{Running: h.sessionWeight, Slots: h.slots}
}

// session is a flow as its caller sees it.
type session struct {
	flow            currantturn.FlowKey
	unmarked        bool
	home            *node // that took the first packet
	homeIncarnation int   // of that node
	answered        bool  // the caller heard an answer
	done            bool
	broken          bool
	received        int
	weight          int
}

// homeRunning says whether the process that holds the flow still runs.
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

func (sim *simulation) repeatOpening(s *session, wait time.Duration) {
	if s.answered || s.done {
		return
	}
	sim.sendPacket(s, currantturn.MarkOpening)
	sim.after(wait, func() { sim.repeatOpening(s, min(2*wait, time.Second)) })
}

// sendData sends data about every gap until the flow ends.
func (sim *simulation) sendData(s *session, gap time.Duration) {
	if s.done || (s.answered && !s.homeRunning()) {
		return
	}
	if s.answered {
		sim.sendPacket(s, currantturn.MarkData)
	}
	sim.after(gap/2+time.Duration(sim.rng.Int64N(int64(gap))), func() { sim.sendData(s, gap) })
}

// sendPacket sends one packet of a caller through any running balancer.
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
		b = running[key.Flow(s.flow)%uint64(len(running))]
	}
	incarnation := b.incarnation
	e := currantturn.Envelope{
		Direction: currantturn.ToBackend,
		Packet:    currantturn.Packet{Flow: s.flow, Mark: m, Payload: []byte{0}},
	}
	sim.transmit(sim.maxDelay, func() { sim.receive(netip.AddrPort{}, b, incarnation, e, nil) })
}

// deliver checks a packet that reached a backend server.
func (sim *simulation) deliver(n *node, p currantturn.Packet) {
	s := sim.flows[p.Flow]
	if s == nil {
		return
	}
	h := n.backend
	sim.report.delivered++
	if sim.view.At(p.Flow.Service).Name != h.service {
		sim.recordProblem(&sim.report.foreign, "%v at %s", p.Flow, h.id)
		return
	}
	atHome := s.home == n && s.homeIncarnation == n.incarnation
	switch {
	case atHome:
	case s.home == nil, !s.homeRunning() && !s.answered && p.Mark != currantturn.MarkData:
		sim.recordHome(n, s)
	case !s.homeRunning():
		// The caller learns that its backend server is gone.
		s.done = true
		return
	case p.Mark == currantturn.MarkOpening && !s.answered:
		sim.recordProblem(&sim.report.split, "%v opens at %s and at %s", p.Flow.Caller, s.home.backend.id, h.id)
		return
	default:
		if !s.broken && s.unmarked && sim.longPartition {
			s.broken = true
			sim.report.unmarked++
		}
		if !s.broken {
			s.broken = true
			sim.recordProblem(&sim.report.broken, "%v (%s) of %s at %s", p.Flow.Caller, p.Mark, s.home.backend.id, h.id)
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

func (sim *simulation) recordHome(n *node, s *session) {
	h := n.backend
	s.home, s.homeIncarnation = n, n.incarnation
	h.sessions[s.flow] = s
	h.sessionWeight += s.weight
	h.opened++
	h.lastOpened = sim.now
	if !h.leavingSince.IsZero() && sim.now.Sub(h.leavingSince) > 3*time.Second {
		sim.recordProblem(&sim.report.late, "%v opens at %s, which leaves", s.flow.Caller, h.id)
	}
}

// receiveAnswer takes an answer at the caller.
func (sim *simulation) receiveAnswer(p currantturn.Packet) {
	s := sim.flows[p.Flow]
	if s != nil && !s.answered {
		s.answered = true
		sim.report.established++
	}
}

// closeFlow closes a flow at its caller.
func (sim *simulation) closeFlow(s *session) {
	s.done = true
	if s.home != nil && s.homeRunning() {
		delete(s.home.backend.sessions, s.flow)
		s.home.backend.sessionWeight -= s.weight
	}
	sim.sendPacket(s, currantturn.MarkClosing)
	delete(sim.flows, s.flow)
}

// crash stops a process at once; a backend server's sessions end with it.
func (sim *simulation) crash(n *node) {
	n.running = false
	if n.backend != nil {
		clear(n.backend.sessions)
		n.backend.sessionWeight = 0
	}
}
