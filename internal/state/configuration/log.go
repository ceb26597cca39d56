package configuration

import (
	"crypto/sha256"
	"errors"
	"sync"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/pkg/patch"
	"github.com/rotisserie/eris"
)

// Sentinel errors of the log.
var (
	// ErrDiverged reports a record or digest that contradicts the accepted log.
	ErrDiverged = errors.New("record or digest contradicts the accepted log")
	// ErrNotNewer reports a configuration that is not newer than the current one.
	ErrNotNewer = errors.New("configuration is not newer than the current one")
	// ErrGap reports a record beyond the next position.
	ErrGap = errors.New("earlier records are missing")
)

// Entry is an applied record with its verdict.
type Entry struct {
	Record  currantturn.Record
	Digest  patch.Digest // of the log up to and including the record
	Verdict patch.Verdict
}

// Checkpoint is an encoded configuration that peers send to joining processes.
type Checkpoint struct {
	Position uint64
	Sum      patch.Digest // of Bytes
	Bytes    []byte
}

// Log is the accepted log of one process. Its position and version never
// decrease. It is safe for concurrent use.
type Log struct {
	mu               sync.RWMutex
	current          *patch.Configuration // at the newest position
	view             *currantturn.View    // of current
	entries          []Entry              // the newest, in order of position
	patchBytes       int                  // total size of the entries' patches
	checkpointConfig *patch.Configuration // at the newest checkpoint, or at the start of the log
	checkpoint       *Checkpoint          // encoded checkpointConfig, or nil until it is requested
}

// NewLog returns a log that starts with a configuration.
func NewLog(start *patch.Configuration) *Log {
	return &Log{current: start, checkpointConfig: start, view: start.View()}
}

// Current returns the configuration at the newest position.
func (l *Log) Current() *patch.Configuration {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.current
}

// View returns an indexed view of the configuration in force.
func (l *Log) View() *currantturn.View {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.view
}

// Append applies the next record and returns its verdict. For a record that was
// applied before, it returns the same verdict again, or a zero one if the record
// is no longer kept. It returns ErrDiverged for a record that contradicts the
// log, ErrGap for one beyond the next position and ErrNotNewer for one that would
// lower the version.
func (l *Log) Append(r *currantturn.Record) (patch.Verdict, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Position <= l.current.Position {
		return l.checkApplied(r)
	}
	next, v, err := l.current.Next(r)
	if err != nil {
		return v, eris.Wrapf(ErrGap, "got position %d after position %d", r.Position, l.current.Position)
	}
	if next.Version < l.current.Version {
		return v, eris.Wrapf(ErrNotNewer, "got version %d after version %d", next.Version, l.current.Version)
	}
	if next.Version != l.current.Version {
		l.view = next.View()
	}
	l.current = next
	l.retain(Entry{Record: *r, Digest: next.Digest, Verdict: v})
	return v, nil
}

// checkApplied checks a record at an earlier position against the digest chain
// and returns its verdict.
func (l *Log) checkApplied(r *currantturn.Record) (patch.Verdict, error) {
	after, hasAfter := l.current.DigestAt(r.Position)
	before, hasBefore := l.current.DigestAt(r.Position - 1)
	if hasAfter && hasBefore && before.Chain(r) != after {
		return patch.Verdict{}, eris.Wrapf(ErrDiverged, "record at position %d", r.Position)
	}
	if e := l.entry(r.Position); e != nil {
		return e.Verdict, nil
	}
	return patch.Verdict{}, nil // older than the kept records
}

// retain adds an entry, drops the oldest ones above the limits and moves the
// checkpoint if it is due.
func (l *Log) retain(e Entry) {
	l.entries = append(l.entries, e)
	l.patchBytes += len(e.Record.Patch)
	for len(l.entries) > RetainedRecords || l.patchBytes > RetainedBytes {
		l.patchBytes -= len(l.entries[0].Record.Patch)
		l.entries = l.entries[1:]
	}
	if l.current.Position%CheckpointEvery == 0 {
		l.checkpointConfig = l.current
		l.checkpoint = nil
	}
}

// entry returns the entry at a position, or nil if it is not kept.
func (l *Log) entry(position uint64) *Entry {
	if len(l.entries) == 0 || position < l.entries[0].Record.Position || position > l.current.Position {
		return nil
	}
	return &l.entries[position-l.entries[0].Record.Position]
}

// Entry returns the applied record at a position, if it is still kept.
func (l *Log) Entry(position uint64) (Entry, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if e := l.entry(position); e != nil {
		return *e, true
	}
	return Entry{}, false
}

// Entries returns the kept records, the oldest first.
func (l *Log) Entries() []Entry {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return append([]Entry(nil), l.entries...)
}

// DigestAt returns the digest of the log up to a position, if it is still kept.
func (l *Log) DigestAt(position uint64) (patch.Digest, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.current.DigestAt(position)
}

// Restore replaces the log by a later configuration from a snapshot or
// checkpoint. It returns ErrNotNewer for one that is not later and ErrDiverged
// for one whose digests contradict the log.
func (l *Log) Restore(c *patch.Configuration) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.Position <= l.current.Position || c.Version < l.current.Version {
		return eris.Wrapf(ErrNotNewer, "got version %d at position %d", c.Version, c.Position)
	}
	if !c.Follows(l.current) {
		return eris.Wrapf(ErrDiverged, "snapshot at position %d", c.Position)
	}
	l.current, l.checkpointConfig = c, c
	l.checkpoint = nil
	l.entries = nil
	l.patchBytes = 0
	l.view = c.View()
	return nil
}

// Checkpoint returns the newest checkpoint. The records after it are kept.
func (l *Log) Checkpoint() (*Checkpoint, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.checkpoint != nil {
		return l.checkpoint, nil
	}
	p, err := EncodeSnapshot(l.checkpointConfig)
	if err != nil {
		return nil, err
	}
	l.checkpoint = &Checkpoint{Position: l.checkpointConfig.Position, Sum: SumOf(p), Bytes: p}
	return l.checkpoint, nil
}

// SumOf returns the digest of a checkpoint's encoded bytes.
func SumOf(p []byte) patch.Digest {
	h := sha256.Sum256(p)
	return patch.Digest(h[:patch.DigestBytes])
}
