package claim

import (
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/state/record"
)

// report records how an attempt ended and confirms it; repeated reports have no
// effect. An answer also replaces a lost outcome.
func (o *owner) report(now time.Time, from netip.AddrPort, m Report, out *currantturn.Effects) {
	o.records.Do(now, m.Key, func(s *shard) {
		r, ok := s.Get(m.Key)
		switch {
		case !ok:
			o.restoreAnswer(now, s, m)
		case r.attempt != m.Attempt:
		case r.phase == granted, r.phase == lost && m.State == Answered:
			o.finish(s, m.Key, r, reportedPhase(m.State), m.Answer, out)
		}
		out.Send(from, ReportAck{Key: m.Key, Attempt: m.Attempt})
	})
}

// reportedPhase returns the phase of a record for the reported state.
func reportedPhase(s State) phase {
	switch s {
	case Answered:
		return answered
	case NotRun:
		return closed
	}
	return lost
}

// restoreAnswer records a reported answer for which this process has no record,
// because an earlier process at this address granted the key.
func (o *owner) restoreAnswer(now time.Time, s *shard, m Report) {
	if m.State != Answered || s.TooOld(now, m.Key) {
		return
	}
	r := &claimRecord{phase: answered, digest: m.Digest, attempt: m.Attempt, answer: m.Answer}
	// If the store is full, the key stays without a record; its outcome remains
	// unknown, because it was issued before the start.
	_ = s.Put(m.Key, r, record.EntryBytes+r.answerBytes())
}

// running resets the count of unanswered probes, because the runner replied
// that its attempt has not ended.
func (o *owner) running(now time.Time, m Running) {
	o.records.Do(now, m.Key, func(s *shard) {
		if r, ok := s.Get(m.Key); ok && r.attempt == m.Attempt {
			r.unansweredProbes = 0
		}
	})
}

// inquire replies to a newer owner and fences the key, so that this process no
// longer grants it under the inquirer's version or an older one.
func (o *owner) inquire(now time.Time, from netip.AddrPort, m Inquire, out *currantturn.Effects) {
	o.records.Do(now, m.Key, func(s *shard) {
		r, ok := s.Get(m.Key)
		reply := Inquired{Key: m.Key, Version: m.Version}
		if ok {
			reply.State = o.fenceRecord(m, r, out)
			reply.Digest = r.digest
			reply.Answer = r.answer
		} else {
			reply.State = o.fenceUnrecorded(now, s, m)
		}
		out.Send(from, reply)
	})
}

// fenceUnrecorded records a key without a record as moved and returns the state
// for the reply. If the record cannot be stored, the state is Unknown, as the
// key is not fenced.
func (o *owner) fenceUnrecorded(now time.Time, s *shard, m Inquire) State {
	switch {
	case s.TooOld(now, m.Key):
		return TooOld
	case o.mayPredateStart(m.Key):
		return Unknown
	case s.Refused(m.Key):
		return Refused
	}
	if s.Put(m.Key, &claimRecord{phase: moved, version: m.Version}, record.EntryBytes) != nil {
		return Unknown
	}
	return Absent
}

// fenceRecord marks a record as moved if it was not granted, and returns the
// state for the reply.
func (o *owner) fenceRecord(m Inquire, r *claimRecord, out *currantturn.Effects) State {
	switch r.phase {
	case granted:
		return Pending
	case answered, closed, lost:
		return r.finalState()
	}
	if m.Version < r.version || r.phase == inquiring && m.Version == r.version {
		return Unknown // this process or the one that fenced the record has a newer configuration
	}
	if r.phase == inquiring {
		o.notifyWaiters(m.Key, r, NotOwner, true, out)
		o.counters.fenced.Add(1)
		out.Event(event.ClaimFenced, event.F("request", m.Key.String()),
			event.F("service", string(o.opts.Service)), event.F("version", uint64(m.Version)))
	}
	*r = claimRecord{phase: moved, version: m.Version, refused: r.refused}
	if r.refused {
		return Refused
	}
	return Absent
}

// inquired handles an earlier owner's reply. Replies to outdated inquiries are
// ignored.
func (o *owner) inquired(now time.Time, from netip.AddrPort, m Inquired, out *currantturn.Effects) {
	h := o.history.Load()
	o.records.Do(now, m.Key, func(s *shard) {
		r, ok := s.Get(m.Key)
		if !ok || r.phase != inquiring || r.version != m.Version || h.version != m.Version {
			return
		}
		if m.State == Answered || m.State == NotRun {
			o.adoptOutcome(s, r, m, out)
			return
		}
		for i := range r.inquiries {
			if r.inquiries[i].owner == from {
				r.inquiries[i].reply = mergeReply(r.inquiries[i].reply, m.State)
			}
		}
		o.evaluateReplies(s, m.Key, r, out)
	})
}

// mergeReply keeps a confirmation that nothing was granted: it remains valid, and
// a different reply may be an older one that it overtook.
func mergeReply(previous, received State) State {
	if previous == Absent || previous == Refused {
		return previous
	}
	return received
}

// adoptOutcome records the outcome received from an earlier owner. It rejects
// the waiters if their request differs from the one that ran.
func (o *owner) adoptOutcome(s *shard, r *claimRecord, m Inquired, out *currantturn.Effects) {
	if m.State == NotRun {
		o.finish(s, m.Key, r, closed, nil, out)
		return
	}
	if m.Digest != r.digest {
		o.notifyWaiters(m.Key, r, KeyReused, true, out)
	}
	r.digest = m.Digest
	o.finish(s, m.Key, r, answered, m.Answer, out)
}
