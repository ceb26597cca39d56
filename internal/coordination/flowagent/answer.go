package flowagent

import (
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/protocol/relay"
)

// Answer processes a packet from the backend server: an answer to a caller, or a
// caller's packet that bounced.
func (a *Agent) Answer(now time.Time, p *currantturn.Packet, out *currantturn.Effects) {
	a.markBackendResponsive(now, p, out)
	if p.Bounced {
		a.counts.bounced.Add(1)
		a.handleBounce(now, p, out)
		return
	}
	a.counts.answers.Add(1)
	stored := a.flows.UpdateWithRoom(p.Flow, func(r *flowRecord, room bool) *flowRecord {
		if r == nil {
			if p.Mark == currantturn.MarkReset || p.Mark == currantturn.MarkOpening {
				// The flow's record has been deleted, or this process has not seen the opening
				// packet that the backend server answers: another one may hold the flow.
				return nil
			}
			// The flow is older than this process.
			r = &flowRecord{progress: open, lastSeen: now}
			if !room {
				return r
			}
			a.tracker.addOpenFlows(1)
		}
		switch {
		case r.shows(p):
			r.progress, r.openingPacket = open, nil
			a.tracker.addOpenFlows(1)
			out.Send(r.balancer, relay.Held{Flow: relay.FlowOf(p.Flow)})
		case r.progress == unconfirmed:
			return r // the backend server still awaits the caller's acknowledgement
		}
		a.updateFromBackend(now, p, r, out)
		return r
	})
	if !stored {
		a.recordUntracked(now)
	}
	out.Answers = append(out.Answers, *p)
	a.releaseRequests(now, out)
}

// updateFromBackend updates a flow's record from a packet of the backend server.
func (a *Agent) updateFromBackend(now time.Time, p *currantturn.Packet, r *flowRecord, out *currantturn.Effects) {
	r.lastSeen = now
	if p.Mark == currantturn.MarkOpening && r.progress == opening {
		r.progress, r.openingPacket = answered, nil
		a.openTimes.Record(now.Sub(r.openingSent))
		r.firstSequence, r.lastSequence, r.sequencesKnown = p.Sequence, p.Sequence, true
		out.Send(r.balancer, relay.Accepted{
			Flow: relay.FlowOf(p.Flow), Load: a.loadFor(now, r.balancer),
		})
	}
	if p.Mark == currantturn.MarkOpening && r.progress == answered && r.sequencesKnown && p.Sequence != r.firstSequence {
		// The backend server has restarted, and a copy of the opening packet opens the flow
		// at its next incarnation.
		r.firstSequence, r.lastSequence = p.Sequence, p.Sequence
	}
	if end := p.Sequence + uint32(p.DataSize); r.sequencesKnown && end-r.firstSequence < 1<<31 && end-r.firstSequence > r.lastSequence-r.firstSequence {
		r.lastSequence = end
	}
	if p.DataSize > 0 && !r.requestStarted.IsZero() {
		a.serviceTimes.Record(now.Sub(r.requestStarted))
		a.tracker.requestAnswered(now, p.Flow, r.requestStarted)
		a.recordProgress(now)
		a.recordAnswered(out)
		r.requestStarted = time.Time{}
	}
	switch p.Mark {
	case currantturn.MarkReset:
		if !r.requestStarted.IsZero() {
			a.recordFailed(out)
		}
		a.close(now, p.Flow, r)
	case currantturn.MarkClosing:
		a.recordClosing(now, p.Flow, r, closedByBackend)
	}
}

// handleBounce handles a caller's packet that the backend server rejected. The
// opening packet of a new flow and the packet of an untracked flow are returned
// to their balancer, which places the flow elsewhere or searches for its holder. An
// open flow is reset, since the backend server no longer holds it.
func (a *Agent) handleBounce(now time.Time, p *currantturn.Packet, out *currantturn.Effects) {
	from := a.balancerFromTag(p.Tag)
	a.flows.Update(p.Flow, func(r *flowRecord) *flowRecord {
		switch {
		case p.Mark == currantturn.MarkOpening:
			if r != nil && r.progress != opening && r.progress != unconfirmed {
				return r
			}
			a.counts.declined.Add(1)
			a.returnToBalancer(from, currantturn.IntentDeclined, p.Payload, out)
			return nil
		case r != nil && r.progress == unconfirmed && r.searched:
			a.queueDenial(r.balancer, p.Flow, out)
			return nil
		case r == nil || r.progress == unconfirmed:
			a.counts.returned.Add(1)
			a.returnToBalancer(from, currantturn.IntentAbsent, p.Payload, out)
			return nil
		case r.progress != open || p.Mark == currantturn.MarkReset:
			return r
		}
		a.counts.forgotten.Add(1)
		a.recordForgotten(now)
		out.Event(event.FlowForgotten, event.F("flow", p.Flow), event.F("backend", a.opts.Backend))
		out.Answers = append(out.Answers, currantturn.Packet{
			Flow: p.Flow, Mark: currantturn.MarkReset, Payload: a.opts.Codec.Reset(p),
		})
		a.close(now, p.Flow, r)
		return r
	})
}

// recordClosing records the closing packet of one end and closes the flow after
// those of both ends.
func (a *Agent) recordClosing(now time.Time, flow currantturn.FlowKey, r *flowRecord, end uint8) {
	if r.closingsSeen |= end; r.closingsSeen == closedByCaller|closedByBackend {
		a.close(now, flow, r)
	}
}

// close marks a flow as closed but keeps its record for late packets.
func (a *Agent) close(now time.Time, flow currantturn.FlowKey, r *flowRecord) {
	a.removeFromLoad(now, flow, r)
	r.progress, r.lastSeen = closed, now
}

// removeFromLoad removes the flow from the load and its request from the backlog.
func (a *Agent) removeFromLoad(now time.Time, flow currantturn.FlowKey, r *flowRecord) {
	if r.storedPackets != nil {
		r.storedPackets = nil
		a.mu.Lock()
		a.backlog.Remove(flow)
		a.mu.Unlock()
	}
	if !r.requestStarted.IsZero() {
		a.tracker.requestDropped(now, flow, r.requestStarted)
		r.requestStarted = time.Time{}
	}
	if r.progress == open {
		a.tracker.addOpenFlows(-1)
	}
}

// expireRequest frees the slot of a request that got no answer within
// requestTimeout.
func (a *Agent) expireRequest(now time.Time, flow currantturn.FlowKey, r *flowRecord) {
	if !r.requestStarted.IsZero() && now.Sub(r.requestStarted) > requestTimeout {
		a.tracker.requestDropped(now, flow, r.requestStarted)
		r.requestStarted = time.Time{}
	}
}
