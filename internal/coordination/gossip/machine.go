package gossip

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/state/configuration"
	"github.com/currantturn/currantturn/pkg/patch"
)

// Options are the parts and settings of a Machine.
type Options struct {
	Self      netip.AddrPort // own link address
	Domain    currantturn.FailureDomain
	Random    *rand.Rand
	Seeds     []netip.AddrPort // peers to ask before any configuration is known
	FleetSize int              // expected processes, until a configuration tells
	// Decode reads an encoded snapshot; nil stands for configuration.DecodeSnapshot.
	Decode func([]byte) (*patch.Configuration, error)
}

// Machine decides what to read from the platform and what to tell peers. It is
// safe for concurrent use.
type Machine struct {
	mu       sync.Mutex
	opts     Options
	random   *rand.Rand
	log      *configuration.Log
	peers    peers
	vms      []currantturn.VM
	counters Counters

	lastTick   time.Time
	started    time.Time
	configured time.Time // when the first configuration came
	confirmed  time.Time // latest time at which the platform held no more than our head
	heard      uint64    // highest position that anyone told of
	heardAt    time.Time // when it was last told
	ready      bool
	inForce    *currantturn.View   // last published, nil before the process was ready
	early      []*currantturn.View // versions before that, in order
	refused    bool                // reported that it is not ready
	answered   []netip.AddrPort    // peers that agreed since the start or pause
	troubled   time.Time           // first read that failed or was stale since the start or pause

	hot          int // rounds to go
	nextRound    time.Time
	nextExchange time.Time
	bucket       bucket
	pull         pull
	parts        assembly
	ahead        map[uint64]*linked
	download     download

	reads    reads
	stale    bool
	contrary []netip.AddrPort // peers that contradict a log never in force

	diverged   patch.Digest // last contradiction reported
	divergedAt uint64
}

// New returns a machine with the empty configuration.
func New(opts Options) *Machine {
	m := &Machine{
		opts:   opts,
		random: opts.Random,
		log:    configuration.NewLog(&patch.Configuration{}),
		peers:  peers{self: opts.Self, domain: opts.Domain},
		ahead:  make(map[uint64]*linked),
	}
	if m.opts.Decode == nil {
		m.opts.Decode = configuration.DecodeSnapshot
	}
	m.peers.configure(m.log.View())
	for _, a := range opts.Seeds {
		m.peers.hint(a)
	}
	return m
}

// Log returns the accepted log, for readers; it may change until the process
// is ready.
func (m *Machine) Log() *configuration.Log {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.log
}

// VMs returns the last read list of VMs, which must not be changed.
func (m *Machine) VMs() []currantturn.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.vms
}

// Configure does nothing: the machine itself puts configurations in force.
func (m *Machine) Configure(time.Time, *currantturn.View, *currantturn.Effects) {}

// Tick reads, spreads and catches up as the time demands.
func (m *Machine) Tick(now time.Time, out *currantturn.Effects) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastTick.IsZero() {
		m.start(now)
	} else if now.Sub(m.lastTick) > pauseAfter {
		m.resume(now)
	}
	m.lastTick = now
	m.forget(now)
	m.bucket.fill(now)
	m.tickReads(now, out)
	m.tickRounds(now, out)
	m.tickExchange(now, out)
	m.tickPull(now, out)
	m.tickDownload(now, out)
	m.judge(now, out)
}

func (m *Machine) start(now time.Time) {
	m.started = now
	m.nextExchange = now.Add(m.jitter(joinExchangeEvery))
	m.reads.start(m, now)
}

// resume treats what the process knew before a pause as stale.
func (m *Machine) resume(now time.Time) {
	m.ready = false
	m.refused = false
	m.confirmed = time.Time{}
	m.answered = m.answered[:0]
	m.troubled = time.Time{}
	m.nextExchange = now
	m.pull = pull{}
	m.heardAt = now
	m.reads.next = now.Add(m.jitter(m.spread(joinReadsPerSecond)))
}

// Handle takes a message from a peer.
func (m *Machine) Handle(now time.Time, from netip.AddrPort, msg currantturn.Message, out *currantturn.Effects) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bucket.fill(now)
	switch msg := msg.(type) {
	case Digest:
		m.onDigest(now, from, &msg, out)
	case Pull:
		m.onPull(now, from, &msg, out)
	case Part:
		m.onPart(now, from, &msg, out)
	case Fetch:
		m.onFetch(from, &msg, out)
	case Offer:
		m.onOffer(now, from, &msg, out)
	case Chunk:
		m.onChunk(now, from, &msg, out)
	}
	m.judge(now, out)
}

