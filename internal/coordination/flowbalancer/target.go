package flowbalancer

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/placement"
	"github.com/currantturn/currantturn/internal/coordination/rank"
	"github.com/currantturn/currantturn/internal/protocol/relay"
	"github.com/currantturn/currantturn/internal/state/roster"
)

// target is one incarnation of a backend server behind its agent.
type target struct {
	entry roster.Entry
	agent netip.AddrPort // link address
	seed  uint64         // of its rank for a flow
	born  time.Time      // when it was seen to have just started; zero if unknown

	mu       sync.Mutex
	load     relay.Load
	reported time.Time
	sent     int // flows sent since the last report
	avoid    time.Time
	warm     time.Time // end of the warm-up
	silence  silence   // of the agent
	slow     bool      // as the log says
	absence  bool      // whether the log says that the agent is silent
}

// ask notes a question to the agent.
func (t *target) ask(now, heardAny time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silence.ask(now, heardAny)
}

// hear notes a sign of life of the agent, and whether it was known as silent.
func (t *target) hear() (wasSilent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silence.asks = 0
	wasSilent = t.absence
	t.absence = false
	return wasSilent
}

// noteSilent notes that the agent counts as silent; it returns true if that is news.
func (t *target) noteSilent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	news := !t.absence
	t.absence = true
	return news
}

// ended says whether the backend server is known to have ended, so that it
// holds nothing: its registration is gone, and its agent does not answer while
// others do. A registration alone may vanish early.
func (t *target) ended(now, heardAny time.Time) bool {
	return t.gone() && t.unanswered(now, heardAny) > 0
}

// absent says whether the backend server holds nothing that a caller could
// reach: it has ended, or nothing was heard of its VM for a while.
func (t *target) absent(now, heardAny time.Time) bool {
	silent := t.unanswered(now, heardAny)
	return silent > 0 && t.gone() || silent > silentTimeout
}

// unanswered is for how long the agent has not answered questions while other
// agents did, zero if it may still answer.
func (t *target) unanswered(now, heardAny time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.silence.length(now, heardAny)
}

// gone says whether the backend server's registration is gone.
func (t *target) gone() bool {
	return !t.entry.Gone.IsZero()
}

// age is how long ago the backend server was seen to have just started, 0 if
// that is not known.
func (t *target) age(now time.Time) time.Duration {
	if t.born.IsZero() {
		return 0
	}
	return max(now.Sub(t.born), time.Millisecond)
}

// report takes the load that the agent tells.
func (t *target) report(now time.Time, load relay.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.load, t.reported, t.sent = load, now, 0
	switch {
	case load.Silent:
		t.avoid = now.Add(avoidFor)
	default:
		t.avoid = time.Time{}
	}
}

func (t *target) shun(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.avoid = now.Add(avoidFor)
}

// candidate is the target as placement compares it.
func (t *target) candidate(now time.Time, local currantturn.FailureDomain) placement.Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := placement.Candidate{
		Slots:  t.entry.Slots,
		Sent:   t.sent,
		Local:  t.entry.FailureDomain == local,
		Avoid:  now.Before(t.avoid),
		WarmUp: now.Before(t.warm),
	}
	if now.Sub(t.reported) < reportTimeout {
		c.Running, c.Flows, c.Service = t.load.Running+t.load.Waiting, t.load.Flows, t.load.Service()
	}
	return c
}

// evidence is the load that a placement rests on, for the log.
type evidence struct {
	load relay.Load
	sent int
	age  time.Duration // negative if no load is known
}

func (t *target) evidence(now time.Time) evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reported.IsZero() {
		return evidence{sent: t.sent, age: -1}
	}
	return evidence{load: t.load, sent: t.sent, age: now.Sub(t.reported)}
}

// String formats the evidence.
func (e evidence) String() string {
	if e.age < 0 {
		return fmt.Sprintf("unknown sent=%d", e.sent)
	}
	return fmt.Sprintf("running=%d waiting=%d flows=%d sent=%d service=%s age=%s",
		e.load.Running, e.load.Waiting, e.load.Flows, e.sent, e.load.Service(), e.age.Round(time.Millisecond))
}

// judgeSpeed notes whether the backend server is slow, and whether that is news.
func (t *target) judgeSpeed(c *placement.Candidate, usual time.Duration) (slow, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	slow = c.Slow(usual, t.slow)
	changed = slow != t.slow
	t.slow = slow
	return slow, changed
}

func (t *target) take() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
}

