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
	ErrDiverged = errors.New("log contradicts the accepted one")
	// ErrLower reports a configuration below the one in force.
	ErrLower = errors.New("configuration is lower than the one in force")
	// ErrGap reports a record beyond the next position.
	ErrGap = errors.New("records are missing")
)

// Entry is one folded record with its verdict.
type Entry struct {
	Record  currantturn.Record
	Digest  patch.Digest
	Verdict patch.Verdict
}

// Checkpoint is an encoded configuration that peers hand to joiners.
type Checkpoint struct {
	Position uint64
	Sum      patch.Digest // of the bytes
	Bytes    []byte
}

// Log is the accepted log of one process; it never goes back. It is safe for
// concurrent use.
type Log struct {
	mu      sync.RWMutex
	current *patch.Configuration
	view    *currantturn.View
	entries []Entry // the newest, in order of position
	bytes   int     // of the entries' patches
	base    *patch.Configuration
	encoded *Checkpoint // of base, made when first asked for
}

// NewLog returns a log that starts from a configuration.
func NewLog(start *patch.Configuration) *Log {
	return &Log{current: start, base: start, view: start.View()}
}

// Current returns the configuration at the head of the log.
func (l *Log) Current() *patch.Configuration {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.current
}

// View returns the configuration in force, indexed.
func (l *Log) View() *currantturn.View {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.view
}

// Append folds the next record. A known record gives its verdict again; it
// reports ErrDiverged for a record that contradicts the log, ErrGap for one
// beyond the next position.
func (l *Log) Append(r *currantturn.Record) (patch.Verdict, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Position <= l.current.Position {
		return l.compare(r)
	}
	next, v, err := l.current.Next(r)
	if err != nil {
		return v, eris.Wrapf(ErrGap, "position %d after %d", r.Position, l.current.Position)
	}
	if next.Version < l.current.Version {
		return v, eris.Wrapf(ErrLower, "version %d after %d", next.Version, l.current.Version)
	}
	if next.Version != l.current.Version {
		l.view = next.View()
	}
	l.current = next
	l.retain(Entry{Record: *r, Digest: next.Digest, Verdict: v})
	return v, nil
}

// compare checks a known record against the chain.
func (l *Log) compare(r *currantturn.Record) (patch.Verdict, error) {
	after, known := l.current.DigestAt(r.Position)
	before, ok := l.current.DigestAt(r.Position - 1)
	if known && ok && before.Chain(r) != after {
		return patch.Verdict{}, eris.Wrapf(ErrDiverged, "record at position %d", r.Position)
	}
	if e := l.entry(r.Position); e != nil {
		return e.Verdict, nil
	}
	return patch.Verdict{}, nil // older than what is held
}

func (l *Log) retain(e Entry) {
	l.entries = append(l.entries, e)
	l.bytes += len(e.Record.Patch)
	for len(l.entries) > RetainedRecords || l.bytes > RetainedBytes {
		l.bytes -= len(l.entries[0].Record.Patch)
		l.entries = l.entries[1:]
	}
	if l.current.Position%CheckpointEvery == 0 {
		l.base = l.current
		l.encoded = nil
	}
}

func (l *Log) entry(position uint64) *Entry {
	if len(l.entries) == 0 || position < l.entries[0].Record.Position || position > l.current.Position {
		return nil
	}
	return &l.entries[position-l.entries[0].Record.Position]
}

// Entry returns the folded record at a position, if it is still held.
func (l *Log) Entry(position uint64) (Entry, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if e := l.entry(position); e != nil {
		return *e, true
	}
	return Entry{}, false
}

// Entries returns the held records, the oldest first.
func (l *Log) Entries() []Entry {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return append([]Entry(nil), l.entries...)
}

// DigestAt returns the chain digest at a position, if it is still known.
func (l *Log) DigestAt(position uint64) (patch.Digest, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.current.DigestAt(position)
}

// Restore takes a later configuration from a snapshot or checkpoint; it
// reports ErrLower for one that is not later, ErrDiverged for one whose past
// contradicts the log.
func (l *Log) Restore(c *patch.Configuration) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.Position <= l.current.Position || c.Version < l.current.Version {
		return eris.Wrapf(ErrLower, "version %d at position %d", c.Version, c.Position)
	}
	if !c.Follows(l.current) {
		return eris.Wrapf(ErrDiverged, "snapshot at position %d", c.Position)
	}
	l.current, l.base = c, c
	l.encoded = nil
	l.entries = nil
	l.bytes = 0
	l.view = c.View()
	return nil
}

// Checkpoint returns the newest checkpoint; the records after it are held.
func (l *Log) Checkpoint() (*Checkpoint, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.encoded != nil {
		return l.encoded, nil
	}
	p, err := EncodeSnapshot(l.base)
	if err != nil {
		return nil, err
	}
	l.encoded = &Checkpoint{Position: l.base.Position, Sum: SumOf(p), Bytes: p}
	return l.encoded, nil
}

// SumOf returns the digest of a checkpoint's bytes.
func SumOf(p []byte) patch.Digest {
	h := sha256.Sum256(p)
	return patch.Digest(h[:patch.DigestBytes])
}
