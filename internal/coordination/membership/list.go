package membership

import (
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"sort"
	"sync"
	"time"

	"github.com/currantturn/currantturn"
)

// Options are the settings of a List.
type Options struct {
	ID      currantturn.BackendID // of this process's member
	Service currantturn.ServiceName
	Seed    uint64 // of the random number generator
	// OnLoad is called with each load received from a member, if not nil. It must
	// not call the list.
	OnLoad func(now time.Time, id currantturn.BackendID, load currantturn.Load)
}

// Member is this process's record of one agent of the service.
type Member struct {
	Server           *currantturn.BackendServer // from the configuration in force
	State            State
	Leaving          bool // declared by the member itself, draining by configuration, or leaving by the VM list
	Load             currantturn.Load
	RecentPlacements int       // placements there that its last received load does not include
	StartedAt        time.Time // start of its process

	lastUpdate       Update
	listedLeaving    bool // leaving by the VM list
	lastReceived     time.Time
	changedAt        time.Time // last update, or end of a pause of this process
	channelRenewedAt time.Time // last renewal of its channel; zero after a message from it
	notified         Update    // sent to balancers last
}

// MayTakeWork reports whether new work may be placed there.
func (m *Member) MayTakeWork() bool {
	return m.State == Alive && !m.Leaving && m.Server.Weight > 0
}

// Gone reports whether the member is dead or leaving, so that it is not chosen as
// a home.
func (m *Member) Gone() bool {
	return m.State == Dead || m.Leaving
}

// Capacity returns the relative amount of new work that the member can take; it
// rises linearly during RampTime after the start of its process.
func (m *Member) Capacity(now time.Time) float64 {
	c := float64(max(m.Server.Slots, 1) * max(m.Server.Weight, 1))
	age := now.Sub(m.StartedAt)
	if m.StartedAt.IsZero() || age >= RampTime {
		return c
	}
	return c * max(minRampShare, float64(age)/float64(RampTime))
}

type queuedUpdate struct {
	update    Update
	sendsLeft int
}

// probe is an unanswered probe of a member.
type probe struct {
	id             currantturn.BackendID
	seq            uint32
	sent           time.Time
	channelRenewed bool
}

// List is one agent's record of the members of its service; it is safe for
// concurrent use.
type List struct {
	opts              Options
	mu                sync.Mutex
	rng               *rand.Rand
	version           currantturn.Version
	members           []*Member // in the order of the configured backend servers
	byID              map[currantturn.BackendID]*Member
	self              Update
	load              currantturn.Load    // of this process
	selfListedLeaving bool                // this process is leaving by the VM list
	drainingVersion   currantturn.Version // newest version in which a peer has this process draining
	probeOrder        []int               // indexes of the members still to be probed in this round
	nextProbe         time.Time
	probes            []probe
	relays            []relay
	queue             []queuedUpdate
	seq               uint32 // of the last probe
	lastTick          time.Time
	staleUntil        time.Time // when the members' states no longer count as stale
	epoch             uint64
	partitioned       bool      // so many members are dead that a partition is likely
	healedAt          time.Time // when a likely partition ended
	restarted         []currantturn.BackendID
	counters          Counters
	stopped           bool // the end of this process was announced
}

// Counters are a list's totals since its start.
type Counters struct {
	Probes        uint64 `json:"probes"`         // probes sent
	Renewals      uint64 `json:"renewals"`       // channels that got a fresh socket because a probe stayed unanswered
	Suspicions    uint64 `json:"suspicions"`     // suspicions received or raised
	Deaths        uint64 `json:"deaths"`         // deaths received or declared
	Refutations   uint64 `json:"refutations"`    // suspicions about this process refuted
	Pauses        uint64 `json:"pauses"`         // pauses of this process detected
	DroppedRelays uint64 `json:"dropped_relays"` // probes for other agents dropped because too many were unanswered
}

// New returns a list without members.
func New(opts Options) *List {
	return &List{
		opts: opts,
		rng:  rand.New(rand.NewPCG(opts.Seed, 4)),
		byID: make(map[currantturn.BackendID]*Member),
	}
}

// Counters returns the totals so far.
func (l *List) Counters() Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counters
}

// ensureStarted sets the incarnation of this process at the first call. It starts
// with the time, so that a restarted process has a higher one.
func (l *List) ensureStarted(now time.Time) {
	if l.self.Incarnation != 0 {
		return
	}
	l.self = Update{ID: l.opts.ID, State: Alive, Incarnation: uint64(now.UnixMilli()) << incarnationBits}
	l.lastTick = now
	l.staleUntil = now.Add(StaleFor)
}

// startTime returns when the process with the given incarnation started.
func startTime(incarnation uint64) time.Time {
	return time.UnixMilli(int64(incarnation >> incarnationBits))
}

// Configure sets the members to those of a newer configuration.
func (l *List) Configure(now time.Time, v currantturn.Version, s *currantturn.Service) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ensureStarted(now)
	l.version = v
	old := l.byID
	l.byID = make(map[currantturn.BackendID]*Member, len(s.Backends))
	l.members = l.members[:0]
	for i := range s.Backends {
		server := &s.Backends[i]
		m := old[server.ID]
		if m == nil {
			m = &Member{State: Alive, lastUpdate: Update{ID: server.ID, State: Alive}, lastReceived: now}
			m.notified = m.lastUpdate
		}
		m.Server = server
		l.byID[server.ID] = m
		l.members = append(l.members, m)
	}
	l.probeOrder = l.probeOrder[:0]
	l.refresh(now)
}

