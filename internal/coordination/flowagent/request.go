package flowagent

import (
	"bytes"
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/backlog"
	"github.com/currantturn/currantturn/internal/event"
)

// attemptAge returns how long ago a caller's attempt started, given the number of
// earlier copies of its opening packet: callers on the platform resend it 200 and
// 600 ms after the first.
func attemptAge(copies uint32) time.Duration {
	switch {
	case copies == 0:
		return 0
	case copies == 1:
		return 200 * time.Millisecond
	default:
		return 600 * time.Millisecond
	}
}

// handleRequestData processes a data packet from a caller. More data of a request
// in progress and repeated data are delivered at once. A new request runs if a slot
// is free; otherwise it waits here, not at the backend server, so that waiting
// requests can be reordered.
func (a *Agent) handleRequestData(in *inboundPacket, r *flowRecord) {
	switch {
	case r.storedPackets != nil:
		a.storePacket(r, in.packet)
		return
	case !r.requestStarted.IsZero() || r.isRepeat(in.packet):
		r.advance(in.packet)
		a.deliver(in)
		return
	}
	attemptStarted := r.attemptStarted
	r.attemptStarted = time.Time{}
	if attemptStarted.IsZero() || in.now.Sub(r.openingSent) > maxFirstRequestDelay {
		attemptStarted = in.now
	}
	if !a.startIfSlotFree(in.now, in.demand.Slots) && a.queueRequest(in, attemptStarted) {
		r.balancer = in.from
		a.storePacket(r, in.packet)
		return
	}
	r.requestStarted = in.now
	r.advance(in.packet)
	a.deliver(in)
}

// startIfSlotFree takes a slot if one is free and no request is waiting; slots is their
// number, 0 if the packet does not tell it. With an unknown number it always succeeds.
func (a *Agent) startIfSlotFree(now time.Time, slots int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if slots > 0 {
		a.tracker.setSlots(slots)
	}
	if a.backlog.Len() > 0 || !a.tracker.hasRoom(now) {
		return false
	}
	a.tracker.requestStarted(now)
	a.lastProgress = now
	return true
}

// queueRequest adds a request to the backlog. If the backlog is full it starts
// the request instead and returns false.
func (a *Agent) queueRequest(in *inboundPacket, attemptStarted time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.backlog.Push(backlog.Request{Flow: in.packet.Flow, AttemptStarted: attemptStarted, Demand: in.demand}) {
		a.counts.waited.Add(1)
		return true
	}
	a.tracker.requestStarted(in.now)
	return false
}

// storePacket stores a copy of a packet of a waiting request. It drops duplicates,
// and packets above maxStoredPackets.
func (a *Agent) storePacket(r *flowRecord, p *currantturn.Packet) {
	for _, h := range r.storedPackets {
		if bytes.Equal(h, p.Payload) {
			return
		}
	}
	if len(r.storedPackets) < maxStoredPackets {
		r.storedPackets = append(r.storedPackets, bytes.Clone(p.Payload))
	}
}

// recordProgress records when the backend server last answered a request.
func (a *Agent) recordProgress(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastProgress = now
}

// releaseRequests runs waiting requests while slots are free, and one for each
// objective that passes without an answer. It drops those whose timeout has expired.
func (a *Agent) releaseRequests(now time.Time, out *currantturn.Effects) {
	a.mu.Lock()
	serviceTime := a.tracker.expectedServiceTime()
	expired := a.backlog.RemoveExpired(now)
	var ready []backlog.Request
	for a.tracker.hasRoom(now) {
		next, found := a.backlog.Pop(now, serviceTime)
		if !found {
			break
		}
		a.tracker.requestStarted(now)
		a.lastProgress = now
		ready = append(ready, next)
	}
	if a.backlog.Stalled(now.Sub(a.lastProgress)) {
		// What holds the slots may be lost or hang, while others would be answered.
		if next, found := a.backlog.Pop(now, serviceTime); found {
			a.tracker.requestStarted(now)
			a.lastProgress = now
			ready = append(ready, next)
		}
	}
	waiting := a.backlog.Len()
	a.mu.Unlock()
	for i := range expired {
		a.dropExpiredRequest(now, &expired[i], out)
	}
	flowEnded := false
	for i := range ready {
		flowEnded = !a.runQueuedRequest(now, &ready[i], waiting, out) || flowEnded
	}
	if flowEnded {
		a.releaseRequests(now, out) // reuse the slots of requests whose flows have ended
	}
}

// runQueuedRequest delivers a waiting request to the backend server and returns
// true, unless its flow has ended in the meantime; waiting is the number of
// requests still in the backlog.
func (a *Agent) runQueuedRequest(now time.Time, request *backlog.Request, waiting int, out *currantturn.Effects) (delivered bool) {
	a.flows.Update(request.Flow, func(r *flowRecord) *flowRecord {
		if r == nil || r.storedPackets == nil {
			a.tracker.requestCanceled(now)
			return r
		}
		delivered = true
		r.requestStarted, r.lastSeen = now, now
		a.waitTimes.Record(now.Sub(request.AttemptStarted))
		out.Event(event.RequestReleased, event.F("flow", request.Flow), event.F("backend", a.opts.Backend),
			event.F("waited", now.Sub(request.AttemptStarted)), event.F("waiting", waiting), event.F("running", a.tracker.inProgress()))
		a.deliverStoredPackets(r, r.balancer, out)
		return r
	})
	return delivered
}

// deliverStoredPackets delivers the stored packets of a request that waited.
func (a *Agent) deliverStoredPackets(r *flowRecord, from netip.AddrPort, out *currantturn.Effects) {
	for _, h := range r.storedPackets {
		var p currantturn.Packet
		if err := a.opts.Codec.Decode(h, currantturn.ToBackend, &p); err != nil {
			continue // can't happen: the packet was decoded before it was stored
		}
		r.advance(&p)
		a.deliver(&inboundPacket{from: from, packet: &p, out: out})
	}
	r.storedPackets = nil
}

// dropExpiredRequest drops a request whose timeout expired before it ran.
func (a *Agent) dropExpiredRequest(now time.Time, request *backlog.Request, out *currantturn.Effects) {
	a.counts.gaveUp.Add(1)
	out.Event(event.RequestGivenUp, event.F("flow", request.Flow), event.F("backend", a.opts.Backend),
		event.F("waited", now.Sub(request.AttemptStarted)))
	a.flows.Update(request.Flow, func(r *flowRecord) *flowRecord {
		if r != nil {
			r.storedPackets = nil
		}
		return r
	})
}
