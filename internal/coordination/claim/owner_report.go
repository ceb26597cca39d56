package claim

import (
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/state/record"
)

// report takes the end of an attempt; a repeated report changes nothing.
func (o *owner) report(now time.Time, from netip.AddrPort, m Report, out *currantturn.Effects) {
	o.records.Do(now, m.Key, func(s *shard) {
		r, ok := s.Get(m.Key)
		switch {
		case !ok:
			o.restore(now, s, m)
		case r.attempt != m.Attempt:
		case r.phase == granted, r.phase == lost && m.State == Answered:
			o.finish(s, m.Key, r, reportedPhase(m.State), m.Answer, out)
		}
		out.Send(from, ReportAck{Key: m.Key, Attempt: m.Attempt})
	})
}

func reportedPhase(s State) phase {
	switch s {
	case Answered:
		return answered
	case NotRun:
		return closed
	}
	return lost
}

// restore keeps an answer that was granted by an earlier process at this address.
func (o *owner) restore(now time.Time, s *shard, m Report) {
	if m.State != Answered || s.TooOld(now, m.Key) {
		return
	}
	r := &claimRecord{phase: answered, digest: m.Digest, attempt: m.Attempt, answer: m.Answer}
	// Without room the key stays one from before the start: outcome unknown.
	_ = s.Put(m.Key, r, record.EntryBytes+r.answerBytes())
}

// running takes a runner's word that its attempt has not ended.
func (o *owner) running(now time.Time, m Running) {
	o.records.Do(now, m.Key, func(s *shard) {
		if r, ok := s.Get(m.Key); ok && r.attempt == m.Attempt {
			r.probes = 0
		}
	})
}

// inquire answers a newer owner and grants nothing below its version from then on.
func (o *owner) inquire(now time.Time, from netip.AddrPort, m Inquire, out *currantturn.Effects) {
	o.records.Do(now, m.Key, func(s *shard) {
		r, ok := s.Get(m.Key)
		answer := Inquired{Key: m.Key, Version: m.Version}
		if ok {
			answer.State = o.fence(m, r, out)
			answer.Digest = r.digest
			answer.Answer = r.answer
		} else {
			answer.State = o.fenceNew(now, s, m)
		}
		out.Send(from, answer)
	})
}

// fenceNew marks a key without a record as moved.
func (o *owner) fenceNew(now time.Time, s *shard, m Inquire) State {
	switch {
	case s.TooOld(now, m.Key):
		return TooOld
	case o.beforeStart(m.Key):
		return Unknown
	case s.Refused(m.Key):
		return Refused
	}
	if s.Put(m.Key, &claimRecord{phase: moved, version: m.Version}, record.EntryBytes) != nil {
		return Unknown
	}
	return Absent
}

// fence tells a record's state and, if nothing was granted, marks it as moved.
func (o *owner) fence(m Inquire, r *claimRecord, out *currantturn.Effects) State {
	switch r.phase {
	case granted:
		return Pending
	case answered, closed, lost:
		return r.final()
	}
	if m.Version < r.version || r.phase == asking && m.Version == r.version {
		return Unknown // the asker is behind; whoever fenced this record is not
	}
	if r.phase == asking {
		o.tellWaiters(m.Key, r, NotOwner, true, out)
		o.counts.fenced.Add(1)
		out.Event(event.ClaimFenced, event.F("request", m.Key.String()),
			event.F("service", string(o.opts.Service)), event.F("version", uint64(m.Version)))
	}
	*r = claimRecord{phase: moved, version: m.Version, refused: r.refused}
	if r.refused {
		return Refused
	}
	return Absent
}

// inquired takes an earlier owner's answer.
func (o *owner) inquired(now time.Time, from netip.AddrPort, m Inquired, out *currantturn.Effects) {
	h := o.history.Load()
	o.records.Do(now, m.Key, func(s *shard) {
		r, ok := s.Get(m.Key)
		if !ok || r.phase != asking || r.version != m.Version || h.version != m.Version {
			return
		}
		if m.State == Answered || m.State == NotRun {
			o.adopt(s, r, m, out)
			return
		}
		for i := range r.question {
			if r.question[i].to == from {
				r.question[i].state = later(r.question[i].state, m.State)
			}
		}
		o.settle(s, m.Key, r, out)
	})
}

// later keeps a settled answer against one that was overtaken on the way.
func later(old, s State) State {
	if old == Absent || old == Refused {
		return old
	}
	return s
}

// adopt takes over the outcome that an earlier owner has recorded.
func (o *owner) adopt(s *shard, r *claimRecord, m Inquired, out *currantturn.Effects) {
	if m.State == NotRun {
		o.finish(s, m.Key, r, closed, nil, out)
		return
	}
	if m.Digest != r.digest {
		o.tellWaiters(m.Key, r, Reused, true, out)
	}
	r.digest = m.Digest
	o.finish(s, m.Key, r, answered, m.Answer, out)
}
