package gossip

import (
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
)

// readSchedule schedules the reads from the platform. At most one read of the
// log or snapshot is in flight; reads of the VM list are independent of it.
type readSchedule struct {
	inFlight           bool
	deadline           time.Time // when the read in flight times out
	nextRead           time.Time
	watching           bool      // this process is a watcher
	verified           bool      // the last read agreed with the log, so a watch may follow
	failures           int       // consecutive failed reads
	unavailableSince   time.Time // when the platform became unavailable, zero while available
	snapshotDistrusted bool      // the snapshot contradicts the peers
	noSnapshot         bool      // the platform has no snapshot, so the log is read from its start
	watcherUpdateDue   bool      // the set of watchers may have changed
	nextWatcherUpdate  time.Time
	nextVMRead         time.Time
}

// start schedules the first reads with jitter.
func (r *readSchedule) start(m *Machine, now time.Time) {
	r.nextRead = now.Add(m.jitter(m.readPeriod(joinReadsPerSecond)))
	r.nextVMRead = now.Add(m.jitter(m.readPeriod(vmReadsPerSecond)))
}

// distrustSnapshot stops reads of the snapshot and the log until peers have sent
// their configuration.
func (r *readSchedule) distrustSnapshot(m *Machine, now time.Time) {
	r.snapshotDistrusted = true
	r.nextRead = now.Add(m.readPeriod(directReadsPerSecond))
}

// vmReadInterval returns the mean period between reads of the VM list.
func (m *Machine) vmReadInterval() time.Duration {
	return max(minVMReadInterval, m.readPeriod(vmReadsPerSecond))
}

// tickReads starts the reads that are due. Without a configuration it reads the
// snapshot. A watcher alternates between reading the log and watching it; any
// other process reads the log only without a recent confirmation.
func (m *Machine) tickReads(now time.Time, out *currantturn.Effects) {
	r := &m.reads
	if r.inFlight && now.After(r.deadline) {
		m.onReadFailed(now, currantturn.ErrUnavailable, out)
	}
	m.readVMs(now, out)
	if r.watcherUpdateDue && !now.Before(r.nextWatcherUpdate) {
		m.updateWatching(now, out)
	}
	if r.inFlight || now.Before(r.nextRead) {
		return
	}
	head := m.head().Position
	switch {
	case head == 0 && r.noSnapshot:
		m.startRead(now, currantturn.Read{Kind: currantturn.ReadRecords}, out)
	case head == 0 && !r.snapshotDistrusted:
		m.startRead(now, currantturn.Read{Kind: currantturn.ReadSnapshot}, out)
	case head == 0:
		r.nextRead = now.Add(m.jitterAround(m.readPeriod(directReadsPerSecond)))
	case r.watching && r.verified:
		m.startRead(now, currantturn.Read{Kind: currantturn.ReadRecords, After: head, Wait: watchWait}, out)
	case r.watching || !m.recentlyConfirmed(now):
		// Reading the head record again detects a stale or rewritten log.
		m.startRead(now, currantturn.Read{Kind: currantturn.ReadRecords, After: head - 1}, out)
	default:
		r.nextRead = now.Add(m.jitter(m.readPeriod(directReadsPerSecond)))
	}
}

// startRead starts a read of the snapshot or the log.
func (m *Machine) startRead(now time.Time, r currantturn.Read, out *currantturn.Effects) {
	m.counters.Reads++
	m.reads.inFlight = true
	m.reads.deadline = now.Add(r.Wait + readTimeout)
	out.Reads = append(out.Reads, r)
}

// readVMs starts a read of the VM list when one is due.
func (m *Machine) readVMs(now time.Time, out *currantturn.Effects) {
	if now.Before(m.reads.nextVMRead) {
		return
	}
	m.reads.nextVMRead = now.Add(m.jitterAround(m.vmReadInterval()))
	m.counters.Reads++
	out.Reads = append(out.Reads, currantturn.Read{Kind: currantturn.ReadVMs})
}

// ReadCompleted processes the result of a read.
func (m *Machine) ReadCompleted(now time.Time, r *currantturn.ReadResult, out *currantturn.Effects) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.Read.Kind == currantturn.ReadVMs {
		m.onVMs(now, r, out)
		return
	}
	m.reads.inFlight = false
	if r.Err != nil {
		m.onReadFailed(now, r.Err, out)
		return
	}
	m.onReadSucceeded(now, out)
	switch {
	case r.Read.Kind == currantturn.ReadSnapshot:
		m.onSnapshot(now, r.Snapshot, out)
	case r.Read.Wait > 0:
		m.reads.verified = false // the next read fetches the records that ended the watch
		m.reads.nextRead = now
	default:
		m.onRecords(now, r, out)
	}
	m.updateReady(now, out)
}

// onVMs replaces the VM list, and keeps the present one after a failed read.
func (m *Machine) onVMs(now time.Time, r *currantturn.ReadResult, out *currantturn.Effects) {
	if r.Err != nil {
		m.counters.ReadsFailed++
		return
	}
	m.vms = r.VMs
	m.peers.setVMs(r.VMs)
	m.reads.watcherUpdateDue = true
}

