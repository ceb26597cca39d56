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

// Options are a member's identity and the seed of its random choices.
type Options struct {
	ID      currantturn.BackendID
	Service currantturn.ServiceName
	Seed    uint64
	// Heard gets each load that a member tells; nil for none. It must not call
	// the list.
	Heard func(now time.Time, id currantturn.BackendID, load currantturn.Load)
}

// Member is one agent of the service as this process knows it.
type Member struct {
	Server  *currantturn.BackendServer // of the configuration in force
	State   State
	Leaving bool // declared by itself, draining by configuration, or by the VM list
	Load    currantturn.Load
	Recent  int // placements there that its load does not show yet
	Booted  time.Time

	known    Update
	listed   bool // leaving by the VM list
	heard    time.Time
	changed  time.Time
	silent   time.Time // when its channel was found silent
	notified Update
}

// MayTakeWork says whether new work may be placed there.
func (m *Member) MayTakeWork() bool {
	return m.State == Alive && !m.Leaving && m.Server.Weight > 0
}

// Gone says whether homes skip the member.
func (m *Member) Gone() bool {
	return m.State == Dead || m.Leaving
}

// Capacity is the share of new work that the member can take at the given time.
func (m *Member) Capacity(now time.Time) float64 {
	c := float64(max(m.Server.Slots, 1) * max(m.Server.Weight, 1))
	age := now.Sub(m.Booted)
	if m.Booted.IsZero() || age >= RampTime {
		return c
	}
	return c * max(minimumRamp, float64(age)/float64(RampTime))
}

type queued struct {
	update Update
	left   int
}

type probe struct {
	id      currantturn.BackendID
	seq     uint32
	sent    time.Time
	renewed bool
}

// List is the membership as one agent knows it.
type List struct {
	opts      Options
	mu        sync.Mutex
	rng       *rand.Rand
	version   currantturn.Version
	members   []*Member // in the order of the configured backend servers
	byID      map[currantturn.BackendID]*Member
	self      Update
	load      currantturn.Load
	ownListed bool
	toldAt    currantturn.Version // a peer's newer version that has this one draining
	order     []int
	nextProbe time.Time
	probes    []probe
	relays    []relay
	updates   []queued
	seq       uint32
	lastTick  time.Time
	stale     time.Time // until when knowledge counts as stale
	epoch     uint64
	parted    bool
	healed    time.Time // when a likely partition ended
	restarted []currantturn.BackendID
	counters  Counters
	ended     bool // after the farewell
}

// Counters are a list's totals since its start.
type Counters struct {
	Probes       uint64 `json:"probes"`         // probes sent
	Renewals     uint64 `json:"renewals"`       // channels found silent and given a fresh socket
	Suspicions   uint64 `json:"suspicions"`     // suspicions learnt or raised
	Deaths       uint64 `json:"deaths"`         // deaths learnt or declared
	Refutations  uint64 `json:"refutations"`    // suspicions about this process refuted
	Pauses       uint64 `json:"pauses"`         // pauses of this process detected
	DroppedRelay uint64 `json:"dropped_relays"` // probes for others forgotten because too many wait
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

// start gives the process its incarnation at its first decision.
func (l *List) start(now time.Time) {
	if l.self.Incarnation != 0 {
		return
	}
	l.self = Update{ID: l.opts.ID, State: Alive, Incarnation: uint64(now.UnixMilli()) << incarnationBits}
	l.lastTick = now
	l.stale = now.Add(StaleFor)
}

// booted is when the process with the given incarnation started.
func booted(incarnation uint64) time.Time {
	return time.UnixMilli(int64(incarnation >> incarnationBits))
}

// Configure takes the members from a newer configuration.
func (l *List) Configure(now time.Time, v currantturn.Version, s *currantturn.Service) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.start(now)
	l.version = v
	known := l.byID
	l.byID = make(map[currantturn.BackendID]*Member, len(s.Backends))
	l.members = l.members[:0]
	for i := range s.Backends {
		server := &s.Backends[i]
		m := known[server.ID]
		if m == nil {
			m = &Member{State: Alive, known: Update{ID: server.ID, State: Alive}, heard: now}
			m.notified = m.known
		}
		m.Server = server
		l.byID[server.ID] = m
		l.members = append(l.members, m)
	}
	l.order = l.order[:0]
	l.refresh(now)
}

