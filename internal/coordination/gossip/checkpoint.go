package gossip

import (
	"errors"
	"net/netip"
	"slices"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/state/configuration"
	"github.com/currantturn/currantturn/pkg/patch"
)

// download is a checkpoint on its way from peers.
type download struct {
	position uint64
	sum      patch.Digest
	size     int
	peers    []netip.AddrPort // that hold it
	chunks   [][]byte
	asked    []time.Time // when each chunk was last asked for
	missing  int
	progress time.Time
	nextAsk  time.Time // for an offer
}

func (d *download) running() bool {
	return d.chunks != nil
}

// onFetch answers with a chunk of the checkpoint, or an offer of it.
func (m *Machine) onFetch(from netip.AddrPort, f *Fetch, out *currantturn.Effects) {
	if len(f.Sum) == 0 {
		m.sendOffer(from, out)
		return
	}
	c, err := m.log.Checkpoint()
	if err != nil || !slices.Equal(f.Sum, c.Sum[:]) {
		return
	}
	if f.Index < 0 || f.Index > maxCheckpointParts {
		return
	}
	for i := f.Index; i < f.Index+min(f.Count, pullWindow); i++ {
		start := i * partBytes
		if start >= len(c.Bytes) {
			return
		}
		data := c.Bytes[start:min(start+partBytes, len(c.Bytes))]
		if !m.pace(len(data)) {
			return
		}
		m.counters.PartsSent++
		out.Send(from, Chunk{Sum: f.Sum, Index: i, Data: data})
	}
}

func (m *Machine) sendOffer(to netip.AddrPort, out *currantturn.Effects) {
	if m.head().Position == 0 || !m.pace(offerBytes) {
		return
	}
	c, err := m.log.Checkpoint()
	if err != nil {
		return
	}
	o := Offer{Position: c.Position, Sum: slices.Clone(c.Sum[:]), Bytes: len(c.Bytes)}
	for range offerPeers {
		if a, ok := m.peers.pick(m.random); ok && a != to {
			o.Peers = append(o.Peers, a)
		}
	}
	out.Send(to, o)
}

// onOffer starts a download of a later configuration, or adds a peer to it.
func (m *Machine) onOffer(now time.Time, from netip.AddrPort, o *Offer, out *currantturn.Effects) {
	for _, a := range o.Peers[:min(len(o.Peers), offerPeers)] {
		m.peers.hint(a)
	}
	m.peers.hint(from)
	sum, ok := toDigest(o.Sum)
	total := (o.Bytes + partBytes - 1) / partBytes
	if !ok || total < 1 || total > maxCheckpointParts || o.Position <= m.head().Position {
		return
	}
	m.hear(now, o.Position)
	d := &m.download
	if d.running() && d.sum == sum {
		if !slices.Contains(d.peers, from) && len(d.peers) < maxHints {
			d.peers = append(d.peers, from)
		}
		return
	}
	if d.running() && d.position >= o.Position {
		return
	}
	m.download = download{
		position: o.Position, sum: sum, size: o.Bytes, peers: []netip.AddrPort{from},
		chunks: make([][]byte, total), asked: make([]time.Time, total), missing: total, progress: now, nextAsk: now,
	}
	m.tickDownload(now, out)
}

// tickDownload asks for chunks, and for offers while peers are few.
func (m *Machine) tickDownload(now time.Time, out *currantturn.Effects) {
	d := &m.download
	wanted := d.running() || m.head().Position == 0
	if wanted && !now.Before(d.nextAsk) {
		d.nextAsk = now.Add(joinExchangeEvery)
		for range joinFanout {
			if to, ok := m.peers.pick(m.random); ok {
				out.Send(to, Fetch{})
			}
		}
	}
	if !d.running() {
		return
	}
	if now.Sub(d.progress) > checkpointTimeout || d.position <= m.head().Position {
		m.download = download{}
		return
	}
	m.fetchChunks(now, out)
}

// fetchChunks keeps some chunks asked for, a few in a row from each peer.
func (m *Machine) fetchChunks(now time.Time, out *currantturn.Effects) {
	d := &m.download
	waiting := 0
	for i := 0; i < len(d.chunks) && waiting < checkpointPulls; i++ {
		if d.chunks[i] != nil {
			continue
		}
		n := d.due(now, i)
		waiting += max(n, 1)
		if n == 0 {
			continue
		}
		m.counters.PullsSent++
		peer := d.peers[m.random.IntN(len(d.peers))]
		out.Send(peer, Fetch{Sum: slices.Clone(d.sum[:]), Index: i, Count: n})
		i += n - 1
	}
}

// due marks the chunks from i on that are to be asked for together.
func (d *download) due(now time.Time, i int) int {
	n := 0
	for n < pullWindow && i+n < len(d.chunks) && d.chunks[i+n] == nil && now.Sub(d.asked[i+n]) >= pullTimeout {
		d.asked[i+n] = now
		n++
	}
	return n
}

// onChunk takes a chunk; the last one puts the checkpoint to use.
func (m *Machine) onChunk(now time.Time, from netip.AddrPort, c *Chunk, out *currantturn.Effects) {
	d := &m.download
	sum, ok := toDigest(c.Sum)
	if !ok || !d.running() || sum != d.sum || c.Index < 0 || c.Index >= len(d.chunks) || d.chunks[c.Index] != nil {
		return
	}
	d.chunks[c.Index] = c.Data
	d.progress = now
	d.missing--
	if d.missing > 0 {
		m.fetchChunks(now, out)
		return
	}
	whole := slices.Concat(d.chunks...)
	m.download = download{}
	if configuration.SumOf(whole) != sum {
		return
	}
	if m.restore(now, whole, "peers", out) {
		m.askFor(now, from, out)
	}
}

// restore takes a later configuration from its encoded form.
func (m *Machine) restore(now time.Time, p []byte, source string, out *currantturn.Effects) bool {
	c, err := m.opts.Decode(p)
	if err != nil {
		return false
	}
	if own, known := m.log.DigestAt(c.Position); known && own != c.Digest {
		m.contradicted(c.Position, c.Digest, out)
		return false
	}
	if err := m.log.Restore(c); err != nil {
		if errors.Is(err, configuration.ErrDiverged) {
			m.contradicted(c.Position, c.Digest, out)
		}
		return false
	}
	m.configured = now
	m.counters.CheckpointsTaken++
	m.hear(now, c.Position)
	m.parts = assembly{}
	for position := range m.ahead {
		if position <= c.Position {
			delete(m.ahead, position)
		}
	}
	out.Event(event.SnapshotLoaded,
		event.F("version", uint64(c.Version)), event.F("bytes", len(p)), event.F("source", source))
	m.publish(out)
	return true
}
