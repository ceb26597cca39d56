package gossip

import (
	"net/netip"
	"slices"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/pkg/patch"
)

// tickRounds sends digests to random peers in the rounds after a new record.
func (m *Machine) tickRounds(now time.Time, out *currantturn.Effects) {
	if m.roundsLeft == 0 || now.Before(m.nextRound) {
		return
	}
	m.roundsLeft--
	m.nextRound = now.Add(roundInterval)
	for range fanout {
		m.sendDigestToRandomPeer(now, false, out)
	}
}

// tickExchange periodically exchanges digests with random peers, more often and
// with more peers while the process is not ready.
func (m *Machine) tickExchange(now time.Time, out *currantturn.Effects) {
	if now.Before(m.nextExchange) {
		return
	}
	if m.ready {
		m.nextExchange = now.Add(m.jitterAround(exchangeInterval))
		m.sendDigestToRandomPeer(now, true, out)
		return
	}
	m.nextExchange = now.Add(m.jitterAround(joinExchangeInterval))
	for range joinFanout {
		m.sendDigestToRandomPeer(now, true, out)
	}
}

// sendDigestToRandomPeer sends a digest of the local log to a random peer, if there is one.
func (m *Machine) sendDigestToRandomPeer(now time.Time, replyRequested bool, out *currantturn.Effects) {
	if to, ok := m.peers.pick(m.random); ok {
		m.sendDigest(now, to, replyRequested, out)
	}
}

// sendDigest sends the head of the local log and the age of its confirmation.
func (m *Machine) sendDigest(now time.Time, to netip.AddrPort, replyRequested bool, out *currantturn.Effects) {
	head := m.head()
	m.counters.DigestsSent++
	out.Send(to, Digest{Position: head.Position, Chain: slices.Clone(head.Digest[:]), Age: m.confirmationAge(now), ReplyRequested: replyRequested})
}

// confirmationAge returns the time since the platform last confirmed the head.
func (m *Machine) confirmationAge(now time.Time) time.Duration {
	if m.confirmedAt.IsZero() {
		return unknownAge
	}
	return min(max(now.Sub(m.confirmedAt), 0), unknownAge)
}

// recentlyConfirmed reports whether the confirmation of the head has not expired.
func (m *Machine) recentlyConfirmed(now time.Time) bool {
	return m.confirmationAge(now) < staleAfter
}

// onDigest compares a peer's head with the local log, pulls records that
// are missing here, and replies if the peer requested it or is behind.
func (m *Machine) onDigest(now time.Time, from netip.AddrPort, d *Digest, out *currantturn.Effects) {
	chain, ok := toDigest(d.Chain)
	if !ok {
		return
	}
	head := m.head()
	localDigest, known := m.log.DigestAt(d.Position)
	if known && localDigest != chain {
		m.handleContradiction(now, from, d.Position, chain, out)
		return
	}
	m.raiseHighestKnown(now, d.Position)
	if d.Position > 0 && d.Age >= 0 && d.Age < unknownAge {
		m.raiseConfirmed(now.Add(-d.Age), d.Position)
	}
	if known && d.Position > 0 {
		m.addAgreeingPeer(from)
	}
	if d.Position > head.Position {
		m.pullIfIdle(now, from, out)
	}
	if (d.ReplyRequested || d.Position < head.Position) && m.allowReply(digestBytes) {
		m.sendDigest(now, from, false, out)
	}
}

// addAgreeingPeer records a peer whose log agrees with the local one.
func (m *Machine) addAgreeingPeer(from netip.AddrPort) {
	if len(m.agreeingPeers) < minAgreeingPeers && !slices.Contains(m.agreeingPeers, from) {
		m.agreeingPeers = append(m.agreeingPeers, from)
	}
}

// allowReply reports whether the rate limit allows a reply of this size. A peer
// that receives no reply retries with other peers.
func (m *Machine) allowReply(bytes int) bool {
	if m.bucket.take(bytes + DatagramOverheadBytes) {
		return true
	}
	m.counters.AnswersPaced++
	return false
}

// raiseConfirmed records that the platform held nothing beyond position at time
// at, if the local log reaches position and no later confirmation is known.
func (m *Machine) raiseConfirmed(at time.Time, position uint64) {
	if position <= m.head().Position && at.After(m.confirmedAt) {
		m.confirmedAt = at
	}
}

// handleContradiction handles a peer whose log contradicts the local one. A
// process that has been ready keeps its log; any other discards it once enough
// peers contradict it.
func (m *Machine) handleContradiction(now time.Time, from netip.AddrPort, position uint64, got patch.Digest, out *currantturn.Effects) {
	m.reportDivergence(position, got, out)
	if m.inForce != nil {
		return
	}
	if !slices.Contains(m.contradictingPeers, from) {
		m.contradictingPeers = append(m.contradictingPeers, from)
	}
	if len(m.contradictingPeers) >= min(minContradictingPeers, max(1, m.peers.size()-1)) {
		m.discardLog(now)
	}
}
