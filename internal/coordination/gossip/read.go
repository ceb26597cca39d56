package gossip

import (
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
)

// reads schedules the reads of the platform; one read of the log and one of
// the VM list wait at a time.
type reads struct {
	waiting    bool
	deadline   time.Time // gives up the waiting read
	next       time.Time
	watching   bool
	checked    bool // the last check agreed, so a watch may wait
	failures   int
	down       time.Time // since when the platform does not answer
	distrusted bool      // the snapshot contradicts the peers
	fromStart  bool      // there is no snapshot, so the log is read from its start
	choose     bool      // who watches may have changed
	chooseNext time.Time
	vmsNext    time.Time
}

func (r *reads) start(m *Machine, now time.Time) {
	r.next = now.Add(m.jitter(m.spread(joinReadsPerSecond)))
	r.vmsNext = now.Add(m.jitter(m.spread(vmReadsPerSecond)))
}

// distrust stops reads of the log until peers gave theirs.
func (r *reads) distrust(m *Machine, now time.Time) {
	r.distrusted = true
	r.next = now.Add(m.spread(directReadsPerSecond))
}

func (m *Machine) vmsEvery() time.Duration {
	return max(minVMsEvery, m.spread(vmReadsPerSecond))
}

func (m *Machine) tickReads(now time.Time, out *currantturn.Effects) {
	r := &m.reads
	if r.waiting && now.After(r.deadline) {
		m.failed(now, currantturn.ErrUnavailable, out)
	}
	m.readVMs(now, out)
	if r.choose && !now.Before(r.chooseNext) {
		m.chooseWatchers(now, out)
	}
	if r.waiting || now.Before(r.next) {
		return
	}
	head := m.head().Position
	switch {
	case head == 0 && r.fromStart:
		m.read(now, currantturn.Read{Kind: currantturn.ReadRecords}, out)
	case head == 0 && !r.distrusted:
		m.read(now, currantturn.Read{Kind: currantturn.ReadSnapshot}, out)
	case head == 0:
		r.next = now.Add(m.around(m.spread(directReadsPerSecond)))
	case r.watching && r.checked:
		m.read(now, currantturn.Read{Kind: currantturn.ReadRecords, After: head, Wait: watchWait}, out)
	case r.watching || !m.fresh(now):
		// The record at the head comes again and shows a stale or rewritten log.
		m.read(now, currantturn.Read{Kind: currantturn.ReadRecords, After: head - 1}, out)
	default:
		r.next = now.Add(m.jitter(m.spread(directReadsPerSecond)))
	}
}

func (m *Machine) read(now time.Time, r currantturn.Read, out *currantturn.Effects) {
	m.counters.Reads++
	m.reads.waiting = true
	m.reads.deadline = now.Add(r.Wait + readTimeout)
	out.Reads = append(out.Reads, r)
}

func (m *Machine) readVMs(now time.Time, out *currantturn.Effects) {
	if now.Before(m.reads.vmsNext) {
		return
	}
	m.reads.vmsNext = now.Add(m.around(m.vmsEvery()))
	m.counters.Reads++
	out.Reads = append(out.Reads, currantturn.Read{Kind: currantturn.ReadVMs})
}

// Completed takes the result of a read.
func (m *Machine) Completed(now time.Time, r *currantturn.ReadResult, out *currantturn.Effects) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.Read.Kind == currantturn.ReadVMs {
		m.tookVMs(now, r, out)
		return
	}
	m.reads.waiting = false
	if r.Err != nil {
		m.failed(now, r.Err, out)
		return
	}
	m.answeredBy(now, out)
	switch {
	case r.Read.Kind == currantturn.ReadSnapshot:
		m.tookSnapshot(now, r.Snapshot, out)
	case r.Read.Wait > 0:
		m.reads.checked = false // the next check takes what the watch announced
		m.reads.next = now
	default:
		m.tookRecords(now, r, out)
	}
	m.judge(now, out)
}

func (m *Machine) tookVMs(now time.Time, r *currantturn.ReadResult, out *currantturn.Effects) {
	if r.Err != nil {
		m.counters.ReadsFailed++
		return
	}
	m.vms = r.VMs
	m.peers.setVMs(r.VMs)
	m.reads.choose = true
}