// refresh recomputes the members' derived state and whether a partition is likely,
// and starts a new epoch.
func (l *List) refresh(now time.Time) {
	l.epoch++
	dead := 0
	for _, m := range l.members {
		if m.Server.ID == l.opts.ID {
			m.lastUpdate, m.State, m.Load, m.lastReceived = l.self, Alive, l.load, now
			m.StartedAt = startTime(l.self.Incarnation)
			m.listedLeaving = l.selfListedLeaving
		}
		m.Leaving = m.lastUpdate.Leaving || m.listedLeaving || m.Server.State == currantturn.BackendDraining
		if m.Server.ID == l.opts.ID && l.drainingVersion > l.version {
			m.Leaving = true
		}
		if m.State == Dead {
			dead++
		}
	}
	before := l.partitioned
	l.partitioned = dead > 1 && dead*partitionDivisor > len(l.members)
	if before && !l.partitioned {
		l.healedAt = now
	}
}

// SetListedLeaving records which members are leaving by the VM list.
func (l *List) SetListedLeaving(now time.Time, leaving func(netip.AddrPort) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.members {
		m.listedLeaving = leaving(m.Server.Agent)
		if m.Server.ID == l.opts.ID {
			l.selfListedLeaving = m.listedLeaving
		}
	}
	l.refresh(now)
}

// SetLeaving declares whether this process is leaving.
func (l *List) SetLeaving(now time.Time, leaving bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ensureStarted(now)
	if l.self.Leaving == leaving {
		return
	}
	l.self.Leaving = leaving
	l.self.Incarnation++
	l.queueUpdate(l.self)
	l.refresh(now)
}

// Epoch changes with every change of the members or their states.
func (l *List) Epoch() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch
}

// Stale reports whether a pause or a start is too recent to rely on the members'
// states.
func (l *List) Stale(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.staleUntil)
}

// WithMembers calls f with the members in configured order; f may read them and
// count placements in RecentPlacements.
func (l *List) WithMembers(f func([]*Member)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.members)
}

// Gone returns the IDs of the members that are dead or leaving.
func (l *List) Gone() map[currantturn.BackendID]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	gone := make(map[currantturn.BackendID]bool)
	for _, m := range l.members {
		if m.Gone() {
			gone[m.Server.ID] = true
		}
	}
	return gone
}

// Get returns a copy of one member.
func (l *List) Get(id currantturn.BackendID) (Member, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.byID[id]
	if m == nil {
		return Member{}, false
	}
	return *m, true
}

// Lost reports whether a member has been dead for so long that its flows are gone.
// When many members die at once, a partition is likelier than their deaths, and
// none of them counts as lost.
func (l *List) Lost(now time.Time, id currantturn.BackendID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.byID[id]
	return m != nil && m.State == Dead && now.Sub(m.changedAt) >= DeadGrace && !l.partitionLikely(now)
}

// PartitionLikely reports whether a partition is likely, because many members are
// dead or were so within the last HealTime.
func (l *List) PartitionLikely(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.partitionLikely(now)
}

// partitionLikely is PartitionLikely for callers that hold l.mu.
func (l *List) partitionLikely(now time.Time) bool {
	return l.partitioned || now.Sub(l.healedAt) < HealTime
}

// Leaving reports whether this process is leaving, so that it takes no new work.
func (l *List) Leaving() bool {
	m, ok := l.Get(l.opts.ID)
	return ok && m.Leaving
}

// TakeRestarted returns the members whose process was replaced since the last call.
func (l *List) TakeRestarted() []currantturn.BackendID {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.restarted
	l.restarted = nil
	return out
}

// Notices returns the notices to send to balancers: the changes since the last
// call, and every member that is gone if all is set. A suspected member counts as
// alive there.
func (l *List) Notices(all bool) []Notice {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Notice
	for _, m := range l.members {
		u := m.lastUpdate
		u.ID = m.Server.ID
		u.Leaving = m.Leaving
		if u.State == Suspect {
			u.State = Alive
		}
		changed := u.State != m.notified.State || u.Leaving != m.notified.Leaving
		if changed || (all && m.Gone()) {
			m.notified = u
			out = append(out, Notice{Service: l.opts.Service, Update: u})
		}
	}
	return out
}

// queueUpdate queues an update for the next messages.
func (l *List) queueUpdate(u Update) {
	for i := range l.queue {
		if l.queue[i].update.ID == u.ID {
			l.queue[i] = queuedUpdate{u, l.transmissions()}
			return
		}
	}
	if len(l.queue) >= maxQueued {
		l.queue = l.queue[1:]
	}
	l.queue = append(l.queue, queuedUpdate{u, l.transmissions()})
}

// transmissions returns how often an update is sent.
func (l *List) transmissions() int {
	return updateTransmissions * bits.Len(uint(len(l.members)))
}

// takeUpdates returns the updates for the next message: those with the most sends
// left.
func (l *List) takeUpdates() []Update {
	sort.SliceStable(l.queue, func(i, j int) bool { return l.queue[i].sendsLeft > l.queue[j].sendsLeft })
	n := min(len(l.queue), maxUpdates)
	out := make([]Update, n)
	for i := range n {
		out[i] = l.queue[i].update
		l.queue[i].sendsLeft--
	}
	kept := l.queue[:0]
	for _, q := range l.queue {
		if q.sendsLeft > 0 {
			kept = append(kept, q)
		}
	}
	l.queue = kept
	return out
}