// onSnapshot restores the snapshot, or schedules a read of the whole log if there
// is none.
func (m *Machine) onSnapshot(now time.Time, snapshot []byte, out *currantturn.Effects) {
	if len(snapshot) == 0 {
		m.reads.noSnapshot = true
		return
	}
	if !m.restore(now, snapshot, "platform", out) && m.head().Position == 0 {
		m.onReadFailed(now, currantturn.ErrMalformed, out)
		return
	}
	// Peers come first: the log is read only if none sends a recent confirmation.
	m.reads.nextRead = now.Add(joinWait/2 + m.jitter(m.readPeriod(joinReadsPerSecond)))
	m.nextExchange = now
	m.updateWatching(now, out)
}

// onRecords appends the records after the head. The first record read is the one
// at the head, which must agree with the accepted log.
func (m *Machine) onRecords(now time.Time, r *currantturn.ReadResult, out *currantturn.Effects) {
	m.reads.nextRead = now.Add(m.jitterAround(m.readPeriod(directReadsPerSecond)))
	if len(r.Records) == 0 || r.Records[0].Position != r.Read.After+1 {
		m.onStaleRead(now, r.Read.After, out)
		return
	}
	if head := m.head().Position; head > 0 && r.Records[0].Position > head {
		return // the read started before discardLog and does not match the present log
	}
	if m.reads.snapshotDistrusted && m.inForce == nil {
		m.noteBadRead(now)
		return // peers contradicted the platform, so their log takes precedence
	}
	for i := range r.Records {
		if r.Records[i].Position > m.head().Position+1 {
			break
		}
		if !m.appendRecord(now, &r.Records[i], out) {
			m.noteBadRead(now)
			return
		}
	}
	m.platformStale = false
	if len(r.Records) > 1 || m.head().Position > r.Read.After+1 {
		m.reads.nextRead = now // a reply is limited in size, so there may be more records
		return
	}
	m.raiseConfirmed(now, m.head().Position)
	if m.reads.watching {
		m.reads.verified = true
		m.reads.nextRead = now
	}
}

// onStaleRead handles a log that ends before the head. It reports this once, and
// again only after a read that agreed with the log.
func (m *Machine) onStaleRead(now time.Time, position uint64, out *currantturn.Effects) {
	m.counters.StaleReads++
	m.noteBadRead(now)
	m.reads.verified = false
	m.reads.nextRead = now.Add(m.jitterAround(m.reads.staleRetryDelay(m)))
	if m.platformStale || m.head().Position == 0 {
		return
	}
	m.platformStale = true
	out.Event(event.ConfigurationStale, event.F("position", position), event.F("expected", m.head().Position))
}

// staleRetryDelay returns the mean delay after a stale read.
func (r *readSchedule) staleRetryDelay(m *Machine) time.Duration {
	if r.watching {
		return maxBackoff / 2
	}
	return m.readPeriod(directReadsPerSecond)
}

// noteBadRead records the time of the first unusable read.
func (m *Machine) noteBadRead(now time.Time) {
	if m.firstBadReadAt.IsZero() {
		m.firstBadReadAt = now
	}
}

// onReadFailed schedules a retry with exponential backoff and jitter. Only
// watchers may retry sooner than the read period of all processes.
func (m *Machine) onReadFailed(now time.Time, err error, out *currantturn.Effects) {
	r := &m.reads
	m.counters.ReadsFailed++
	r.inFlight = false
	r.verified = false
	m.noteBadRead(now)
	d := min(maxBackoff, minBackoff<<min(r.failures, 5))
	r.failures++
	if !r.watching {
		d = max(d, m.readPeriod(directReadsPerSecond))
	}
	r.nextRead = now.Add(m.jitterAround(d))
	if r.unavailableSince.IsZero() {
		r.unavailableSince = now
		out.Event(event.PlatformUnavailable, event.F("error", err.Error()))
	}
}

// onReadSucceeded resets the backoff and reports the end of an outage.
func (m *Machine) onReadSucceeded(now time.Time, out *currantturn.Effects) {
	r := &m.reads
	r.failures = 0
	if !r.unavailableSince.IsZero() {
		out.Event(event.PlatformAvailable, event.F("outage", now.Sub(r.unavailableSince)))
		r.unavailableSince = time.Time{}
	}
}

// updateWatching decides again whether this process is a watcher.
func (m *Machine) updateWatching(now time.Time, out *currantturn.Effects) {
	m.reads.watcherUpdateDue = false
	m.reads.nextWatcherUpdate = now.Add(watcherUpdateInterval)
	watching := m.head().Position > 0 && m.peers.isWatcher()
	if watching == m.reads.watching {
		return
	}
	m.reads.watching = watching
	eventNumber := event.WatcherReleased
	if watching {
		eventNumber = event.WatcherSelected
		m.reads.verified = false
		m.reads.nextRead = now
	}
	out.Event(eventNumber, event.F("failure_domain", string(m.opts.Domain)))
}
