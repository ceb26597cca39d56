package agent

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/membership"
	"github.com/currantturn/currantturn/internal/coordination/rank"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/protocol/connid"
	"github.com/currantturn/currantturn/internal/state/flow"
)

// Options are the settings of an Agent; all but the first four are optional.
type Options struct {
	ID      currantturn.BackendID
	Service currantturn.ServiceName
	Self    netip.AddrPort // link address
	Key     rank.Key
	Seed    uint64                  // of the random number generator
	ConnIDs *connid.Codec           // decodes QUIC connection IDs
	Load    func() currantturn.Load // returns the load of this backend server; the agent adds the flows
	// PeerLoad is called with each load received from another agent, if not nil.
	PeerLoad         func(now time.Time, id currantturn.BackendID, load currantturn.Load)
	MaxRecords       int           // maximum size of the flow table; DefaultMaxRecords if 0
	IdleTimeout      time.Duration // idle timeout of held flows; DefaultIdleTimeout if 0
	ReportViolations bool          // reports violated invariants as events
}

// Agent is the router at a backend server.
type Agent struct {
	opts           Options
	table          *flow.Table
	ids            *flow.Interner // numbers of backend servers in flow records
	members        *membership.List
	plan           atomic.Pointer[plan]
	searches       [flow.Shards]map[uint64]*search // by flow hash, each map guarded by the lock of the table's shard
	balancers      balancerSet
	outbox         outbox
	counts         counts
	mu             sync.Mutex // guards the fields below and changes of the plan
	memberEpoch    uint64     // epoch of the members that the plan is based on
	nextSweepShard int
	lastNotice     time.Time // last repetition of all notices
	drainStarted   time.Time // zero if this process is not leaving
	drainFinished  bool      // no flow is held any more
}

// New returns an agent that holds no flows.
func New(opts Options) *Agent {
	if opts.MaxRecords == 0 {
		opts.MaxRecords = DefaultMaxRecords
	}
	if opts.IdleTimeout == 0 {
		opts.IdleTimeout = DefaultIdleTimeout
	}
	a := &Agent{
		opts:  opts,
		table: flow.NewTable(opts.MaxRecords),
		ids:   flow.NewInterner(),
		members: membership.New(membership.Options{
			ID: opts.ID, Service: opts.Service, Seed: opts.Seed, OnLoad: opts.PeerLoad,
		}),
	}
	for i := range a.searches {
		a.searches[i] = make(map[uint64]*search)
	}
	a.balancers.init()
	return a
}

// Kinds lists the control messages that an agent handles.
func Kinds() []currantturn.Kind {
	own := []currantturn.Kind{
		Query{}.Kind(), Reply{}.Kind(), Announce{}.Kind(), AnnounceAck{}.Kind(), membership.EchoReply{}.Kind(),
	}
	return append(own, membership.Kinds()...)
}

// Members returns the membership list of the agent's service.
func (a *Agent) Members() *membership.List {
	return a.members
}

// Configure applies a configuration unless it is older than the current one.
func (a *Agent) Configure(now time.Time, v *currantturn.View, out *currantturn.Effects) {
	s := v.Service(a.opts.Service)
	if s == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if p := a.plan.Load(); p != nil && v.Version < p.version {
		return
	}
	a.members.Configure(now, v.Version, s)
	a.rebuildPlan(now, v.Version, s, out)
}

// rebuildPlan replaces the plan by one for the current members; the caller holds
// a.mu.
func (a *Agent) rebuildPlan(now time.Time, v currantturn.Version, s *currantturn.Service, out *currantturn.Effects) {
	a.memberEpoch = a.members.Epoch()
	p := newPlan(v, s, a.members.Gone())
	p.inheritFrom(now, a.plan.Load(), a.members.TakeRestarted(), a.ids)
	a.plan.Store(p)
	a.reportDrainStart(now, out)
}

// SetLeaving starts or cancels a drain that this process itself requests. Others are
// requested by the configuration and the VM list.
func (a *Agent) SetLeaving(now time.Time, leaving bool, out *currantturn.Effects) {
	a.members.SetLeaving(now, leaving)
	a.updatePlan(now, out)
}

