package balancer

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/membership"
	"github.com/currantturn/currantturn/internal/coordination/rank"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/protocol/connid"
	"github.com/currantturn/currantturn/internal/state/hint"
)

// Options are the settings of a Balancer; all but the first two are optional.
type Options struct {
	Self     netip.AddrPort // link address
	Key      rank.Key
	Seed     uint64        // of the random number generator
	ConnIDs  *connid.Codec // decodes QUIC connection IDs
	MaxHints int           // maximum size of the hint cache; hint.DefaultEntries if 0
}

// Balancer is the router at an entry VM.
type Balancer struct {
	opts         Options
	plan         atomic.Pointer[plan]
	hints        *hint.Cache
	counts       counts
	mu           sync.Mutex // guards the fields below and changes of the plan
	statuses     map[memberKey]memberStatus
	leaving      map[netip.AddrPort]bool // link addresses of agents that are leaving by the VM list
	peers        []netip.AddrPort        // link addresses of the other live balancers in the VM list
	rng          *rand.Rand
	gossipBudget float64   // bytes of notices that may be forwarded now
	budgetFilled time.Time // last refill of gossipBudget
	lastExpiry   time.Time // last removal of expired statuses
}

type counts struct {
	routed, answered, unknownService, byConnectionID, byHint, unroutable, notices atomic.Uint64
}

// Counters are the totals of a balancer since its start, and its current hints and
// statuses.
type Counters struct {
	Routed         uint64 `json:"routed"`           // packets forwarded to agents
	Answered       uint64 `json:"answered"`         // answers sent to callers
	UnknownService uint64 `json:"unknown_service"`  // packets dropped because no service has their destination address
	ByConnectionID uint64 `json:"by_connection_id"` // packets routed by their QUIC connection ID
	ByHint         uint64 `json:"by_hint"`          // packets routed by a hint
	Unroutable     uint64 `json:"unroutable"`       // packets dropped because their service has no backend servers
	Notices        uint64 `json:"notices"`          // accepted notices that a backend server died, is leaving or is back
	Hints          int    `json:"hints"`            // current hints
	Statuses       int    `json:"marks"`            // backend servers with a current notice
}

// New returns a balancer that has no configuration yet.
func New(opts Options) *Balancer {
	if opts.MaxHints == 0 {
		opts.MaxHints = hint.DefaultEntries
	}
	b := &Balancer{
		opts:     opts,
		hints:    hint.New(opts.MaxHints),
		statuses: make(map[memberKey]memberStatus),
		rng:      rand.New(rand.NewPCG(opts.Seed, 3)),
	}
	b.rebuildPlan(currantturn.NewView(0, nil))
	return b
}

// Kinds lists the control messages that a balancer handles.
func Kinds() []currantturn.Kind {
	return []currantturn.Kind{hint.Hint{}.Kind(), membership.Notice{}.Kind(), membership.Echo{}.Kind()}
}

// Counters returns the current totals.
func (b *Balancer) Counters() Counters {
	c := &b.counts
	b.mu.Lock()
	statuses := len(b.statuses)
	b.mu.Unlock()
	return Counters{
		Routed:         c.routed.Load(),
		Answered:       c.answered.Load(),
		UnknownService: c.unknownService.Load(),
		ByConnectionID: c.byConnectionID.Load(),
		ByHint:         c.byHint.Load(),
		Unroutable:     c.unroutable.Load(),
		Notices:        c.notices.Load(),
		Hints:          b.hints.Len(),
		Statuses:       statuses,
	}
}

// Configure applies a configuration unless it is older than the current one.
func (b *Balancer) Configure(_ time.Time, v *currantturn.View, _ *currantturn.Effects) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if v.Version >= b.plan.Load().view.Version {
		b.rebuildPlan(v)
	}
}

// SetVMs applies the platform's list of VMs, which may be out of date.
func (b *Balancer) SetVMs(_ time.Time, vms []currantturn.VM, _ *currantturn.Effects) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = make(map[netip.AddrPort]bool)
	b.peers = b.peers[:0]
	for i := range vms {
		switch vm := &vms[i]; {
		case vm.Role == currantturn.RoleAgent && vm.State == currantturn.VMLeaving:
			b.leaving[vm.Link] = true
		case vm.Role == currantturn.RoleBalancer && vm.State == currantturn.VMLive && vm.Link != b.opts.Self:
			b.peers = append(b.peers, vm.Link)
		}
	}
	b.rebuildPlan(b.plan.Load().view)
}

// Handle processes a control message.
func (b *Balancer) Handle(now time.Time, from netip.AddrPort, m currantturn.Message, out *currantturn.Effects) {
	switch m := m.(type) {
	case hint.Hint:
		b.hints.Apply(m)
	case membership.Echo:
		out.Send(from, membership.EchoReply{Seq: m.Seq})
	case membership.Notice:
		b.handleNotice(now, m, out)
	}
}

// handleNotice stores an agent's notice about a backend server and forwards it to
// other balancers if it is new. A repeated notice only extends the lifetime of the
// stored one. A notice of an earlier incarnation is ignored, and so is one about a
// further backend server when maxStatuses are stored.
func (b *Balancer) handleNotice(now time.Time, n membership.Notice, out *currantturn.Effects) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := memberKey{n.Service, n.Update.ID}
	service := b.plan.Load().view.Service(n.Service)
	if service == nil || service.Backend(n.Update.ID) == nil {
		return
	}
	old, known := b.statuses[key]
	if known && old.update == n.Update {
		old.expiresAt = now.Add(NoticeLifetime)
		b.statuses[key] = old
		return
	}
	if known && n.Update.Incarnation < old.update.Incarnation || len(b.statuses) >= maxStatuses && !known {
		return
	}
	b.counts.notices.Add(1)
	b.statuses[key] = memberStatus{update: n.Update, expiresAt: now.Add(NoticeLifetime)}
	b.rebuildServicePlan(n.Service)
	b.gossip(now, n, out)
	if n.Update.State == membership.Dead {
		out.Event(event.MemberDead, event.F("member", n.Update.ID), event.F("incarnation", n.Update.Incarnation))
	}
}

// gossip forwards a notice to a few random other balancers within the budget.
func (b *Balancer) gossip(now time.Time, n membership.Notice, out *currantturn.Effects) {
	b.gossipBudget = min(b.gossipBudget+now.Sub(b.budgetFilled).Seconds()*GossipBytesPerSecond, GossipBytesPerSecond)
	b.budgetFilled = now
	for range min(gossipFanout, len(b.peers)) {
		if b.gossipBudget < noticeBytes {
			return
		}
		b.gossipBudget -= noticeBytes
		out.Send(b.peers[b.rng.IntN(len(b.peers))], n)
	}
}

// Tick removes notices that were not repeated within NoticeLifetime; it checks once
// a second.
func (b *Balancer) Tick(now time.Time, _ *currantturn.Effects) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.lastExpiry) < time.Second {
		return
	}
	b.lastExpiry = now
	changed := make(map[currantturn.ServiceName]bool)
	for key, status := range b.statuses {
		if now.After(status.expiresAt) {
			delete(b.statuses, key)
			changed[key.service] = true
		}
	}
	for name := range changed {
		b.rebuildServicePlan(name)
	}
}
