package audit

import (
	"encoding/json"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/currantturn/currantturn"
)

// Trail keeps the newest entries in a ring buffer and writes each step as a JSON
// line.
type Trail struct {
	mu      sync.Mutex
	out     io.Writer
	process string
	ring    []Entry
	next    int // index in ring of the next entry
	full    bool
}

// NewTrail returns an empty trail of a process. If out is nil, no lines are
// written.
func NewTrail(out io.Writer, process string, capacity int) *Trail {
	return &Trail{out: out, process: process, ring: make([]Entry, max(capacity, 1))}
}

// RecordSeen adds an entry for a published record that this process received. It
// does nothing if there is an entry already.
func (t *Trail) RecordSeen(now time.Time, r *currantturn.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.find(r.Position) != nil {
		return
	}
	e := &t.ring[t.next]
	*e = Entry{Position: r.Position, Author: truncate(r.Author), Published: r.Time, Seen: now, Verdict: Pending}
	t.next++
	if t.next == len(t.ring) {
		t.next = 0
		t.full = true
	}
	t.writeLine(now, StepSeen, e)
}

// RecordVerdict adds the verdict to the entry of a record. Only the first verdict
// counts.
func (t *Trail) RecordVerdict(now time.Time, result *Evaluation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.find(result.Position)
	if e == nil || e.Verdict != Pending {
		return
	}
	e.Verdict = Rejected
	if result.Accepted {
		e.Verdict = Accepted
	}
	e.Reason, e.Version, e.Digest = truncate(result.Reason), result.Version, result.Digest
	t.writeLine(now, StepJudged, e)
}

// RecordInForce marks every accepted record up to version v as in force in this
// process.
func (t *Trail) RecordInForce(now time.Time, v currantturn.Version) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.each(func(e *Entry) {
		if e.Verdict == Accepted && e.Version <= v && e.InForce.IsZero() {
			e.InForce = now
			t.writeLine(now, StepInForce, e)
		}
	})
}

// Entries returns the newest entries, at most limit, the newest last.
func (t *Trail) Entries(limit int) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Entry, 0, len(t.ring))
	t.each(func(e *Entry) { all = append(all, *e) })
	return all[max(0, len(all)-max(limit, 0)):]
}

// each calls visit for the entries from the oldest to the newest.
func (t *Trail) each(visit func(*Entry)) {
	if t.full {
		for i := t.next; i < len(t.ring); i++ {
			visit(&t.ring[i])
		}
	}
	for i := range t.next {
		visit(&t.ring[i])
	}
}

func (t *Trail) find(position uint64) *Entry {
	var found *Entry
	t.each(func(e *Entry) {
		if e.Position == position {
			found = e
		}
	})
	return found
}

// stepLine is the JSON form of a step.
type stepLine struct {
	Time    time.Time `json:"time"`
	Process string    `json:"process"`
	Audit   Step      `json:"audit"`
	*Entry
}

// writeLine writes a step as a JSON line. It ignores errors: the entries in memory
// remain complete without the line.
func (t *Trail) writeLine(now time.Time, step Step, e *Entry) {
	if t.out == nil {
		return
	}
	p, err := json.Marshal(stepLine{Time: now, Process: t.process, Audit: step, Entry: e})
	if err == nil {
		_, _ = t.out.Write(append(p, '\n'))
	}
}

// truncate cuts s to maxTextBytes at a character boundary.
func truncate(s string) string {
	if len(s) <= maxTextBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxTextBytes], "")
}