func (m *Machine) tookSnapshot(now time.Time, p []byte, out *currantturn.Effects) {
	if len(p) == 0 {
		m.reads.fromStart = true
		return
	}
	if !m.restore(now, p, "platform", out) && m.head().Position == 0 {
		m.failed(now, currantturn.ErrMalformed, out)
		return
	}
	// Peers are asked first; those that find none fresh read the log.
	m.reads.next = now.Add(joinWait/2 + m.jitter(m.spread(joinReadsPerSecond)))
	m.nextExchange = now
	m.chooseWatchers(now, out)
}

// tookRecords appends what follows the head, after the record at the head
// showed that the log is the accepted one.
func (m *Machine) tookRecords(now time.Time, r *currantturn.ReadResult, out *currantturn.Effects) {
	m.reads.next = now.Add(m.around(m.spread(directReadsPerSecond)))
	if len(r.Records) == 0 || r.Records[0].Position != r.Read.After+1 {
		m.wentStale(now, r.Read.After, out)
		return
	}
	if head := m.head().Position; head > 0 && r.Records[0].Position > head {
		return // the read began before a restart and shows nothing of the own log
	}
	if m.reads.distrusted && m.inForce == nil {
		m.trouble(now)
		return // peers contradicted the platform; their log comes first
	}
	for i := range r.Records {
		if r.Records[i].Position > m.head().Position+1 {
			break
		}
		if !m.accept(now, &r.Records[i], out) {
			m.trouble(now)
			return
		}
	}
	m.stale = false
	if len(r.Records) > 1 || m.head().Position > r.Read.After+1 {
		m.reads.next = now // an answer is bounded, so there may be more
		return
	}
	m.confirm(now, m.head().Position)
	if m.reads.watching {
		m.reads.checked = true
		m.reads.next = now
	}
}

func (m *Machine) wentStale(now time.Time, position uint64, out *currantturn.Effects) {
	m.counters.StaleReads++
	m.trouble(now)
	m.reads.checked = false
	m.reads.next = now.Add(m.around(m.reads.delay(m)))
	if m.stale || m.head().Position == 0 {
		return
	}
	m.stale = true
	out.Event(event.ConfigurationStale, event.F("position", position), event.F("expected", m.head().Position))
}

func (r *reads) delay(m *Machine) time.Duration {
	if r.watching {
		return maxBackoff / 2
	}
	return m.spread(directReadsPerSecond)
}

func (m *Machine) trouble(now time.Time) {
	if m.troubled.IsZero() {
		m.troubled = now
	}
}

// failed backs off with jitter; only watchers come back sooner than the spread.
func (m *Machine) failed(now time.Time, err error, out *currantturn.Effects) {
	r := &m.reads
	m.counters.ReadsFailed++
	r.waiting = false
	r.checked = false
	m.trouble(now)
	d := min(maxBackoff, minBackoff<<min(r.failures, 5))
	r.failures++
	if !r.watching {
		d = max(d, m.spread(directReadsPerSecond))
	}
	r.next = now.Add(m.around(d))
	if r.down.IsZero() {
		r.down = now
		out.Event(event.PlatformUnavailable, event.F("error", err.Error()))
	}
}

func (m *Machine) answeredBy(now time.Time, out *currantturn.Effects) {
	r := &m.reads
	r.failures = 0
	if !r.down.IsZero() {
		out.Event(event.PlatformAvailable, event.F("outage", now.Sub(r.down)))
		r.down = time.Time{}
	}
}

// chooseWatchers decides anew whether this process watches the platform.
func (m *Machine) chooseWatchers(now time.Time, out *currantturn.Effects) {
	m.reads.choose = false
	m.reads.chooseNext = now.Add(chooseEvery)
	watches := m.head().Position > 0 && m.peers.watches()
	if watches == m.reads.watching {
		return
	}
	m.reads.watching = watches
	number := event.WatcherReleased
	if watches {
		number = event.WatcherSelected
		m.reads.checked = false
		m.reads.next = now
	}
	out.Event(number, event.F("failure_domain", string(m.opts.Domain)))
}
