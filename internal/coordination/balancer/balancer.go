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

// Options are a balancer's identity, the fleet's keys and its bounds; all but
// the first two may be left out.
type Options struct {
	Self    netip.AddrPort // link address
	Key     rank.Key
	Seed    uint64        // of its random choices
	ConnIDs *connid.Codec // reads connection IDs of QUIC
	Hints   int           // bound of the hint cache
}

// Balancer is the router of an entry VM.
type Balancer struct {
	opts         Options
	plan         atomic.Pointer[plan]
	hints        *hint.Cache
	counts       counts
	mu           sync.Mutex // guards the fields below and changes of the plan
	statuses     map[memberKey]memberStatus
	leaving      map[netip.AddrPort]bool // agents that leave by the VM list
	peers        []netip.AddrPort        // other balancers of the VM list
	rng          *rand.Rand
	gossipBudget float64 // of gossip that may be sent now
	budgetFilled time.Time
	lastExpiry   time.Time // when marks were last expired
}

type counts struct {
	routed, answered, unknownService, byConnectionID, byHint, unroutable, notices atomic.Uint64
}

// Counters are a balancer's totals since its start.
type Counters struct {
	Routed         uint64 `json:"routed"`           // packets sent to agents
	Answered       uint64 `json:"answered"`         // answers sent to callers
	UnknownService uint64 `json:"unknown_service"`  // packets for an address of no service
	ByConnectionID uint64 `json:"by_connection_id"` // packets sent by their connection ID
	ByHint         uint64 `json:"by_hint"`          // packets sent by a hint
	Unroutable     uint64 `json:"unroutable"`       // packets of services without backend servers
	Notices        uint64 `json:"notices"`          // news of backend servers that died, leave or are back
	Hints          int    `json:"hints"`            // hints kept at present
	Marks          int    `json:"marks"`            // backend servers with news at present
}

// New returns a balancer that has no configuration yet.
func New(opts Options) *Balancer {
	if opts.Hints == 0 {
		opts.Hints = hint.DefaultEntries
	}
	b := &Balancer{
		opts:     opts,
		hints:    hint.New(opts.Hints),
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

// Counters returns the totals so far.
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
		Marks:          statuses,
	}
}

// Configure puts a newer configuration in force.
func (b *Balancer) Configure(_ time.Time, v *currantturn.View, _ *currantturn.Effects) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if v.Version >= b.plan.Load().view.Version {
		b.rebuildPlan(v)
	}
}

// SetVMs takes the platform's lagging list.
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

// Handle takes a control message.
func (b *Balancer) Handle(now time.Time, from netip.AddrPort, m currantturn.Message, out *currantturn.Effects) {
	switch m := m.(type) {
	case hint.Hint:
		b.hints.Put(m)
	case membership.Echo:
		out.Send(from, membership.EchoReply{Seq: m.Seq})
	case membership.Notice:
		b.handleNotice(now, m, out)
	}
}

// handleNotice takes what agents say of a backend server, and passes on what
// is new.
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

// gossip passes a notice to a few other balancers within the budget.
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

// Tick forgets notices that were not repeated.
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
