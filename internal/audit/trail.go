package audit

import (
	"encoding/json"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/currantturn/currantturn"
)

// Trail keeps the newest entries in a ring and writes each step as a JSON line.
type Trail struct {
	mu      sync.Mutex
	w       io.Writer
	process string
	ring    []Entry
	next    int // where the next entry goes
	full    bool
}

// NewTrail returns an empty trail of a process; w may be nil.
func NewTrail(w io.Writer, process string, capacity int) *Trail {
	return &Trail{w: w, process: process, ring: make([]Entry, max(capacity, 1))}
}

// Seen records that a published record reached this process; a record seen
// before stays as it is.
func (t *Trail) Seen(now time.Time, r *currantturn.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.find(r.Position) != nil {
		return
	}
	e := &t.ring[t.next]
	*e = Entry{Position: r.Position, Author: bounded(r.Author), Published: r.Time, Seen: now, Verdict: Pending}
	t.next++
	if t.next == len(t.ring) {
		t.next = 0
		t.full = true
	}
	t.write(now, StepSeen, e)
}

// Judged records the verdict on a record; the first verdict stands.
func (t *Trail) Judged(now time.Time, j *Judgement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.find(j.Position)
	if e == nil || e.Verdict != Pending {
		return
	}
	e.Verdict = Rejected
	if j.Accepted {
		e.Verdict = Accepted
	}
	e.Reason, e.Version, e.Digest = bounded(j.Reason), j.Version, j.Digest
	t.write(now, StepJudged, e)
}

// InForce records that every accepted record up to a version is in force here.
func (t *Trail) InForce(now time.Time, v currantturn.Version) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.each(func(e *Entry) {
		if e.Verdict == Accepted && e.Version <= v && e.InForce.IsZero() {
			e.InForce = now
			t.write(now, StepInForce, e)
		}
	})
}

// Entries returns up to limit entries, the newest last.
func (t *Trail) Entries(limit int) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Entry, 0, len(t.ring))
	t.each(func(e *Entry) { all = append(all, *e) })
	return all[max(0, len(all)-max(limit, 0)):]
}

// each visits the entries from the oldest to the newest.
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

type line struct {
	Time    time.Time `json:"time"`
	Process string    `json:"process"`
	Audit   Step      `json:"audit"`
	*Entry
}

// write logs a step; the trail in memory stays whole when the log does not.
func (t *Trail) write(now time.Time, step Step, e *Entry) {
	if t.w == nil {
		return
	}
	p, err := json.Marshal(line{Time: now, Process: t.process, Audit: step, Entry: e})
	if err == nil {
		_, _ = t.w.Write(append(p, '\n'))
	}
}

func bounded(s string) string {
	if len(s) <= maxTextBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxTextBytes], "")
}