// accept appends a record; it returns whether the record agrees with the log.
func (m *Machine) accept(now time.Time, r *currantturn.Record, out *currantturn.Effects) bool {
	head := m.head().Position
	v, err := m.log.Append(r)
	if err != nil {
		before, _ := m.log.DigestAt(r.Position - 1)
		m.contradicted(r.Position, before.Chain(r), out)
		return false
	}
	if r.Position <= head {
		return true
	}
	if head == 0 {
		m.configured = now
	}
	m.report(now, r, v, out)
	m.hot = rounds
	m.nextRound = now
	m.hear(now, r.Position)
	delete(m.ahead, r.Position)
	m.publish(out)
	return true
}

func (m *Machine) report(now time.Time, r *currantturn.Record, v patch.Verdict, out *currantturn.Effects) {
	if v.Outcome == patch.Rejected {
		m.counters.RecordsRejected++
		out.Event(event.PatchRejected,
			event.F("position", r.Position), event.F("version", uint64(v.Version)),
			event.F("author", r.Author), event.F("reason", v.Err().Error()))
		return
	}
	m.counters.RecordsAccepted++
	out.Event(event.PatchAccepted,
		event.F("position", r.Position), event.F("version", uint64(v.Version)),
		event.F("author", r.Author), event.F("published", r.Time))
	out.Event(event.ConfigurationInForce,
		event.F("version", uint64(v.Version)), event.F("services", len(m.log.Current().Services)),
		event.F("digest", m.head().Digest.String()), event.F("delay", now.Sub(r.Time)))
}

// publish puts the newest configuration in force, once the process was ready.
func (m *Machine) publish(out *currantturn.Effects) {
	v := m.log.View()
	m.peers.configure(v)
	m.reads.choose = true
	if m.inForce == nil {
		m.keepEarly(v)
		return
	}
	if v.Version == m.inForce.Version { // a checkpoint beyond rejected records
		return
	}
	if v.Version < m.inForce.Version {
		out.Event(event.InvariantViolated,
			event.F("invariant", "configuration never goes back"), event.F("detail", uint64(v.Version)))
		return
	}
	m.inForce = v
	out.InForce = append(out.InForce, v)
}

// keepEarly holds the versions before the process is ready, because earlier
// owners of a request key are derived from them.
func (m *Machine) keepEarly(v *currantturn.View) {
	if n := len(m.early); n > 0 && m.early[n-1].Version >= v.Version {
		return
	}
	m.early = append(m.early, v)
	if len(m.early) > maxEarly {
		m.early = m.early[1:]
	}
}

// hear notes the highest position that anyone told of.
func (m *Machine) hear(now time.Time, position uint64) {
	if position >= m.heard {
		m.heard = position
		m.heardAt = now
	}
}

// forget gives up a position that its only holder took along.
func (m *Machine) forget(now time.Time) {
	if m.heard > m.head().Position && now.Sub(m.heardAt) > heardFor {
		m.heard = m.head().Position
	}
}

func (m *Machine) head() *patch.Configuration {
	return m.log.Current()
}

// contradicted reports once that a log differs from the accepted one.
func (m *Machine) contradicted(position uint64, got patch.Digest, out *currantturn.Effects) {
	m.counters.Contradictions++
	if m.diverged == got && m.divergedAt == position {
		return
	}
	m.diverged = got
	m.divergedAt = position
	want, _ := m.log.DigestAt(position)
	out.Event(event.ConfigurationDiverged,
		event.F("position", position), event.F("digest", got.String()), event.F("expected", want.String()))
}

// restart forgets a configuration that was never in force and contradicts the
// peers'; the platform's snapshot is not read again, peers give theirs.
func (m *Machine) restart(now time.Time) {
	m.log = configuration.NewLog(&patch.Configuration{})
	m.early = nil
	for i := range min(m.peers.size(), maxHints) {
		a, _ := m.peers.at(i)
		m.peers.hint(a)
	}
	m.peers.configure(m.log.View())
	m.contrary = nil
	m.answered = nil
	m.confirmed = time.Time{}
	m.pull = pull{}
	clear(m.ahead)
	m.reads.distrust(m, now)
}

// jitter returns a duration between 0 and d.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.random.Float64() * float64(d))
}

// around returns a duration between half and one and a half of d.
func (m *Machine) around(d time.Duration) time.Duration {
	return d/2 + m.jitter(d)
}

// spread returns the period in which each process of the fleet may read once.
func (m *Machine) spread(perSecond int) time.Duration {
	n := m.peers.size()
	if m.head().Position == 0 {
		n = max(n, m.opts.FleetSize)
	}
	return max(minSpread, time.Duration(n)*time.Second/time.Duration(perSecond))
}