// plan is the published state in the form in which packets need it; it is never
// changed but for the loads of its targets.
type plan struct {
	version  currantturn.Version
	revision uint64
	routes   map[netip.AddrPort]*currantturn.FlowRoute
	earlier  map[netip.AddrPort][]currantturn.ServiceName // that a route led to before
	ready    map[currantturn.ServiceName][]*target        // may get new flows
	services map[currantturn.ServiceName][]*target        // may hold flows
	all      []*target                                    // one for each agent
	byAgent  map[netip.AddrPort]*target
}

// newPlan keeps the loads of the targets that an older plan knows. Of several
// registrations with one address the youngest counts: the others ended.
func newPlan(now time.Time, s *published, old *plan) *plan {
	p := &plan{
		version:  s.routing.Version,
		revision: s.revision,
		routes:   make(map[netip.AddrPort]*currantturn.FlowRoute, len(s.routing.Routes)),
		earlier:  make(map[netip.AddrPort][]currantturn.ServiceName),
		ready:    make(map[currantturn.ServiceName][]*target),
		services: make(map[currantturn.ServiceName][]*target),
		byAgent:  make(map[netip.AddrPort]*target),
	}
	p.route(s.routing, old)
	for i := range s.servers {
		e := &s.servers[i]
		agent := netip.AddrPortFrom(e.Address.Addr(), s.agentPort)
		if other := p.byAgent[agent]; other != nil && !supersedes(e, &other.entry) {
			continue
		}
		p.byAgent[agent] = newTarget(now, e, agent, old)
	}
	for i := range s.servers {
		t := p.byAgent[netip.AddrPortFrom(s.servers[i].Address.Addr(), s.agentPort)]
		if t.entry.ID != s.servers[i].ID {
			continue
		}
		p.all = append(p.all, t)
		p.services[t.entry.Service] = append(p.services[t.entry.Service], t)
		if t.entry.Placeable() {
			p.ready[t.entry.Service] = append(p.ready[t.entry.Service], t)
		}
	}
	return p
}

// supersedes says whether registration a stands for the backend server at an
// address that b names as well.
func supersedes(a, b *roster.Entry) bool {
	if a.Gone.IsZero() != b.Gone.IsZero() {
		return a.Gone.IsZero()
	}
	if !a.Gone.IsZero() {
		return a.Gone.After(b.Gone)
	}
	if !a.Born.Equal(b.Born) {
		return a.Born.After(b.Born)
	}
	return a.Created > b.Created
}

func newTarget(now time.Time, e *roster.Entry, agent netip.AddrPort, old *plan) *target {
	t := &target{entry: *e, agent: agent, seed: rank.Seed(e.ID)}
	t.born = e.Born
	if e.WarmUp > 0 {
		t.warm = now.Add(e.WarmUp)
		if e.Born.IsZero() {
			t.born = now
		}
	}
	if old == nil {
		return t
	}
	was := old.byAgent[agent]
	if was == nil || was.entry.ID != e.ID || was.entry.Created != e.Created || !was.entry.Born.Equal(e.Born) {
		return t
	}
	was.mu.Lock()
	defer was.mu.Unlock()
	t.load, t.reported, t.sent, t.avoid = was.load, was.reported, was.sent, was.avoid
	t.silence, t.slow, t.absence = was.silence, was.slow, was.absence
	t.born = was.born
	if was.entry.WarmUp == e.WarmUp {
		t.warm = was.warm // no news of the warm-up
	}
	return t
}

func (p *plan) route(r *currantturn.Routing, old *plan) {
	for i := range r.Routes {
		f := &r.Routes[i]
		p.routes[f.Address] = f
		if old == nil {
			continue
		}
		p.earlier[f.Address] = old.earlier[f.Address]
		if was := old.routes[f.Address]; was != nil {
			for _, s := range was.Shares {
				p.remember(f, s.Service)
			}
		}
	}
}

// remember adds a service that the route leads to no more.
func (p *plan) remember(f *currantturn.FlowRoute, s currantturn.ServiceName) {
	for _, known := range p.earlier[f.Address] {
		if known == s {
			return
		}
	}
	for _, now := range f.Shares {
		if now.Service == s {
			return
		}
	}
	p.earlier[f.Address] = append(p.earlier[f.Address][:len(p.earlier[f.Address]):len(p.earlier[f.Address])], s)
}

// holders lists the targets that may hold a flow of the route.
func (p *plan) holders(f *currantturn.FlowRoute) []*target {
	if len(p.all) <= searchAll {
		return p.all
	}
	var all []*target
	for _, s := range f.Shares {
		all = append(all, p.services[s.Service]...)
	}
	for _, s := range p.earlier[f.Address] {
		all = append(all, p.services[s]...)
	}
	return all
}