// SetVMs applies the platform's list of VMs, which may be out of date.
func (a *Agent) SetVMs(now time.Time, vms []currantturn.VM, out *currantturn.Effects) {
	leaving := make(map[netip.AddrPort]bool)
	for i := range vms {
		if vms[i].State == currantturn.VMLeaving {
			leaving[vms[i].Link] = true
		}
	}
	a.members.SetListedLeaving(now, func(link netip.AddrPort) bool { return leaving[link] })
	a.balancers.setLeaving(leaving)
	a.updatePlan(now, out)
}

// updatePlan rebuilds the plan if the members changed.
func (a *Agent) updatePlan(now time.Time, out *currantturn.Effects) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.plan.Load()
	if p == nil || a.members.Epoch() == a.memberEpoch {
		return
	}
	a.rebuildPlan(now, p.version, p.service, out)
}

// reportDrainStart reports the start of a drain, once per drain; the caller holds
// a.mu.
func (a *Agent) reportDrainStart(now time.Time, out *currantturn.Effects) {
	leaving := a.members.Leaving()
	switch {
	case leaving && a.drainStarted.IsZero():
		a.drainStarted, a.drainFinished = now, false
		out.Event(event.DrainStarted, event.F("service", a.opts.Service), event.F("backend", a.opts.ID))
	case !leaving:
		a.drainStarted = time.Time{}
	}
}

// Handle processes a control message.
func (a *Agent) Handle(now time.Time, from netip.AddrPort, m currantturn.Message, out *currantturn.Effects) {
	switch m := m.(type) {
	case Query:
		a.handleQuery(now, from, m, out)
	case Reply:
		a.handleReply(now, m, out)
	case Announce:
		a.handleAnnounce(now, from, m, out)
	case AnnounceAck:
		a.outbox.acknowledge(m.Seq)
	case membership.EchoReply:
		a.balancers.recordEchoReply(now, from)
	default:
		a.members.Handle(now, from, m, out)
		a.updatePlan(now, out)
	}
}

// Tick sends what is due and removes expired records.
func (a *Agent) Tick(now time.Time, out *currantturn.Effects) {
	a.members.Tick(now, a.currentLoad(), out)
	a.updatePlan(now, out)
	p := a.plan.Load()
	if p == nil {
		return
	}
	a.tickSearches(now, p, out)
	a.sweep(now, p, out)
	a.outbox.flush(now, a, p, out)
	a.sendNotices(now, out)
	a.balancers.sendEchoes(now, out)
	a.reportDrainEnd(now, out)
}

// currentLoad returns the load that is sent to other agents.
func (a *Agent) currentLoad() currantturn.Load {
	var load currantturn.Load
	if a.opts.Load != nil {
		load = a.opts.Load()
	}
	_, load.Flows = a.table.Len()
	return load
}

// reportDrainEnd reports the end of a drain once no flow is held any more.
func (a *Agent) reportDrainEnd(now time.Time, out *currantturn.Effects) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.drainStarted.IsZero() || a.drainFinished {
		return
	}
	if _, held := a.table.Len(); held > 0 {
		return
	}
	a.drainFinished = true
	out.Event(event.DrainFinished, event.F("service", a.opts.Service), event.F("backend", a.opts.ID),
		event.F("elapsed", now.Sub(a.drainStarted)))
}

// sendNotices sends changes of members to some balancers. It sends the notices of
// all gone members to new balancers, and to a few others every NoticeInterval.
func (a *Agent) sendNotices(now time.Time, out *currantturn.Effects) {
	a.mu.Lock()
	refreshDue := now.Sub(a.lastNotice) >= NoticeInterval
	if refreshDue {
		a.lastNotice = now
	}
	a.mu.Unlock()
	for _, n := range a.members.Notices(false) {
		for _, b := range a.balancers.nextUsable(now, noticeFanout) {
			out.Send(b, n)
		}
	}
	recipients := a.balancers.takeNew()
	if !refreshDue && len(recipients) == 0 {
		return
	}
	if refreshDue {
		recipients = append(recipients, a.balancers.nextUsable(now, refreshFanout)...)
	}
	for _, n := range a.members.Notices(true) {
		for _, b := range recipients {
			out.Send(b, n)
		}
	}
}

// reportViolation counts a violated invariant, and reports it if ReportViolations is set.
func (a *Agent) reportViolation(invariant string, detail any, out *currantturn.Effects) {
	a.counts.violations.Add(1)
	if a.opts.ReportViolations {
		out.Event(event.InvariantViolated, event.F("invariant", invariant), event.F("detail", detail))
	}
}
