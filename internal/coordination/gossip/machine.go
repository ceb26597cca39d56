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

// Options are the dependencies and settings of a Machine.
type Options struct {
	Self      netip.AddrPort // link address of this process
	Domain    currantturn.FailureDomain
	Random    *rand.Rand
	Seeds     []netip.AddrPort // peers to contact before a configuration is known
	FleetSize int              // expected number of processes, used until a configuration is known
	// Decode decodes a snapshot; nil means configuration.DecodeSnapshot.
	Decode func([]byte) (*patch.Configuration, error)
}

// Machine decides what to read from the platform and what to send to peers. It
// is safe for concurrent use.
type Machine struct {
	mu       sync.Mutex
	opts     Options
	random   *rand.Rand
	log      *configuration.Log
	peers    peers
	vms      []currantturn.VM
	counters Counters

	lastTick         time.Time
	startedAt        time.Time
	configuredAt     time.Time // when the first record was appended or a configuration last restored
	confirmedAt      time.Time // latest time at which the platform held nothing beyond the head
	highestKnown     uint64    // highest position reported by a peer or the platform
	highestKnownAt   time.Time // when highestKnown was last reported
	ready            bool
	inForce          *currantturn.View   // last version put in force, nil before the process was first ready
	viewsBeforeReady []*currantturn.View // versions accepted before that, in order
	refusalReported  bool                // the current refusal to become ready was reported
	agreeingPeers    []netip.AddrPort    // peers with the same log since the start or the last pause
	firstBadReadAt   time.Time           // first failed, stale or contradicting read since the start or the last pause

	roundsLeft   int // digest rounds left after the last new record
	nextRound    time.Time
	nextExchange time.Time
	bucket       tokenBucket
	pull         pull
	parts        recordAssembly            // of the record after the head
	pending      map[uint64]*chainedRecord // received records beyond the head, by position
	download     download

	reads              readSchedule
	platformStale      bool             // a stale read was reported and no read has agreed with the log since
	contradictingPeers []netip.AddrPort // peers that contradict a log that was never in force

	reportedDivergence         patch.Digest // last contradicting digest reported
	reportedDivergencePosition uint64
}

// New returns a machine with the empty configuration.
func New(opts Options) *Machine {
	m := &Machine{
		opts:    opts,
		random:  opts.Random,
		log:     configuration.NewLog(&patch.Configuration{}),
		peers:   peers{self: opts.Self, domain: opts.Domain},
		pending: make(map[uint64]*chainedRecord),
	}
	if m.opts.Decode == nil {
		m.opts.Decode = configuration.DecodeSnapshot
	}
	m.peers.setView(m.log.View())
	for _, a := range opts.Seeds {
		m.peers.addLearned(a)
	}
	return m
}

// Log returns the accepted log for reading. The machine may replace the log by
// another until it is first ready.
func (m *Machine) Log() *configuration.Log {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.log
}

// VMs returns the VM list that was last read; callers must not modify it.
func (m *Machine) VMs() []currantturn.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.vms
}

// Configure does nothing, because the machine itself puts configurations in force.
func (m *Machine) Configure(time.Time, *currantturn.View, *currantturn.Effects) {}

// Tick performs all time-driven actions: platform reads, digests, pulls,
// downloads, and the change to ready.
func (m *Machine) Tick(now time.Time, out *currantturn.Effects) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastTick.IsZero() {
		m.start(now)
	} else if now.Sub(m.lastTick) > pauseThreshold {
		m.resumeAfterPause(now)
	}
	m.lastTick = now
	m.expireHighestKnown(now)
	m.bucket.refill(now)
	m.tickReads(now, out)
	m.tickRounds(now, out)
	m.tickExchange(now, out)
	m.tickPull(now, out)
	m.tickDownload(now, out)
	m.updateReady(now, out)
}

// start schedules the first reads and the first digest exchange.
func (m *Machine) start(now time.Time) {
	m.startedAt = now
	m.nextExchange = now.Add(m.jitter(joinExchangeInterval))
	m.reads.start(m, now)
}

// resumeAfterPause makes the process unready until it has caught up again,
// because its state may be outdated after a pause.
func (m *Machine) resumeAfterPause(now time.Time) {
	m.ready = false
	m.refusalReported = false
	m.confirmedAt = time.Time{}
	m.agreeingPeers = m.agreeingPeers[:0]
	m.firstBadReadAt = time.Time{}
	m.nextExchange = now
	m.pull = pull{}
	m.highestKnownAt = now
	m.reads.nextRead = now.Add(m.jitter(m.readPeriod(joinReadsPerSecond)))
}

// Handle processes a message from a peer.
func (m *Machine) Handle(now time.Time, from netip.AddrPort, msg currantturn.Message, out *currantturn.Effects) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bucket.refill(now)
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
	m.updateReady(now, out)
}

