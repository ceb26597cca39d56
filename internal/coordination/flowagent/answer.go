package flowagent

import (
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/protocol/relay"
)

// Answer takes a packet of the backend server: one for a caller, or one that
// bounced.
func (a *Agent) Answer(now time.Time, p *currantturn.Packet, out *currantturn.Effects) {
	a.alive(out)
	if p.Bounced {
		a.counts.bounced.Add(1)
		a.bounced(now, p, out)
		return
	}
	a.counts.answers.Add(1)
	a.flows.Update(p.Flow, func(r *record) *record {
		if r == nil {
			if p.Mark == currantturn.MarkReset {
				return nil // the end of a flow that is known no more
			}
			// A flow that is older than this process.
			r = &record{progress: open, seen: now}
			a.work.opened(1)
		}
		a.sent(now, p, r, out)
		return r
	})
	out.Answers = append(out.Answers, *p)
	a.release(now, out)
}

// sent follows a flow by what its backend server sends.
func (a *Agent) sent(now time.Time, p *currantturn.Packet, r *record, out *currantturn.Effects) {
	r.seen = now
	if p.Mark == currantturn.MarkOpening && r.progress == opening {
		r.progress, r.opening = answered, nil
		a.opens.Record(now.Sub(r.sentAt))
		r.first, r.last, r.traced = p.Sequence, p.Sequence, true
		out.Send(r.balancer, relay.Accepted{
			Flow: relay.FlowOf(p.Flow), Load: a.load(now),
		})
	}
	if end := p.Sequence + uint32(p.DataSize); r.traced && end-r.first < 1<<31 && end-r.first > r.last-r.first {
		r.last = end
	}
	if p.DataSize > 0 && !r.running.IsZero() {
		a.serves.Record(now.Sub(r.running))
		a.work.answered(now, now.Sub(r.running))
		r.running = time.Time{}
	}
	switch p.Mark {
	case currantturn.MarkReset:
		a.close(now, p.Flow, r)
	case currantturn.MarkClosing:
		a.ended(now, p.Flow, r, endBackend)
	}
}

// bounced takes a packet back that the backend server did not take. A new flow
// is placed elsewhere; an open one is proven to be gone.
func (a *Agent) bounced(now time.Time, p *currantturn.Packet, out *currantturn.Effects) {
	from := a.balancerOf(p.Tag)
	a.flows.Update(p.Flow, func(r *record) *record {
		switch {
		case p.Mark == currantturn.MarkOpening:
			if r != nil && r.progress != opening {
				return r
			}
			a.counts.declined.Add(1)
			a.giveBack(from, currantturn.IntentDeclined, p.Payload, out)
			return nil
		case r == nil:
			a.counts.returned.Add(1)
			a.giveBack(from, currantturn.IntentAbsent, p.Payload, out)
			return nil
		case r.progress != open || p.Mark == currantturn.MarkReset:
			return r
		}
		a.counts.forgotten.Add(1)
		out.Event(event.FlowForgotten, event.F("flow", p.Flow), event.F("backend", a.opts.Backend))
		out.Answers = append(out.Answers, currantturn.Packet{
			Flow: p.Flow, Mark: currantturn.MarkReset, Payload: a.opts.Codec.Reset(p),
		})
		a.close(now, p.Flow, r)
		return r
	})
}

// ended takes the closing packet of one end; the flow is closed when both ends
// sent theirs.
func (a *Agent) ended(now time.Time, flow currantturn.FlowKey, r *record, end uint8) {
	if r.ends |= end; r.ends == endCaller|endBackend {
		a.close(now, flow, r)
	}
}

// close ends a flow but keeps its record for late packets.
func (a *Agent) close(now time.Time, flow currantturn.FlowKey, r *record) {
	a.end(flow, r)
	r.progress, r.seen = closed, now
}

// end takes the flow out of the load and its request out of the backlog.
func (a *Agent) end(flow currantturn.FlowKey, r *record) {
	if r.held != nil {
		r.held = nil
		a.mu.Lock()
		a.backlog.Remove(flow)
		a.mu.Unlock()
	}
	if !r.running.IsZero() {
		r.running = time.Time{}
		a.work.dropped()
	}
	if r.progress == open {
		a.work.opened(-1)
	}
}

// expireRequest gives up on a request that was never answered.
func (a *Agent) expireRequest(now time.Time, r *record) {
	if !r.running.IsZero() && now.Sub(r.running) > requestTimeout {
		r.running = time.Time{}
		a.work.dropped()
	}
}