// refresh derives what depends on several sources and starts a new epoch.
func (l *List) refresh(now time.Time) {
	l.epoch++
	dead := 0
	for _, m := range l.members {
		if m.Server.ID == l.opts.ID {
			m.known, m.State, m.Load, m.heard = l.self, Alive, l.load, now
			m.Booted = booted(l.self.Incarnation)
			m.listed = l.ownListed
		}
		m.Leaving = m.known.Leaving || m.listed || m.Server.State == currantturn.BackendDraining
		if m.Server.ID == l.opts.ID && l.toldAt > l.version {
			m.Leaving = true
		}
		if m.State == Dead {
			dead++
		}
	}
	was := l.parted
	l.parted = dead > 1 && dead*partedShare > len(l.members)
	if was && !l.parted {
		l.healed = now
	}
}

// Listed takes from the VM list whether a member leaves.
func (l *List) Listed(now time.Time, leaving func(netip.AddrPort) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.members {
		m.listed = leaving(m.Server.Agent)
		if m.Server.ID == l.opts.ID {
			l.ownListed = m.listed
		}
	}
	l.refresh(now)
}

// SetLeaving declares that this process leaves, or no longer does.
func (l *List) SetLeaving(now time.Time, leaving bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.start(now)
	if l.self.Leaving == leaving {
		return
	}
	l.self.Leaving = leaving
	l.self.Incarnation++
	l.spread(l.self)
	l.refresh(now)
}

// Epoch changes with every change of the members or their states.
func (l *List) Epoch() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch
}

// Stale says whether a pause or a start is too recent to trust what is known.
func (l *List) Stale(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.stale)
}

// With lets f read the members and count placements, in configured order.
func (l *List) With(f func([]*Member)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.members)
}

// Gone returns the IDs that homes skip.
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

// Lost says whether a member has been dead for so long that its flows are gone.
// When many members die at once, a partition is likelier than their deaths, and
// none of them counts as lost.
func (l *List) Lost(now time.Time, id currantturn.BackendID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.byID[id]
	return m != nil && m.State == Dead && now.Sub(m.changed) >= DeadGrace && !l.apart(now)
}

// Parted says whether so many members are dead, or were until a moment ago,
// that a partition is likely.
func (l *List) Parted(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.apart(now)
}

func (l *List) apart(now time.Time) bool {
	return l.parted || now.Sub(l.healed) < HealTime
}

// Leaving says whether this process takes no new work.
func (l *List) Leaving() bool {
	m, ok := l.Get(l.opts.ID)
	return ok && m.Leaving
}

// Restarted returns and forgets the members whose process was replaced.
func (l *List) Restarted() []currantturn.BackendID {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.restarted
	l.restarted = nil
	return out
}

// Notices returns what balancers have to hear: every member that is gone when
// all is set, else only the changes since the last call.
func (l *List) Notices(all bool) []Notice {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Notice
	for _, m := range l.members {
		u := m.known
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

// spread queues an update for the next messages.
func (l *List) spread(u Update) {
	for i := range l.updates {
		if l.updates[i].update.ID == u.ID {
			l.updates[i] = queued{u, l.repeats()}
			return
		}
	}
	if len(l.updates) >= maxQueued {
		l.updates = l.updates[1:]
	}
	l.updates = append(l.updates, queued{u, l.repeats()})
}

func (l *List) repeats() int {
	return updateRepeat * bits.Len(uint(len(l.members)))
}

// gossip takes the updates that were sent the fewest times.
func (l *List) gossip() []Update {
	sort.SliceStable(l.updates, func(i, j int) bool { return l.updates[i].left > l.updates[j].left })
	n := min(len(l.updates), maxUpdates)
	out := make([]Update, n)
	for i := range n {
		out[i] = l.updates[i].update
		l.updates[i].left--
	}
	kept := l.updates[:0]
	for _, q := range l.updates {
		if q.left > 0 {
			kept = append(kept, q)
		}
	}
	l.updates = kept
	return out
}
