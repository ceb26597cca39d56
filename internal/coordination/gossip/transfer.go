package gossip

import (
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
)

// pull is the request for records in flight; there is at most one.
type pull struct {
	peer   netip.AddrPort
	sentAt time.Time
}

// recordAssembly collects the parts of the record after the head.
type recordAssembly struct {
	position uint64
	parts    [][]byte
	missing  int // parts not yet received
}

// firstMissing returns the index of the first missing part of the record at a
// position.
func (a *recordAssembly) firstMissing(position uint64) int {
	if a.position != position {
		return 0
	}
	for i, p := range a.parts {
		if p == nil {
			return i
		}
	}
	return 0
}

// add stores a part, and returns the encoded record once it is complete.
func (a *recordAssembly) add(p *Part) []byte {
	if a.position != p.Position || len(a.parts) != p.Total {
		*a = recordAssembly{position: p.Position, parts: make([][]byte, p.Total), missing: p.Total}
	}
	if a.parts[p.Index] == nil {
		a.parts[p.Index] = p.Data
		a.missing--
	}
	if a.missing > 0 {
		return nil
	}
	var encoded []byte
	for _, part := range a.parts {
		encoded = append(encoded, part...)
	}
	*a = recordAssembly{}
	return encoded
}

// pullIfIdle pulls the missing records from a peer unless a pull is in flight.
func (m *Machine) pullIfIdle(now time.Time, from netip.AddrPort, out *currantturn.Effects) {
	if !m.pull.sentAt.IsZero() && now.Sub(m.pull.sentAt) < pullTimeout {
		return
	}
	m.sendPull(now, from, out)
}

// sendPull requests the records after the head from a peer.
func (m *Machine) sendPull(now time.Time, to netip.AddrPort, out *currantturn.Effects) {
	after := m.head().Position
	m.pull = pull{peer: to, sentAt: now}
	m.counters.PullsSent++
	out.Send(to, Pull{After: after, Part: m.parts.firstMissing(after + 1)})
}

// tickPull sends a new pull to a random peer when records are missing and the last
// pull has timed out.
func (m *Machine) tickPull(now time.Time, out *currantturn.Effects) {
	if m.highestKnown <= m.head().Position {
		m.pull = pull{}
		return
	}
	if m.download.running() || now.Sub(m.pull.sentAt) < pullTimeout {
		return
	}
	if to, ok := m.peers.pick(m.random); ok {
		m.sendPull(now, to, out)
	}
}

// onPull replies with the next parts, as many as the rate limit allows, or with an
// offer if the next record is no longer held.
func (m *Machine) onPull(_ time.Time, from netip.AddrPort, p *Pull, out *currantturn.Effects) {
	if p.After >= m.head().Position {
		return
	}
	position, index := p.After+1, p.Part
	if _, held := m.log.Entry(position); !held {
		m.sendOffer(from, out)
		return
	}
	for n := 0; n < pullWindow; {
		parts := m.partsOf(position)
		if parts == nil {
			return
		}
		for ; index >= 0 && index < len(parts) && n < pullWindow; index++ {
			part := parts[index]
			n++
			part.Last = n == pullWindow || (index == len(parts)-1 && position == m.head().Position)
			if !m.allowReply(len(part.Data)) {
				return
			}
			m.counters.PartsSent++
			out.Send(from, part)
		}
		position, index = position+1, 0
	}
}

// partsOf splits the encoded record at a position into parts. It returns nil if
// the record cannot be sent.
func (m *Machine) partsOf(position uint64) []Part {
	e, held := m.log.Entry(position)
	if !held {
		return nil
	}
	before, known := m.log.DigestAt(position - 1)
	if !known {
		return nil
	}
	encoded, err := encodeRecord(&e.Record, before)
	if err != nil {
		return nil
	}
	total := (len(encoded) + partBytes - 1) / partBytes
	if total > maxParts {
		return nil // too large to send; processes read it from the platform
	}
	parts := make([]Part, total)
	for i := range parts {
		data := encoded[i*partBytes : min((i+1)*partBytes, len(encoded))]
		parts[i] = Part{Position: position, Index: i, Total: total, Data: data}
	}
	return parts
}

// onPart processes a part, and continues a pull after the last part of a reply.
func (m *Machine) onPart(now time.Time, from netip.AddrPort, p *Part, out *currantturn.Effects) {
	head := m.head().Position
	valid := p.Total >= 1 && p.Total <= maxParts && p.Index >= 0 && p.Index < p.Total &&
		len(p.Data) >= 1 && len(p.Data) <= partBytes
	if !valid {
		return
	}
	if p.Position > head && p.Position <= head+maxPending {
		m.collect(now, p, out)
	}
	if p.Last && from == m.pull.peer {
		m.pull = pull{}
		if m.highestKnown > m.head().Position {
			m.sendPull(now, from, out)
		}
	}
}

// collect stores a part and, once its record is complete, appends the records that
// follow the head.
func (m *Machine) collect(now time.Time, p *Part, out *currantturn.Effects) {
	head := m.head().Position
	encoded := p.Data
	if p.Total > 1 {
		if p.Position != head+1 {
			return // only the record after the head is assembled from parts
		}
		if encoded = m.parts.add(p); encoded == nil {
			return
		}
	}
	r, err := decodeRecord(p.Position, encoded)
	if err != nil {
		return
	}
	m.pending[p.Position] = r
	m.appendPending(now, out)
}

// appendPending appends the pending records that now follow the head.
func (m *Machine) appendPending(now time.Time, out *currantturn.Effects) {
	for {
		head := m.head()
		next := m.pending[head.Position+1]
		if next == nil {
			return
		}
		delete(m.pending, head.Position+1)
		if next.digestBefore != head.Digest {
			m.reportDivergence(head.Position, next.digestBefore, out)
			return
		}
		m.appendRecord(now, &next.record, out)
	}
}
