package affinity_test

import (
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
)

// host is a backend server as its agent's callers see it.
type host struct {
	id         currantturn.BackendID
	service    currantturn.ServiceName
	index      int
	sessions   map[currantturn.FlowKey]*session
	leaving    time.Time // since when
	byEndpoint bool      // leaving was declared at its own endpoint
	slots      int
	work       int // of its sessions
	opened     int
	last       time.Time // last new flow sent here
}

func (h *host) load() currantturn.Load {
	return currantturn.Load{Running: h.work, Slots: h.slots}
}

// session is a flow as its caller sees it.
type session struct {
	flow     currantturn.FlowKey
	unmarked bool
	home     *node // that took the first packet
	boot     int   // of that node
	up       bool  // the caller heard an answer
	done     bool
	broken   bool
	received int
	weight   int
}

// lives says whether the process that holds the flow still runs.
func (s *session) lives() bool {
	return s.home != nil && s.home.running && s.home.boot == s.boot
}

// open starts a flow and repeats its first packet until it is answered.
func (w *world) open(service int, unmarked bool) *session {
	i := len(w.order)
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 168, byte(i >> 14), byte(i >> 6)}), uint16(1024+i))
	s := &session{
		flow:     currantturn.FlowKey{Caller: caller, Service: addr(200, service)},
		unmarked: unmarked, weight: 1,
	}
	w.flows[s.flow] = s
	w.order = append(w.order, s)
	w.report.opened++
	w.repeatOpening(s, 200*time.Millisecond)
	return s
}

func (w *world) repeatOpening(s *session, wait time.Duration) {
	if s.up || s.done {
		return
	}
	w.spray(s, currantturn.MarkOpening)
	w.after(wait, func() { w.repeatOpening(s, min(2*wait, time.Second)) })
}

// talk sends data about every gap until the flow ends.
func (w *world) talk(s *session, gap time.Duration) {
	if s.done || (s.up && !s.lives()) {
		return
	}
	if s.up {
		w.spray(s, currantturn.MarkData)
	}
	w.after(gap/2+time.Duration(w.rng.Int64N(int64(gap))), func() { w.talk(s, gap) })
}

// spray sends one packet of a caller through any running balancer.
func (w *world) spray(s *session, m currantturn.Mark) {
	if s.unmarked {
		m = currantturn.MarkNone
	}
	var up []*node
	for _, b := range w.balancers {
		if b.running {
			up = append(up, b)
		}
	}
	if len(up) == 0 {
		return
	}
	b := up[w.rng.IntN(len(up))]
	if w.sticky {
		b = up[key.Flow(s.flow)%uint64(len(up))]
	}
	boot := b.boot
	e := currantturn.Envelope{
		Direction: currantturn.ToBackend,
		Packet:    currantturn.Packet{Flow: s.flow, Mark: m, Payload: []byte{0}},
	}
	w.link(w.delay, func() { w.arrive(netip.AddrPort{}, b, boot, e, nil) })
}

// deliver checks a packet that reached a backend server.
func (w *world) deliver(n *node, p currantturn.Packet) {
	s := w.flows[p.Flow]
	if s == nil {
		return
	}
	h := n.backend
	w.report.delivered++
	if w.view.At(p.Flow.Service).Name != h.service {
		w.problem(&w.report.foreign, "%v at %s", p.Flow, h.id)
		return
	}
	here := s.home == n && s.boot == n.boot
	switch {
	case here:
	case s.home == nil, !s.lives() && !s.up && p.Mark != currantturn.MarkData:
		w.established(n, s)
	case !s.lives():
		// The caller learns that its backend server is gone.
		s.done = true
		return
	case p.Mark == currantturn.MarkOpening && !s.up:
		w.problem(&w.report.split, "%v opens at %s and at %s", p.Flow.Caller, s.home.backend.id, h.id)
		return
	default:
		if !s.broken && s.unmarked && w.apart {
			s.broken = true
			w.report.unmarked++
		}
		if !s.broken {
			s.broken = true
			w.problem(&w.report.broken, "%v (%s) of %s at %s", p.Flow.Caller, p.Mark, s.home.backend.id, h.id)
		}
		return
	}
	s.received++
	if a, ok := n.router.(currantturn.Answerer); ok {
		w.decide(n, func(out *currantturn.Effects) {
			a.Answer(w.now, &currantturn.Packet{Flow: p.Flow, Mark: currantturn.MarkData}, out)
		})
	}
}

func (w *world) established(n *node, s *session) {
	h := n.backend
	s.home, s.boot = n, n.boot
	h.sessions[s.flow] = s
	h.work += s.weight
	h.opened++
	h.last = w.now
	if !h.leaving.IsZero() && w.now.Sub(h.leaving) > 3*time.Second {
		w.problem(&w.report.late, "%v opens at %s, which leaves", s.flow.Caller, h.id)
	}
}

// answered takes an answer at the caller.
func (w *world) answered(p currantturn.Packet) {
	s := w.flows[p.Flow]
	if s != nil && !s.up {
		s.up = true
		w.report.established++
	}
}

// end closes a flow at its caller.
func (w *world) end(s *session) {
	s.done = true
	if s.home != nil && s.lives() {
		delete(s.home.backend.sessions, s.flow)
		s.home.backend.work -= s.weight
	}
	w.spray(s, currantturn.MarkClosing)
	delete(w.flows, s.flow)
}

// crash stops a process at once; a backend server's sessions end with it.
func (w *world) crash(n *node) {
	n.running = false
	if n.backend != nil {
		clear(n.backend.sessions)
		n.backend.work = 0
	}
}