// appendRecord appends a record unless the log already has it. It returns
// whether the record agrees with the log.
func (m *Machine) appendRecord(now time.Time, r *currantturn.Record, out *currantturn.Effects) bool {
	head := m.head().Position
	v, err := m.log.Append(r)
	if err != nil {
		before, _ := m.log.DigestAt(r.Position - 1)
		m.reportDivergence(r.Position, before.Chain(r), out)
		return false
	}
	if r.Position <= head {
		return true
	}
	if head == 0 {
		m.configuredAt = now
	}
	m.reportVerdict(now, r, v, out)
	m.roundsLeft = roundsPerRecord
	m.nextRound = now
	m.raiseHighestKnown(now, r.Position)
	delete(m.pending, r.Position)
	m.putInForce(out)
	return true
}

// reportVerdict counts a new record and reports whether it was accepted.
func (m *Machine) reportVerdict(now time.Time, r *currantturn.Record, v patch.Verdict, out *currantturn.Effects) {
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

// putInForce puts the newest configuration in force, or retains it if the
// process has not been ready yet.
func (m *Machine) putInForce(out *currantturn.Effects) {
	v := m.log.View()
	m.peers.setView(v)
	m.reads.watcherUpdateDue = true
	if m.inForce == nil {
		m.retainBeforeReady(v)
		return
	}
	if v.Version == m.inForce.Version { // the checkpoint only adds rejected records
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

// retainBeforeReady retains a version until the process is ready. They all come
// in force then, because earlier owners of a request key are derived from them.
func (m *Machine) retainBeforeReady(v *currantturn.View) {
	if n := len(m.viewsBeforeReady); n > 0 && m.viewsBeforeReady[n-1].Version >= v.Version {
		return
	}
	m.viewsBeforeReady = append(m.viewsBeforeReady, v)
	if len(m.viewsBeforeReady) > maxViewsBeforeReady {
		m.viewsBeforeReady = m.viewsBeforeReady[1:]
	}
}

// raiseHighestKnown records a reported position if none higher was reported.
func (m *Machine) raiseHighestKnown(now time.Time, position uint64) {
	if position >= m.highestKnown {
		m.highestKnown = position
		m.highestKnownAt = now
	}
}

// expireHighestKnown drops a reported position beyond the head that is no longer
// reported: the only process that had the records may be gone.
func (m *Machine) expireHighestKnown(now time.Time) {
	if m.highestKnown > m.head().Position && now.Sub(m.highestKnownAt) > highestKnownTTL {
		m.highestKnown = m.head().Position
	}
}

// head returns the configuration at the head of the log.
func (m *Machine) head() *patch.Configuration {
	return m.log.Current()
}

// reportDivergence counts a digest that contradicts the accepted log, and reports
// it unless it was the last one reported.
func (m *Machine) reportDivergence(position uint64, got patch.Digest, out *currantturn.Effects) {
	m.counters.Contradictions++
	if m.reportedDivergence == got && m.reportedDivergencePosition == position {
		return
	}
	m.reportedDivergence = got
	m.reportedDivergencePosition = position
	want, _ := m.log.DigestAt(position)
	out.Event(event.ConfigurationDiverged,
		event.F("position", position), event.F("digest", got.String()), event.F("expected", want.String()))
}

// discardLog drops a configuration that was never in force and contradicts that
// of the peers. The configuration then comes from the peers; the platform's
// snapshot is not read again.
func (m *Machine) discardLog(now time.Time) {
	m.log = configuration.NewLog(&patch.Configuration{})
	m.viewsBeforeReady = nil
	for i := range min(m.peers.size(), maxLearnedPeers) {
		a, _ := m.peers.at(i)
		m.peers.addLearned(a)
	}
	m.peers.setView(m.log.View())
	m.contradictingPeers = nil
	m.agreeingPeers = nil
	m.confirmedAt = time.Time{}
	m.pull = pull{}
	clear(m.pending)
	m.reads.distrustSnapshot(m, now)
}

// jitter returns a random duration between 0 and d.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.random.Float64() * float64(d))
}

// jitterAround returns a random duration between 0.5 d and 1.5 d.
func (m *Machine) jitterAround(d time.Duration) time.Duration {
	return d/2 + m.jitter(d)
}

// readPeriod returns the period in which each process may read once, so that all
// processes together make at most perSecond reads per second.
func (m *Machine) readPeriod(perSecond int) time.Duration {
	n := m.peers.size()
	if m.head().Position == 0 {
		n = max(n, m.opts.FleetSize)
	}
	return max(minReadPeriod, time.Duration(n)*time.Second/time.Duration(perSecond))
}
