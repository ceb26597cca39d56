package gossip

import (
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
)

// pull is the one request for records that is under way.
type pull struct {
	peer netip.AddrPort
	sent time.Time
}

// assembly collects the parts of the record after the head.
type assembly struct {
	position uint64
	parts    [][]byte
	missing  int
}

// next returns the first missing part of the record at a position.
func (a *assembly) next(position uint64) int {
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

// add takes a part and returns the whole record when it is complete.
func (a *assembly) add(p *Part) []byte {
	if a.position != p.Position || len(a.parts) != p.Total {
		*a = assembly{position: p.Position, parts: make([][]byte, p.Total), missing: p.Total}
	}
	if a.parts[p.Index] == nil {
		a.parts[p.Index] = p.Data
		a.missing--
	}
	if a.missing > 0 {
		return nil
	}
	var whole []byte
	for _, part := range a.parts {
		whole = append(whole, part...)
	}
	*a = assembly{}
	return whole
}

// askFor pulls the missing records unless a pull is under way.
func (m *Machine) askFor(now time.Time, from netip.AddrPort, out *currantturn.Effects) {
	if !m.pull.sent.IsZero() && now.Sub(m.pull.sent) < pullTimeout {
		return
	}
	m.sendPull(now, from, out)
}

func (m *Machine) sendPull(now time.Time, to netip.AddrPort, out *currantturn.Effects) {
	after := m.head().Position
	m.pull = pull{peer: to, sent: now}
	m.counters.PullsSent++
	out.Send(to, Pull{After: after, Part: m.parts.next(after + 1)})
}

// tickPull asks another peer when a pull made no progress.
func (m *Machine) tickPull(now time.Time, out *currantturn.Effects) {
	if m.heard <= m.head().Position {
		m.pull = pull{}
		return
	}
	if m.download.running() || now.Sub(m.pull.sent) < pullTimeout {
		return
	}
	if to, ok := m.peers.pick(m.random); ok {
		m.sendPull(now, to, out)
	}
}

// onPull answers with the next parts, as many as the pacing allows.
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
			if !m.pace(len(part.Data)) {
				return
			}
			m.counters.PartsSent++
			out.Send(from, part)
		}
		position, index = position+1, 0
	}
}

// partsOf cuts the record at a position into parts, or returns nil.
func (m *Machine) partsOf(position uint64) []Part {
	e, held := m.log.Entry(position)
	if !held {
		return nil
	}
	before, known := m.log.DigestAt(position - 1)
	if !known {
		return nil
	}
	p, err := encodeRecord(&e.Record, before)
	if err != nil {
		return nil
	}
	total := (len(p) + partBytes - 1) / partBytes
	if total > maxParts {
		return nil // readers of the platform carry it
	}
	parts := make([]Part, total)
	for i := range parts {
		data := p[i*partBytes : min((i+1)*partBytes, len(p))]
		parts[i] = Part{Position: position, Index: i, Total: total, Data: data}
	}
	return parts
}

// onPart collects a part; complete records are appended in order.
func (m *Machine) onPart(now time.Time, from netip.AddrPort, p *Part, out *currantturn.Effects) {
	head := m.head().Position
	valid := p.Total >= 1 && p.Total <= maxParts && p.Index >= 0 && p.Index < p.Total &&
		len(p.Data) >= 1 && len(p.Data) <= partBytes
	if !valid {
		return
	}
	if p.Position > head && p.Position <= head+maxAhead {
		m.collect(now, p, out)
	}
	if p.Last && from == m.pull.peer {
		m.pull = pull{}
		if m.heard > m.head().Position {
			m.sendPull(now, from, out)
		}
	}
}

func (m *Machine) collect(now time.Time, p *Part, out *currantturn.Effects) {
	head := m.head().Position
	whole := p.Data
	if p.Total > 1 {
		if p.Position != head+1 {
			return // parts of one record at a time
		}
		if whole = m.parts.add(p); whole == nil {
			return
		}
	}
	r, err := decodeRecord(p.Position, whole)
	if err != nil {
		return
	}
	m.ahead[p.Position] = r
	m.takeAhead(now, out)
}

// takeAhead appends the records that follow the head now.
func (m *Machine) takeAhead(now time.Time, out *currantturn.Effects) {
	for {
		head := m.head()
		next := m.ahead[head.Position+1]
		if next == nil {
			return
		}
		delete(m.ahead, head.Position+1)
		if next.before != head.Digest {
			m.contradicted(head.Position, next.before, out)
			return
		}
		m.accept(now, &next.record, out)
	}
}
