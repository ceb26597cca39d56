package gossip

import (
	"net/netip"
	"slices"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/pkg/patch"
)

// tickRounds tells random peers of a new record.
func (m *Machine) tickRounds(now time.Time, out *currantturn.Effects) {
	if m.hot == 0 || now.Before(m.nextRound) {
		return
	}
	m.hot--
	m.nextRound = now.Add(roundEvery)
	for range fanout {
		m.tell(now, false, out)
	}
}

// tickExchange compares digests with random peers.
func (m *Machine) tickExchange(now time.Time, out *currantturn.Effects) {
	if now.Before(m.nextExchange) {
		return
	}
	if m.ready {
		m.nextExchange = now.Add(m.around(exchangeEvery))
		m.tell(now, true, out)
		return
	}
	m.nextExchange = now.Add(m.around(joinExchangeEvery))
	for range joinFanout {
		m.tell(now, true, out)
	}
}

func (m *Machine) tell(now time.Time, answer bool, out *currantturn.Effects) {
	if to, ok := m.peers.pick(m.random); ok {
		m.sendDigest(now, to, answer, out)
	}
}

func (m *Machine) sendDigest(now time.Time, to netip.AddrPort, answer bool, out *currantturn.Effects) {
	head := m.head()
	m.counters.DigestsSent++
	out.Send(to, Digest{Position: head.Position, Chain: slices.Clone(head.Digest[:]), Age: m.age(now), Answer: answer})
}

func (m *Machine) age(now time.Time) time.Duration {
	if m.confirmed.IsZero() {
		return unknownAge
	}
	return min(max(now.Sub(m.confirmed), 0), unknownAge)
}

func (m *Machine) fresh(now time.Time) bool {
	return m.age(now) < staleAfter
}

// onDigest compares a peer's head with the own.
func (m *Machine) onDigest(now time.Time, from netip.AddrPort, d *Digest, out *currantturn.Effects) {
	chain, ok := toDigest(d.Chain)
	if !ok {
		return
	}
	head := m.head()
	own, known := m.log.DigestAt(d.Position)
	if known && own != chain {
		m.opposed(now, from, d.Position, chain, out)
		return
	}
	m.hear(now, d.Position)
	if d.Position > 0 && d.Age >= 0 && d.Age < unknownAge {
		m.confirm(now.Add(-d.Age), d.Position)
	}
	if known && d.Position > 0 {
		m.agreed(from)
	}
	if d.Position > head.Position {
		m.askFor(now, from, out)
	}
	if (d.Answer || d.Position < head.Position) && m.pace(digestBytes) {
		m.sendDigest(now, from, false, out)
	}
}

// agreed counts the peers whose log is the own one.
func (m *Machine) agreed(from netip.AddrPort) {
	if len(m.answered) < joinAnswers && !slices.Contains(m.answered, from) {
		m.answered = append(m.answered, from)
	}
}

// pace says whether the byte budget allows an answer; peers that get none ask
// others.
func (m *Machine) pace(bytes int) bool {
	if m.bucket.take(bytes + DatagramOverheadBytes) {
		return true
	}
	m.counters.AnswersPaced++
	return false
}

// confirm notes that the platform held no more than a position at a time.
func (m *Machine) confirm(at time.Time, position uint64) {
	if position <= m.head().Position && at.After(m.confirmed) {
		m.confirmed = at
	}
}

// opposed handles a peer whose log contradicts the own. A process that is in
// force keeps what it has; one that is not ready gives way to its peers.
func (m *Machine) opposed(now time.Time, from netip.AddrPort, position uint64, got patch.Digest, out *currantturn.Effects) {
	m.contradicted(position, got, out)
	if m.inForce != nil {
		return
	}
	if !slices.Contains(m.contrary, from) {
		m.contrary = append(m.contrary, from)
	}
	if len(m.contrary) >= min(contraryPeers, max(1, m.peers.size()-1)) {
		m.restart(now)
	}
}
